"""Keep this VM's permits for the primaries that it uses, and refuse work without one."""

from datetime import timedelta

import gevent
from attrs import define, field
from bramleyrill_base import log_event
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.history import NO_ERA
from bramleyrill_core.leadership import KIND_DUTIES, DutyRecord
from bramleyrill_core.permits import LeadEvidence, StatusReport
from bramleyrill_platform import NotFoundError, StoreClient, StoreError, lines

from bramleyrill_entry._member_status import DIAL_TIMEOUT, read_status
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError

# A permit in use is renewed once it is this old, which leaves time to try both kinds of evidence.
RENEW_AFTER = timedelta(milliseconds=400)
PERMIT_CHECK_INTERVAL = timedelta(milliseconds=150)
# Permits of primaries that got no work for this long are not renewed ahead of need.
UNUSED_AFTER = timedelta(seconds=1.5)
# How long the store may take to answer before the replicas are asked too.
STORE_PATIENCE = timedelta(milliseconds=120)
# How long work may wait for a permit before it is refused.
RENEW_TIMEOUT = timedelta(milliseconds=400)
REPLICA_TIMEOUT = timedelta(milliseconds=300)
# A question that was in progress already may be too old for the work; a second one is not.
MAX_ROUNDS = 2


class NoPermitError(Exception):
    """This VM cannot be certain that the member still leads; nothing was sent."""


@define(eq=False)
class PermitRow:
    """A service's evidence, the questions in progress, and the primary that was last used.

    `held` is whether the last work found a permit. `store_answers` is whether the last question to
    the store was answered; without that the replicas are asked at the same time.
    """

    evidence: LeadEvidence = field(factory=LeadEvidence)
    member: MemberEntry | None = None
    used_at: timedelta = timedelta()
    store_question: gevent.Greenlet | None = None
    replica_question: gevent.Greenlet | None = None
    store_answers: bool = True
    held: bool = True


class PermitKeeper:
    """Permits of this VM by service.

    `needed` is False where members notice by themselves that they were replaced; every primary is
    then covered. Example: `permits.require(member, connection.opened_at)` before a write, and
    `permits.renewed(member)` before its answer is passed on.
    """

    def __init__(self, state: EntryState, store: StoreClient | None) -> None:
        self.needed = not state.settings.fenced_orders
        self._state = state
        self._store = store
        self._rows: dict[str, PermitRow] = {}
        self._connections: dict[str, UpstreamConnection] = {}

    def require(self, member: MemberEntry, since: timedelta) -> None:
        """Return once a permit that started at `since` or later covers now.

        Raises NoPermitError if there is none within RENEW_TIMEOUT. `since` is the time when the
        connection was opened: a member that restarted in between may have lost its lead.
        """
        if not self.renewed(member, since):
            raise NoPermitError

    def renewed(self, member: MemberEntry, since: timedelta = timedelta.min) -> bool:
        """Return whether a permit covers now; ask for a new one if the last one has expired."""
        if not self.needed:
            return True
        row = self._row(member)
        row.member, row.used_at = member, self._state.now()
        deadline = row.used_at + RENEW_TIMEOUT
        for _ in range(MAX_ROUNDS):
            if self._covers(row, member, self._state.now(), since):
                break
            self._renew(row, member, deadline)
        held = self._covers(row, member, self._state.now(), since)
        if held is not row.held:
            event = "permit_regained" if held else "permit_lost"
            log_event(event, service=member.service, member=member.id)
            row.held = held
        return held

    def covers(self, member: MemberEntry, at: timedelta) -> bool:
        """Return whether a known permit covers the time `at`."""
        return not self.needed or self._covers(self._row(member), member, at, timedelta.min)

    def tick(self) -> None:
        """Renew the permits in use that are no longer young; close connections of unused ones."""
        if not self.needed:
            return
        now = self._state.now()
        asked = False
        for row in self._rows.values():
            if row.member is None or now - row.used_at > UNUSED_AFTER:
                continue
            asked = asked or not row.store_answers
            start = row.evidence.start(row.member.id, self._replica_ids(row.member))
            if start is None or now - start > RENEW_AFTER:
                gevent.spawn(self._renew, row, row.member, now + RENEW_TIMEOUT)
        if not asked:
            self.close()

    def close(self) -> None:
        """Close the connections to replicas."""
        while self._connections:
            self._connections.popitem()[1].close()

    def _row(self, member: MemberEntry) -> PermitRow:
        return self._rows.setdefault(member.service, PermitRow())

    def _covers(self, row: PermitRow, member: MemberEntry, at: timedelta, since: timedelta) -> bool:
        return row.evidence.covers(member.id, self._replica_ids(member), at, since)

    def _replicas(self, member: MemberEntry) -> list[MemberEntry]:
        rows = self._state.members.members_of_service(member.service)
        return [row.entry for row in rows if row.entry.id != member.id]

    def _replica_ids(self, member: MemberEntry) -> list[str]:
        return [replica.id for replica in self._replicas(member)]

    # Evidence.

    def _renew(self, row: PermitRow, member: MemberEntry, deadline: timedelta) -> None:
        """Ask the store, and the replicas if it does not answer soon; wait until `deadline`."""
        asked_at = self._state.now()
        if row.store_question is None or row.store_question.ready():
            row.store_question = gevent.spawn(self._ask_store, row, member.service)
        if row.store_answers:
            patience = min(asked_at + STORE_PATIENCE, deadline)
            row.store_question.join(self._seconds_until(patience))
            if self._covers(row, member, self._state.now(), asked_at):
                return
            if row.store_question.ready() and row.store_answers:
                # The store answered a question from before this call, or names another member.
                return
        if row.replica_question is None or row.replica_question.ready():
            row.replica_question = gevent.spawn(self._ask_replicas, row, member)
        questions = [row.store_question, row.replica_question]
        while not self._covers(row, member, self._state.now(), asked_at):
            pending = [question for question in questions if not question.ready()]
            if not pending or self._state.now() >= deadline:
                return
            gevent.wait(pending, timeout=self._seconds_until(deadline), count=1)

    def _seconds_until(self, deadline: timedelta) -> float:
        return max((deadline - self._state.now()).total_seconds(), 0.0)

    def _ask_store(self, row: PermitRow, service: str) -> None:
        """Read the duty's record; a malformed record says nothing, like a missing answer."""
        asked_at = self._state.now()
        try:
            ordered_member = self._read_ordered_member(service)
        except (StoreError, ValueError) as error:
            if row.store_answers:
                log_event("duty_not_read", service=service, reason=error)
            row.store_answers = False
            return
        row.store_answers = True
        row.evidence.record_order(ordered_member, asked_at)

    def _read_ordered_member(self, service: str) -> str:
        """Return the member that the duty's record names, empty on a store without eras.

        Raises StoreError, and ValueError if the record is malformed or of an earlier era: a
        restore may have taken a later one away.
        """
        try:
            stored = self._store.get(KIND_DUTIES, service)
        except NotFoundError as error:
            if error.revision.era == NO_ERA:
                return ""
            raise
        record = DutyRecord.from_value(stored.value)
        if record is None or record.era != stored.era:
            raise ValueError("the record is malformed or of an earlier era")
        return record.member

    def _ask_replicas(self, row: PermitRow, member: MemberEntry) -> None:
        # The term that the member leads. The newest known one may be that of its successor already,
        # in which a fence of the successor would not show.
        members = self._state.members
        term = members.proved_term_of(member.service, member.id) or self._ask_term(member)
        asked_at = self._state.now()
        replicas = self._replicas(member)
        questions = [gevent.spawn(self._ask_replica, replica) for replica in replicas]
        gevent.joinall(questions)
        reports = {
            replica.id: question.value
            for replica, question in zip(replicas, questions, strict=True)
            if question.value is not None
        }
        row.evidence.record_reports(member.id, term, reports, asked_at)
        for replica, report in reports.items():
            if report.is_primary and report.term > term:
                self._state.record_claimed_lead(member.service, replica, report.term)

    def _ask_term(self, member: MemberEntry) -> int:
        """Ask a primary that has not proved a term yet for the one that it leads; 0 if it fails."""
        report = self._ask_replica(member)
        return report.term if report is not None and report.is_primary else 0

    def _ask_replica(self, replica: MemberEntry) -> StatusReport | None:
        """Ask a replica for its status on a connection that is kept for the next time."""
        connection = self._connections.pop(replica.id, None)
        if connection is None or connection.closed:
            try:
                connection = UpstreamConnection.dial(replica, DIAL_TIMEOUT, self._state.clock)
            except UpstreamError as error:
                log_event("status_failed", member=replica.id, reason=error)
                return None
        report = read_status(connection, lines.STATUS_TEXT, REPLICA_TIMEOUT)
        if not connection.closed:
            earlier = self._connections.get(replica.id)
            if earlier is not None:
                earlier.close()
            self._connections[replica.id] = connection
        return report
