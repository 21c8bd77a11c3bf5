"""Runs a request: routing, attempts and retries, and the check before the acknowledgement."""

from collections import deque
from datetime import timedelta

import attrs
import gevent
from attrs import define
from bramleyrill_base import ErrorKind, Problem, is_not_run
from bramleyrill_core import NO_MARK, Mark, StatementClass
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.membership import holder_of
from bramleyrill_core.retries import count_request, may_retry
from bramleyrill_core.routing import Route, next_route, record_primary, route
from bramleyrill_core.succession import PrimaryAnswer, check_answer, entry_expiry
from bramleyrill_wire import postgres as pg
from returns.result import Failure, Result

from bramleyrill_daemon._transaction import Outcome, Request, Transaction
from bramleyrill_daemon.front._batch import AnswerTracker, PreparedStatement

# Delay before routing again while the primary is unknown; failovers take seconds.
ROUTE_RETRY_DELAY = timedelta(milliseconds=25)
# The VMs' views of who holds a member differ only for a short time; a request that is redirected
# more often is in a redirect loop.
MAX_REDIRECTS = 3
_MAX_ATTEMPTS = 8
_REPEATABLE_KINDS = (StatementClass.READ, StatementClass.BEGIN)
_ENDING_KINDS = (StatementClass.COMMIT, StatementClass.ROLLBACK)
_READY_BYTES = pg.READY_SIZE


@define
class CallerRequest:
    """A request of a caller: a Query frame, or the frames of a batch.

    `hold` says that the whole answer is held back until the permit is checked, for requests that
    may commit before their last statement; `held_chunks` has what has been held back so far.
    `expected` lists the expected answers if the tracker has to follow them, otherwise it is None;
    `session_statements` has the session's prepared statements, which the tracker updates. `tracker`
    follows the answers of the current attempt, if it is needed. `forwarded` says that part of the
    answer was sent to the caller, so that the request cannot be retried.
    """

    frames: bytes
    kind: StatementClass
    may_commit: bool
    alters_session: bool
    hold: bool = False
    expected: deque | None = None
    session_statements: dict[str, PreparedStatement] | None = None
    forwarded: bool = False
    held_chunks: list[bytes] | None = None
    held_bytes: int = 0
    tracker: AnswerTracker | None = None

    @property
    def is_read(self) -> bool:
        """Return whether the request is proved to be a read."""
        return self.kind is StatementClass.READ

    def start_attempt(self) -> None:
        """Reset the tracker and the held answer before an attempt."""
        if self.expected is not None:
            self.tracker = AnswerTracker(deque(self.expected), self.session_statements)
        if self.hold:
            self.held_chunks = []
            self.held_bytes = 0


class RequestRunner:
    """Run the requests of sessions; `session` arguments are `CallerSession` objects.

    A runner has no state of its own, so all sessions of a front share one.
    """

    def __init__(self, front) -> None:
        self._front = front
        self._world = front.world
        self._clock = front.world.clock
        self._executor = front.executor

    def run(self, session, caller_request: CallerRequest) -> Problem | None:
        """Run a request and answer its caller; return the problem that is still to be sent, if any.

        A transaction that remains open is in `session.transaction` afterwards, and its status in
        `session.status`.
        """
        started = self._clock.monotonic()
        row = session.row
        served = False
        try:
            if not row.writes and caller_request.kind is StatementClass.WRITE:
                problem = Problem(ErrorKind.READ_ONLY_CALLER, f"user {row.user!r}")
            elif session.transaction is not None:
                since = session.flush_start or started
                problem = self._run_in_transaction(session, caller_request, since)
            else:
                problem = self._run_outside_transaction(session, caller_request, started)
            served = problem is None and not session.caller_disconnected
        finally:
            self._front.record(row, self._clock.monotonic() - started, served)
        return problem

    def _run_in_transaction(
        self, session, caller_request: CallerRequest, started: timedelta
    ) -> Problem | None:
        caller_request.start_attempt()
        outcome = self._send_and_receive(session, session.transaction, caller_request)
        problem = outcome.problem or self._acknowledge(
            session, caller_request, outcome, None, started
        )
        if problem is None:
            if outcome.tx_status == b"I":
                session.close_transaction()
            return None
        session.close_transaction()
        if session.status != b"I" and caller_request.kind not in _ENDING_KINDS:
            session.fail_transaction(problem)
        else:
            session.status = b"I"
        return problem

    def _run_outside_transaction(
        self, session, caller_request: CallerRequest, started: timedelta
    ) -> Problem | None:
        """Run a request outside a transaction, after it was admitted at this VM."""
        row, entry_queue = session.row, self._front.entry_queue
        deadline = started + self._front.policy_of(session).deadline
        admission_request = entry_queue.new_request(
            WorkClass(row.fleet, row.service, row.rank), deadline
        )
        session.admission_request = admission_request
        problem = entry_queue.admit(admission_request)
        if problem is not None:
            return problem
        try:
            return self._run_admitted(session, caller_request, started, deadline)
        finally:
            entry_queue.finish(admission_request)

    def _run_admitted(
        self, session, caller_request: CallerRequest, started: timedelta, deadline: timedelta
    ) -> Problem | None:
        """Make attempts until one is answered, or until its problem must not be retried.

        A redirect by the holder is followed at once, at most MAX_REDIRECTS times. Other problems
        are retried as far as the retry budget and the kind of request allow, on the next route, or
        after a delay if there is none. Nothing is retried after part of an answer was sent to the
        caller, after a cancel, or past the deadline.
        """
        world, row = self._world, session.row
        service = f"{row.fleet}/{row.service}"
        count_request(world, service)
        repeatable = row.repeatable or caller_request.kind in _REPEATABLE_KINDS
        may_have_run = False
        redirects = 0
        is_first_attempt = True
        current_route: Route | None = None
        for _ in range(_MAX_ATTEMPTS):
            if current_route is None:
                route_result = route(world, row, caller_request.kind, False)
                if type(route_result) is Failure:
                    route_result = self._wait_for_route(
                        session, caller_request, deadline, route_result.failure()
                    )
                    if type(route_result) is Failure:
                        return _final_problem(route_result.failure(), may_have_run)
                current_route = route_result.unwrap()
            sent_at = started if is_first_attempt else self._clock.monotonic()
            is_first_attempt = False
            problem, outcome = self._run_once(
                session, caller_request, current_route, sent_at, deadline - sent_at
            )
            if problem is None:
                return None
            not_run = is_not_run(problem.kind)
            may_have_run |= not not_run and caller_request.kind not in _REPEATABLE_KINDS
            if caller_request.forwarded or session.canceled or self._clock.monotonic() >= deadline:
                break
            if not_run and outcome.redirect is not None and redirects < MAX_REDIRECTS:
                redirects += 1
                current_route = self._redirected_route(current_route, outcome)
                continue
            if not may_retry(world, service, problem.kind, repeatable, not not_run):
                break
            route_result = next_route(world, row, current_route, problem)
            if not isinstance(route_result, Failure):
                current_route = route_result.unwrap()
            elif problem.kind is ErrorKind.TOO_STALE:
                break
            else:
                current_route = None
                gevent.sleep(ROUTE_RETRY_DELAY.total_seconds())
        return _final_problem(problem, may_have_run)

    def _wait_for_route(
        self, session, caller_request: CallerRequest, deadline: timedelta, problem: Problem
    ) -> Result[Route, Problem]:
        """Route again until a primary is known; fail if the deadline is near or on a cancel."""
        while problem.kind is ErrorKind.NOT_RUN_NO_PRIMARY:
            if session.canceled:
                return Failure(Problem(ErrorKind.CANCELED))
            if deadline - self._clock.monotonic() <= ROUTE_RETRY_DELAY:
                break
            gevent.sleep(ROUTE_RETRY_DELAY.total_seconds())
            route_result = route(self._world, session.row, caller_request.kind, False)
            if type(route_result) is not Failure:
                return route_result
            problem = route_result.failure()
        return Failure(problem)

    def _run_once(
        self,
        session,
        caller_request: CallerRequest,
        current_route: Route,
        sent_at: timedelta,
        deadline_left: timedelta,
    ) -> tuple[Problem | None, Outcome]:
        """Make one attempt; return its problem or None, and its outcome (maybe a redirect)."""
        request = self._new_request(session.row, caller_request, deadline_left)
        caller_request.start_attempt()
        transaction = session.transaction = self._executor.open(current_route, request)
        outcome = self._send_and_receive(session, transaction, caller_request)
        problem = outcome.problem or self._acknowledge(
            session, caller_request, outcome, current_route, sent_at
        )
        if problem is not None or outcome.tx_status == b"I":
            session.close_transaction()
        return problem, outcome

    def _new_request(self, row, caller_request: CallerRequest, deadline_left: timedelta) -> Request:
        return Request(
            id=self._front.next_request_id(),
            fleet=row.fleet,
            service=row.service,
            database=row.database,
            rank=row.rank,
            kind=caller_request.kind,
            deadline_left=deadline_left,
            repeatable=row.repeatable,
            may_commit=caller_request.may_commit,
            alters_session=caller_request.alters_session,
        )

    def _send_and_receive(
        self, session, transaction: Transaction, caller_request: CallerRequest
    ) -> Outcome:
        transaction.send(caller_request.frames, caller_request.may_commit)
        while True:
            received = transaction.receive()
            if type(received) is Outcome:
                return received
            if session.caller_disconnected:
                continue
            if caller_request.held_chunks is not None:
                caller_request.held_chunks.append(received.frames)
                caller_request.held_bytes += len(received.frames)
                if caller_request.held_bytes > self._front.limits.held_answer_bytes:
                    detail = "the answer is too long to be held until its commit is confirmed"
                    return Outcome(problem=Problem(ErrorKind.OUTCOME_UNKNOWN, detail))
                continue
            frames = (
                caller_request.tracker.filter(received.frames)
                if caller_request.tracker
                else received.frames
            )
            caller_request.forwarded = True
            session.caller.send(frames)

    def open_flushed_batch(self, session) -> Problem | None:
        """Open a transaction at the primary for a batch that is sent in parts.

        The later parts of the batch are not known yet and may write.
        """
        deadline = self._clock.monotonic() + self._front.policy_of(session).deadline
        caller_request = CallerRequest(
            b"", StatementClass.BEGIN, may_commit=True, alters_session=True
        )
        route_result = route(self._world, session.row, caller_request.kind, False)
        if type(route_result) is Failure:
            route_result = self._wait_for_route(
                session, caller_request, deadline, route_result.failure()
            )
            if type(route_result) is Failure:
                return route_result.failure()
        request = self._new_request(session.row, caller_request, deadline - self._clock.monotonic())
        session.transaction = self._executor.open(route_result.unwrap(), request)
        return None

    def flush(self, session, frames: bytes, tracker: AnswerTracker) -> Problem | None:
        """Send a part of a batch and forward the answers until every frame of it is answered."""
        transaction = session.transaction
        transaction.send(frames + pg.FLUSH, False, True)
        while not tracker.all_answered:
            received = transaction.receive()
            if type(received) is Outcome:
                return received.problem or Problem(ErrorKind.INTERNAL, "an answer ended early")
            if not session.caller_disconnected:
                session.caller.send(tracker.filter(received.frames))
        return None

    def _acknowledge(
        self,
        session,
        caller_request: CallerRequest,
        outcome: Outcome,
        current_route: Route | None,
        sent_at: timedelta,
    ) -> Problem | None:
        """Apply an outcome that has no problem, and answer the caller.

        A write is acknowledged only while its permit is valid. A read needs no permit here, as the
        holder had one when it received the request, but it fails with LOST_ENTRY or TOO_STALE if
        the member's term history does not confirm the session's earlier marks. Return the problem,
        with the end of the answer not sent, if it must not be acknowledged.
        """
        row = session.row
        tail = (
            b"".join((*caller_request.held_chunks, outcome.tail))
            if caller_request.held_chunks
            else outcome.tail
        )
        if caller_request.tracker is not None:
            tail = caller_request.tracker.filter(tail)
        if not (
            caller_request.may_commit
            or (current_route is not None and current_route.at_primary and caller_request.is_read)
        ):
            session.status = outcome.tx_status
            if not session.caller_disconnected:
                session.caller.send(tail)
            return None
        wrote = caller_request.may_commit and not caller_request.is_read
        previous_mark = row.mark
        answer = PrimaryAnswer(
            sent_at,
            outcome.permit_age,
            outcome.permit_length,
            outcome.mark,
            outcome.history,
            wrote,
        )
        checked = check_answer(self._world, row, answer)
        if type(checked) is Failure:
            return _discard_mark(row, checked.failure(), previous_mark)
        token = checked.unwrap()
        if token:
            status = pg.parameter_status("bramleyrill.token", token)
            tail = tail[:-_READY_BYTES] + status + tail[-_READY_BYTES:]
        if current_route is not None and outcome.at_primary and outcome.mark is not None:
            self._record_primary(row.database, current_route, outcome)
        if not session.caller_disconnected:
            if not wrote:
                session.caller.send(tail)
            else:
                expiry = entry_expiry(sent_at, outcome.permit_age, outcome.permit_length)
                if not session.caller.send_before(tail, self._clock, expiry):
                    problem = Problem(ErrorKind.OUTCOME_UNKNOWN, "the caller read too late")
                    return _discard_mark(row, problem, previous_mark)
        session.status = outcome.tx_status
        return None

    def _record_primary(self, database: str, current_route: Route, outcome: Outcome) -> None:
        term = outcome.mark.term
        if outcome.history and outcome.history[-1].term > term:
            term = outcome.history[-1].term
        record_primary(self._world, database, term, current_route.member)

    def _redirected_route(self, current_route: Route, outcome: Outcome) -> Route:
        """Return the route to the VM and the member of a redirect.

        A redirect without a member means the same member at another VM. If that VM was already
        asked, or is not known to hold the member, it means another member that the VM holds.
        """
        world = self._world
        member, vm = current_route.member, outcome.redirect
        if outcome.redirect_member is not None:
            member = outcome.redirect_member
        elif holder_of(world, member) != vm or current_route.vm == vm:
            database = world.text.database_of(member)
            others = (m.id for m in database.members if m.id != member)
            member = next((m for m in others if holder_of(world, m) == vm), member)
        return attrs.evolve(current_route, member=member, vm=vm)


def _final_problem(problem: Problem, may_have_run: bool) -> Problem:
    """Return the problem, or OUTCOME_UNKNOWN for "not run" if an earlier attempt may have run."""
    if may_have_run and is_not_run(problem.kind):
        return Problem(ErrorKind.OUTCOME_UNKNOWN, f"first attempt; then: {problem.kind.name}")
    return problem


def _discard_mark(row, problem: Problem, previous_mark: Mark | None) -> Problem:
    """Return `problem`; on an unknown outcome, discard the session's mark.

    Without a mark, the session's next read, with which the caller may check the outcome, goes to
    the primary. The previous mark is kept to be checked against the term history there, because an
    acknowledged write must not be lost unnoticed.
    """
    if problem.kind is ErrorKind.OUTCOME_UNKNOWN and previous_mark != NO_MARK:
        if previous_mark is not None and previous_mark not in row.unconfirmed_marks:
            row.unconfirmed_marks = (*row.unconfirmed_marks, previous_mark)
        row.mark = None
    return problem
