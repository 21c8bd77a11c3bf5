"""Tell all VMs how far the change of a primary is, so that their callers do not wait in vain."""

from datetime import timedelta

from bramleyrill_base import log_event
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.leadership import Poll
from bramleyrill_wire.entries import frames

from bramleyrill_entry._duty_leases import SupervisedService
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._state import EntryState

# While no successor is known to be safe, the VMs are told so this often. Each time counts for a
# little longer, so that they refuse work for the primary at once instead of letting it wait.
LEADERLESS_INTERVAL = timedelta(seconds=1)
LEADERLESS_TIME = timedelta(seconds=1.5)
# How long a primary that is being replaced gets no new work. An order takes less.
REPLACEMENT_TIME = timedelta(seconds=4)


class ChangeAnnouncements:
    """Record the progress of a change of primary here, and broadcast it to the other VMs."""

    def __init__(self, state: EntryState, net: PeerNet) -> None:
        self._state = state
        self._net = net

    def leaderless(
        self, supervised: SupervisedService, primary: MemberEntry | None, poll: Poll
    ) -> None:
        """Tell all VMs to refuse work for the primary until a successor is known to be safe.

        That is when enough of the unheard replicas answer, or the primary does. A replica counts as
        unheard while its entry is in the store, and for LOST_REPLICA_MEMORY after it last answered.
        """
        now = self._state.now()
        if now < supervised.leaderless_at:
            return
        supervised.leaderless_at = now + LEADERLESS_INTERVAL
        log_event(
            "successor_unproven",
            service=supervised.service,
            unheard=",".join(poll.unheard),
            heard=len(poll.candidates),
            sync_replicas=poll.sync_replicas,
        )
        self._state.record_leaderless(supervised.service, LEADERLESS_TIME)
        if primary is not None:
            self._net.broadcast(
                frames.Appointed(
                    service_name=supervised.service,
                    member=primary.id,
                    leaderless_ms=LEADERLESS_TIME // timedelta(milliseconds=1),
                )
            )

    def replacement(self, primary: MemberEntry) -> None:
        """Tell all VMs to wait with new work, as a primary that is back cannot commit it."""
        self._state.record_replacement(primary.id, REPLACEMENT_TIME)
        self._net.broadcast(
            frames.Appointed(
                service_name=primary.service,
                member=primary.id,
                replacing_ms=REPLACEMENT_TIME // timedelta(milliseconds=1),
            )
        )

    def appointment(self, service: str, member: str) -> None:
        """Tell all VMs that a member was appointed."""
        self._state.record_appointment(service, member, "order")
        self._net.broadcast(frames.Appointed(service_name=service, member=member))
