"""Ask the other VMs whether one holds a duty by a record that a restore may have taken away."""

from datetime import timedelta

import gevent
from bramleyrill_base import log_event
from bramleyrill_wire.entries import frames

from bramleyrill_entry._duty_leases import DutyLeases, SupervisedService
from bramleyrill_entry._peer_link import PeerLostError
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._state import EntryState

INQUIRY_TIMEOUT = timedelta(milliseconds=400)
# Pause between two inquiries about a duty; in a large fleet each is many frames.
INQUIRY_INTERVAL = timedelta(milliseconds=500)


class DutyInquiry:
    """Find out before the end of a lease that no other VM holds a duty.

    A VM that does not answer may hold it, and so may VMs if this one knows none of them.
    """

    def __init__(self, state: EntryState, net: PeerNet, leases: DutyLeases) -> None:
        self._state = state
        self._net = net
        self._leases = leases

    def ask(self, supervised: SupervisedService) -> None:
        """Mark the duty as free in this era if every VM that is known denies that it holds it."""
        history = self._state.history
        era = history.era
        now = self._state.now()
        if now < supervised.inquiry_at or self._leases.may_take_duties(supervised):
            return
        supervised.inquiry_at = now + INQUIRY_INTERVAL
        vms = [row.entry.id for row in self._state.vms.vms]
        queries = [gevent.spawn(self._may_hold, vm, supervised.service, era) for vm in vms]
        gevent.joinall(queries)
        holders = [vm for vm, query in zip(vms, queries, strict=True) if query.value is not False]
        log_event(
            "duty_inquired", service=supervised.service, era=era, asked=len(vms), held=len(holders)
        )
        if vms and not holders and history.era == era:
            supervised.free_in_era = era

    def _may_hold(self, vm: str, service: str, era: int) -> bool | None:
        """Return what a VM says, or None without an answer."""
        try:
            answer = self._net.call(
                vm,
                lambda call: frames.Prove(
                    call=call, service_name=service, known_only=True, duty_era=era
                ),
                INQUIRY_TIMEOUT,
            )
        except PeerLostError:
            return None
        return answer.may_hold_duty
