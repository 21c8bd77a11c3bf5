"""Change of primary: notice that one is gone or leaving, choose another, order it."""

from datetime import timedelta

import gevent
from attrs import define
from bramleyrill_base import log_event
from bramleyrill_core.catalog import MemberEntry, MemberRow
from bramleyrill_core.leadership import (
    Candidate,
    DutyRecord,
    DutyView,
    Evidence,
    Verdict,
    assess_primary,
    choose_successor,
    next_record,
)
from bramleyrill_core.membership import rendezvous_order
from bramleyrill_core.placement import holder_candidates
from bramleyrill_platform import (
    AppointResult,
    ConflictError,
    DutyClient,
    NotFoundError,
    StoreClient,
    StoredObject,
    StoreError,
    UnansweredError,
    lines,
)
from bramleyrill_wire.entries import frames

from bramleyrill_entry._desks import Desks
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError

KIND_DUTIES = "bramleyrill-duties"
TICK = timedelta(milliseconds=250)
# A VM's place among the supervisors is worked out this often: it hashes every VM.
TURN_CACHED = timedelta(seconds=1)
# So many VMs look after a service; the second acts this much later than the first.
SUPERVISORS = 3
TURN = timedelta(milliseconds=700)
# Asking the other VMs for the proofs they have.
ASKED_VMS = 12
STATUS_TIMEOUT = timedelta(milliseconds=500)
DIAL_TIMEOUT = timedelta(milliseconds=500)
# A planned change waits this long for open transactions, and for a replica to catch up.
TRANSACTIONS_WAIT = timedelta(seconds=1.2)
CATCH_UP_WAIT = timedelta(seconds=1.5)
PAUSE_LIMIT = timedelta(seconds=5)
POLL = timedelta(milliseconds=40)
ORDER_ATTEMPTS = 6
ORDER_PAUSE = timedelta(milliseconds=300)
# A service without a known primary is given this long to name one by itself.
NO_PRIMARY_WAIT = timedelta(seconds=3)


@define(eq=False)
class Watched:
    """What this VM knows of a service's primary beyond the shared tables.

    `turn` is this VM's place among the supervisors, None for no place, until `turn_until`.
    """

    service: str
    duty: DutyView
    since: timedelta
    member: str = ""
    working: bool = False
    turn: int | None = None
    turn_until: timedelta = timedelta()


class Supervisor:
    """Replace primaries that are gone or leaving."""

    def __init__(
        self,
        state: EntryState,
        net: PeerNet,
        desks: Desks,
        executor: Executor,
        store: StoreClient,
        duties: DutyClient,
    ) -> None:
        self._state = state
        self._net = net
        self._desks = desks
        self._executor = executor
        self._store = store
        self._duties = duties
        self._watched: dict[str, Watched] = {}

    def tick(self) -> None:
        """Look at each service that this VM is to look after."""
        if self._state.stopping:
            return
        for service in self._services():
            watched = self._watched.get(service)
            if watched is None:
                watched = Watched(service, DutyView(), self._state.now())
                self._watched[service] = watched
            if not watched.working:
                watched.working = True
                gevent.spawn(self._work, watched)

    def _services(self) -> list[str]:
        """Return the services whose members are known."""
        return sorted({row.entry.service for row in self._state.members.members})

    def _work(self, watched: Watched) -> None:
        try:
            self._look_after(watched)
        finally:
            watched.working = False

    def _look_after(self, watched: Watched) -> None:
        state = self._state
        row = state.members.primary_of(watched.service)
        member = row.entry.id if row is not None else ""
        if member != watched.member:
            watched.member, watched.since = member, state.now()
        if row is not None and not row.takes_work:
            self._replace_draining(watched, row)
            return
        turn = self._turn(watched)
        if turn is None:
            return
        silent_for = self._silent_for(watched)
        if row is None:
            if silent_for > NO_PRIMARY_WAIT + turn * TURN:
                self._replace(watched, None)
            return
        if assess_primary(Evidence(silent_for - turn * TURN)) is Verdict.FINE:
            return
        silent_for, refused = self._check(watched, row.entry)
        evidence = Evidence(silent_for - turn * TURN, checked=True, refused=refused)
        if assess_primary(evidence) is Verdict.REPLACE:
            log_event(
                "primary_suspected",
                service=watched.service,
                member=member,
                silent_for=silent_for,
                refused=refused,
                turn=turn,
            )
            self._replace(watched, row.entry)

    def _turn(self, watched: Watched) -> int | None:
        """Return this VM's place among those that look after a service, or None."""
        now = self._state.now()
        if now >= watched.turn_until:
            vms = [vm.id for vm in self._state.vms.usable()]
            order = rendezvous_order(watched.service, vms)[:SUPERVISORS]
            own = self._state.vm
            watched.turn = order.index(own) if own in order else None
            watched.turn_until = now + TURN_CACHED
        return watched.turn

    def _silent_for(self, watched: Watched) -> timedelta:
        now = self._state.now()
        age = self._state.proofs.of(watched.service).age(now)
        since = now - watched.since
        return since if age is None else min(age, since)

    def _check(self, watched: Watched, primary: MemberEntry) -> tuple[timedelta, bool]:
        """Ask for proofs; return for how long nobody had one, and whether dials are refused."""
        service = watched.service
        vms = [row.entry.id for row in self._state.vms.vms if not row.entry.leaving]
        holder = holder_candidates(self._state.vms, primary)[0]
        asked = [gevent.spawn(self._executor.prove, holder, service)]
        for vm in vms[:ASKED_VMS]:
            if vm != holder:
                asked.append(gevent.spawn(self._executor.prove, vm, service, True))
        gevent.joinall(asked)
        if self._silent_for(watched) < TICK:
            return self._silent_for(watched), False
        return self._silent_for(watched), self._try_primary(primary)

    def _try_primary(self, primary: MemberEntry) -> bool:
        """Ask the member itself for a proof; tell whether its machine refuses connections."""
        clock = self._state.clock
        try:
            connection = UpstreamConnection.dial(primary, DIAL_TIMEOUT, clock)
        except UpstreamError as error:
            return error.refused
        sent_at = self._state.now()
        try:
            answer = connection.ask(lines.OWN_ID, lines.BEGIN_TEXT, STATUS_TIMEOUT)
        except UpstreamError:
            return False
        finally:
            connection.close()
        if answer.succeeded and answer.mark is not None:
            self._state.note_proof(
                primary.service, primary.id, answer.mark.term, answer.mark, sent_at
            )
        return False

    # Choosing and ordering.

    def _replace(self, watched: Watched, primary: MemberEntry | None) -> None:
        candidates = self._ask_candidates(watched.service, primary)
        chosen = choose_successor(candidates)
        if chosen is None:
            log_event("no_successor", service=watched.service, asked=len(candidates))
            return
        self._order(watched, chosen, primary)

    def _ask_candidates(self, service: str, primary: MemberEntry | None) -> list[Candidate]:
        rows = [
            row
            for row in self._state.members.of_service(service)
            if row.takes_work and (primary is None or row.entry.id != primary.id)
        ]
        asked = [gevent.spawn(self._ask_status, row) for row in rows]
        gevent.joinall(asked)
        return [job.value for job in asked if job.value is not None]

    def _ask_status(self, row: MemberRow) -> Candidate | None:
        """Ask a member for the last entry of its log."""
        try:
            connection = UpstreamConnection.dial(row.entry, DIAL_TIMEOUT, self._state.clock)
        except UpstreamError as error:
            log_event("status_failed", member=row.entry.id, reason=error)
            return None
        try:
            answer = connection.ask(lines.OWN_ID, lines.STATUS_TEXT, STATUS_TIMEOUT)
            report = lines.parse_report(answer.rows)
        except (UpstreamError, lines.LineError) as error:
            log_event("status_failed", member=row.entry.id, reason=error)
            return None
        finally:
            connection.close()
        return Candidate(row.entry.id, report.mark, row.takes_work)

    def _order(self, watched: Watched, chosen: str, primary: MemberEntry | None) -> bool:
        """Write the duty's record, then order; tell whether the order was carried out."""
        record = self._take_duty(watched, chosen)
        if record is None:
            return False
        for _ in range(ORDER_ATTEMPTS):
            result = self._duties.appoint(
                watched.service, chosen, record.holder, record.fencing_token
            )
            log_event(
                "primary_ordered",
                service=watched.service,
                member=chosen,
                earlier=primary.id if primary else "-",
                token=record.fencing_token,
                result=result,
            )
            if result is AppointResult.DONE:
                self._note_appointed(watched.service, chosen)
                return True
            if result is AppointResult.REFUSED:
                return False
            gevent.sleep(ORDER_PAUSE.total_seconds())
        return False

    def _note_appointed(self, service: str, member: str) -> None:
        self._state.note_appointed(service, member, "order")
        self._net.broadcast(frames.Appointed(service_name=service, member=member))

    def _take_duty(self, watched: Watched, member: str) -> DutyRecord | None:
        """Write the record of the next order; return it, or None if another VM holds the duty."""
        try:
            self._read_duty(watched)
            if not watched.duty.may_acquire(self._state.vm, self._state.now()):
                log_event("duty_held", service=watched.service, holder=watched.duty.record.holder)
                return None
            record = next_record(watched.duty.record, self._state.vm, member)
            if record == watched.duty.record:
                return record
            stored = self._write_duty(watched, record)
        except ConflictError:
            log_event("duty_lost", service=watched.service)
            return None
        except StoreError as error:
            log_event("duty_not_written", service=watched.service, reason=error)
            return None
        watched.duty = DutyView(record, stored.revision, self._state.now())
        return record

    def _read_duty(self, watched: Watched) -> None:
        now = self._state.now()
        try:
            stored = self._store.get(KIND_DUTIES, watched.service)
        except NotFoundError:
            watched.duty = DutyView(None, 0, now)
            return
        watched.duty.update(DutyRecord.from_value(stored.value), stored.revision, now)

    def _write_duty(self, watched: Watched, record: DutyRecord) -> StoredObject:
        """Write the record; a lost answer is resolved by reading it back."""
        value = record.to_value()
        try:
            if watched.duty.record is None and watched.duty.revision == 0:
                return self._store.create(KIND_DUTIES, watched.service, value)
            return self._store.replace(KIND_DUTIES, watched.service, value, watched.duty.revision)
        except UnansweredError:
            stored = self._store.get(KIND_DUTIES, watched.service)
            if stored.value != value:
                raise
            return stored

    # Planned changes.

    def _replace_draining(self, watched: Watched, row: MemberRow) -> None:
        """Move the lead off a member that is leaving, without losing an entry."""
        holder = holder_candidates(self._state.vms, row.entry)[0]
        if holder != self._state.vm:
            turn = self._turn(watched)
            if (
                turn is not None
                and self._desks.draining_for(row.entry.id) > PAUSE_LIMIT / 2 + turn * TURN
            ):
                self._replace(watched, row.entry)
            return
        log_event("planned_change", service=watched.service, member=row.entry.id)
        desk = self._desks.desk_for(row.entry.id)
        if desk is None:
            self._replace(watched, row.entry)
            return
        desk.paused_until = self._state.now() + PAUSE_LIMIT
        try:
            self._move_lead(watched, row)
        finally:
            desk.paused_until = None
            self._state.primary_changed.fire()

    def _move_lead(self, watched: Watched, row: MemberRow) -> None:
        desk = self._desks.desk_for(row.entry.id)
        deadline = self._state.now() + TRANSACTIONS_WAIT
        while desk.busy and self._state.now() < deadline:
            gevent.sleep(POLL.total_seconds())
        mark = None
        if desk.prove() is None:
            mark = self._state.proofs.of(watched.service).newest.mark
        deadline = self._state.now() + CATCH_UP_WAIT
        while mark is not None and self._state.now() < deadline:
            chosen = choose_successor(self._ask_candidates(watched.service, row.entry), mark)
            if chosen is not None:
                self._order(watched, chosen, row.entry)
                return
            gevent.sleep(POLL.total_seconds())
        self._replace(watched, row.entry)
