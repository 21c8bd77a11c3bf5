"""What this VM believes: configuration, members, proofs, other VMs."""

import socket
from datetime import timedelta
from typing import Any

import gevent
import gevent.socket
from attrs import define, field
from bramleyrill_base import Clock, log_event
from bramleyrill_core import Mark, VmId
from bramleyrill_core.catalog import EMPTY_CATALOG, Catalog, MemberTable
from bramleyrill_core.freshness import ProofTable
from bramleyrill_core.placement import ReadPlacement, VmTable
from bramleyrill_platform import StoredObject
from gevent.event import Event

from bramleyrill_entry._settings import EntrySettings


class Signal:
    """Wake everyone who waits whenever something changes.

    Example: `if not signal.wait(0.2): ...` is False when nothing changed in that time.
    """

    def __init__(self) -> None:
        self._event = Event()

    def fire(self) -> None:
        """Wake those who wait at this moment."""
        event, self._event = self._event, Event()
        event.set()

    def wait(self, seconds: float) -> bool:
        """Wait for the next change; tell whether there was one."""
        return self._event.wait(max(seconds, 0.0))


@define(eq=False)
class EntryState:
    """The tables that the parts of the process share.

    `catalog_body` is the configuration in force and `member_objects` are the members' entries, as
    the platform keeps them, for peers that ask.
    `primary_changed` fires when another member is taken for a primary, `catalog_changed` when a
    version comes into force. `stopping` is set by a planned stop,
    `closing_sessions` once it ends each session after its answer.
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
    closing_sessions: bool = False
    requests_running: int = 0

    @property
    def vm(self) -> VmId:
        """Return this VM's id."""
        return VmId(self.settings.id)

    def now(self) -> timedelta:
        """Return the suspend-aware time."""
        return self.clock.monotonic()

    def apply_catalog(self, catalog: Catalog, body: Any, source: str) -> bool:
        """Put a configuration in force unless one as new is; tell whether it was."""
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
        """Take over that `member` led `term` and had `mark` when asked at `proved_at`."""
        if self.members.prove_primary(service, member, term):
            log_event("primary_changed", service=service, member=member, term=term, source="proof")
            self.primary_changed.fire()
        self.proofs.of(service).note(mark, proved_at)

    def record_appointment(self, service: str, member: str, source: str) -> None:
        """Take over that `member` was made primary."""
        known = self.members.primaries.get(service)
        if known is not None and known.member == member:
            return
        term = self.members.term_of(service) + 1
        if self.members.prove_primary(service, member, term):
            log_event("primary_changed", service=service, member=member, term=term, source=source)
        self.primary_changed.fire()


def run_periodically(interval: timedelta, action: Any) -> gevent.Greenlet:
    """Run `action` for ever, with `interval` between the end of one run and the next."""

    def loop() -> None:
        while True:
            try:
                action()
            except Exception as error:
                # One failed run must not end the duty; the line names the fault.
                log_event("periodic_action_failed", action=action.__qualname__, error=repr(error))
            gevent.sleep(interval.total_seconds())

    return gevent.spawn(loop)


def to_cooperative_socket(sock: socket.socket) -> gevent.socket.socket:
    """Return the cooperative form of a socket that was opened before gevent was imported."""
    return gevent.socket.socket(sock.family, sock.type, fileno=sock.detach())
