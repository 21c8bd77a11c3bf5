"""State shared by the parts of the process: configuration, members, proofs, other VMs."""

import socket
from datetime import timedelta
from typing import Any

import gevent
import gevent.socket
from attrs import Factory, define, field
from bramleyrill_base import Clock, log_event
from bramleyrill_core import Mark, VmId
from bramleyrill_core.admission import TeamWeights
from bramleyrill_core.catalog import EMPTY_CATALOG, Catalog, MemberTable
from bramleyrill_core.freshness import ProofTable
from bramleyrill_core.history import StoreHistory
from bramleyrill_core.placement import ReadPlacement, VmTable
from bramleyrill_platform import StoredObject
from gevent.event import Event

from bramleyrill_entry._memory_limits import MemoryLimits
from bramleyrill_entry._settings import EntrySettings
from bramleyrill_entry._team_metrics import TeamMetrics


class Signal:
    """Wake all waiting greenlets whenever something changes.

    Example: `if not signal.wait(0.2): ...` runs the branch if nothing changed within 0.2 s.
    """

    def __init__(self) -> None:
        self._event = Event()

    def fire(self) -> None:
        """Wake the greenlets that wait at this moment."""
        event, self._event = self._event, Event()
        event.set()

    def wait(self, seconds: float) -> bool:
        """Wait for the next change; return False if there was none in time."""
        return self._event.wait(max(seconds, 0.0))


@define(eq=False)
class EntryState:
    """State shared by the parts of the process.

    `catalog_body` and `member_objects` are the configuration in force and the member entries in
    the platform's format, for peers that pull them. `primary_changed` fires when the known
    primary of a service changes or an appointment is learned, `catalog_changed` when a new
    version is in force. `stopping` is set when a planned stop begins, and `closing_sessions` when
    it starts to close each session after its current answer. After `answer_by`, which is set by a
    planned stop, nothing more is sent to a member. `requests_running` counts the
    statements of callers in progress. `watches_store` is whether this VM follows the store itself;
    otherwise it learns of changes from its peers. `history` is the era of the store that it knows.
    `team_metrics` counts the work of teams at the members that this VM is the holder of.
    `leaderless_until_by_service` has the services whose primary does not answer and whose
    successor is not known to be safe yet. `replaced_until_by_member` has the primaries whose
    successor is being chosen. `memory` bounds what the callers' sessions hold.
    """

    settings: EntrySettings
    clock: Clock
    vms: VmTable
    placement: ReadPlacement
    catalog: Catalog = EMPTY_CATALOG
    catalog_body: Any = None
    member_objects: dict[str, StoredObject] = field(factory=dict, repr=False)
    members: MemberTable = field(factory=MemberTable)
    proofs: ProofTable = field(factory=ProofTable)
    primary_changed: Signal = field(factory=Signal)
    catalog_changed: Signal = field(factory=Signal)
    stopping: bool = False
    answer_by: timedelta | None = None
    closing_sessions: bool = False
    requests_running: int = 0
    watches_store: bool = True
    team_metrics: TeamMetrics = field(factory=TeamMetrics)
    leaderless_until_by_service: dict[str, timedelta] = field(factory=dict)
    replaced_until_by_member: dict[str, timedelta] = field(factory=dict)
    _weights: TeamWeights = field(
        init=False,
        default=Factory(lambda state: TeamWeights(lambda: state.catalog.teams), takes_self=True),
    )
    memory: MemoryLimits = field(
        default=Factory(lambda state: MemoryLimits.of(state.settings.memory_mb), takes_self=True)
    )
    history: StoreHistory = field(
        default=Factory(lambda state: StoreHistory(state.clock), takes_self=True)
    )

    @property
    def vm(self) -> VmId:
        """Return this VM's id."""
        return VmId(self.settings.id)

    def now(self) -> timedelta:
        """Return the monotonic time, which includes time in suspend."""
        return self.clock.monotonic()

    def weight_of(self, team: str) -> float:
        """Return the weight of a team at contended members, by the configuration in force."""
        return self._weights.of(team)

    def apply_catalog(self, catalog: Catalog, body: Any, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if catalog.version <= self.catalog.version:
            return False
        log_event(
            "configuration_in_force",
            version=catalog.version,
            earlier=self.catalog.version,
            source=source,
            routes=len(catalog.routes_by_database),
        )
        self.catalog, self.catalog_body = catalog, body
        self.catalog_changed.fire()
        return True

    def record_proof(
        self, service: str, member: str, term: int, mark: Mark, proved_at: timedelta
    ) -> None:
        """Record that `member` was primary in `term`, with log position `mark`, at `proved_at`.

        `proved_at` must be the time when the request was sent, or earlier.
        """
        if self.members.record_primary_proof(service, member, term):
            log_event("primary_changed", service=service, member=member, term=term, source="proof")
            self.primary_changed.fire()
        self.leaderless_until_by_service.pop(service, None)
        self.proofs.history_of(service).record(mark, proved_at, member)

    def record_claimed_lead(self, service: str, member: str, term: int) -> None:
        """Record that a member says that it leads `term`: no proof, but the best one to ask."""
        if self.members.record_primary_proof(service, member, term):
            log_event("primary_changed", service=service, member=member, term=term, source="status")
            self.primary_changed.fire()

    def cannot_answer(self) -> bool:
        """Return whether this process stops too soon to run another statement."""
        return self.answer_by is not None and self.now() >= self.answer_by

    def record_leaderless(self, service: str, duration: timedelta) -> None:
        """Record that a service has no usable primary, and will have none for a while."""
        self.leaderless_until_by_service[service] = self.now() + duration

    def is_leaderless(self, service: str) -> bool:
        """Return whether waiting for a service's primary is of no use now."""
        return self._holds_until(self.leaderless_until_by_service, service)

    def record_replacement(self, member: str, duration: timedelta) -> None:
        """Record that the successor of a primary is being chosen, and will be for a while."""
        self.replaced_until_by_member[member] = self.now() + duration

    def is_being_replaced(self, member: str) -> bool:
        """Return whether new work at a primary would be lost, or end with it."""
        return self._holds_until(self.replaced_until_by_member, member)

    def _holds_until(self, end_by_name: dict[str, timedelta], name: str) -> bool:
        """Return whether the end recorded for a name is still to come; forget it if not."""
        end = end_by_name.get(name)
        if end is None:
            return False
        if self.now() < end:
            return True
        del end_by_name[name]
        return False

    def record_appointment(self, service: str, member: str, source: str) -> None:
        """Record that `member` was appointed primary."""
        self.leaderless_until_by_service.pop(service, None)
        self.replaced_until_by_member.pop(member, None)
        current = self.members.primaries.get(service)
        if current is not None and current.member == member:
            return
        if self.members.record_appointment(service, member):
            term = self.members.term_of(service)
            log_event("primary_changed", service=service, member=member, term=term, source=source)
        self.primary_changed.fire()


def run_periodically(interval: timedelta, action: Any) -> gevent.Greenlet:
    """Run `action` forever in a greenlet, with a pause of `interval` after each run."""

    def loop() -> None:
        while True:
            try:
                action()
            except Exception as error:
                # A failed run must not end the periodic task.
                log_event("periodic_action_failed", action=action.__qualname__, error=repr(error))
            gevent.sleep(interval.total_seconds())

    return gevent.spawn(loop)


def to_cooperative_socket(sock: socket.socket) -> gevent.socket.socket:
    """Return a gevent socket for a socket that was opened before gevent was imported."""
    return gevent.socket.socket(sock.family, sock.type, fileno=sock.detach())
