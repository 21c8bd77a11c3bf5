"""Run one request: route, exchange, retries, and the check before it is acknowledged."""

from collections import deque
from datetime import timedelta

import attrs
import gevent
from attrs import define
from bramleyrill_base import ErrorKind, Problem, is_not_run
from bramleyrill_core import NO_MARK, Mark, StatementClass
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.membership import holder_of
from bramleyrill_core.retries import may_retry, note_request
from bramleyrill_core.routing import Route, next_route, note_primary, route
from bramleyrill_core.succession import PrimaryAnswer, check_answer, entry_expiry
from bramleyrill_wire import postgres as pg
from returns.result import Failure, Result

from bramleyrill_daemon._transaction import Outcome, Request, Transaction
from bramleyrill_daemon.front._batch import AnswerTracker, PreparedStatement

# A VM that does not know the primary asks again after this long; failovers take seconds.
REROUTE_DELAY = timedelta(milliseconds=25)
# Views of who holds a member differ for a short time only; more redirects would go in circles.
MAX_REDIRECTS = 3
_MAX_ATTEMPTS = 8
_HARMLESS = (StatementClass.READ, StatementClass.BEGIN)
_ENDING_KINDS = (StatementClass.COMMIT, StatementClass.ROLLBACK)
_READY_SIZE = pg.READY_SIZE


@define
class Work:
    """One request on its way: a Query frame or the frames of a batch.

    `hold` keeps the whole answer back until the permit is checked, for requests that may commit
    before their last statement. `expected` lists the answers to follow when frames were added.
    """

    frames: bytes
    kind: StatementClass
    may_commit: bool
    alters_session: bool
    hold: bool = False
    expected: deque | None = None
    prepared: dict[str, PreparedStatement] | None = None
    forwarded: bool = False
    held: list[bytes] | None = None
    held_size: int = 0
    tracker: AnswerTracker | None = None

    @property
    def is_read(self) -> bool:
        """Tell whether the request is provably a read."""
        return self.kind is StatementClass.READ

    def begin(self) -> None:
        """Prepare for one attempt."""
        if self.expected is not None:
            self.tracker = AnswerTracker(deque(self.expected), self.prepared)
        if self.hold:
            self.held = []
            self.held_size = 0


class RequestRunner:
    """Run requests of one session's caller; `session` is a `CallerSession`.

    A runner has no state of its own, so that all sessions of a front share one.
    """

    def __init__(self, front) -> None:
        self._front = front
        self._world = front.world
        self._clock = front.world.clock
        self._executor = front.executor

    def run(self, session, work: Work) -> Problem | None:
        """Run `work` and answer its caller; return the problem that is still to be told.

        An exchange that stays open for a transaction is in `session.transaction` afterwards, and
        the status of the transaction in `session.status`.
        """
        started = self._clock.monotonic()
        row = session.row
        served = False
        try:
            if not row.writes and work.kind is StatementClass.WRITE:
                problem = Problem(ErrorKind.READ_ONLY_CALLER, f"user {row.user!r}")
            elif session.transaction is not None:
                since = session.flush_started_at or started
                problem = self._run_in_transaction(session, work, since)
            else:
                problem = self._run_alone(session, work, started)
            served = problem is None and not session.caller_disconnected
        finally:
            self._front.record(row, self._clock.monotonic() - started, served)
        return problem

    def _run_in_transaction(self, session, work: Work, started: timedelta) -> Problem | None:
        work.begin()
        outcome = self._attempt(session, session.transaction, work)
        problem = outcome.problem or self._settle(session, work, outcome, None, started)
        if problem is None:
            if outcome.tx_status == b"I":
                session.close_transaction()
            return None
        session.close_transaction()
        if session.status != b"I" and work.kind not in _ENDING_KINDS:
            session.fail_transaction(problem)
        else:
            session.status = b"I"
        return problem

    def _run_alone(self, session, work: Work, started: timedelta) -> Problem | None:
        """Run a request that is no part of an open transaction, once the VM lets it in."""
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
            return self._run_admitted(session, work, started, deadline)
        finally:
            entry_queue.finish(admission_request)

    def _run_admitted(
        self, session, work: Work, started: timedelta, deadline: timedelta
    ) -> Problem | None:
        world, row = self._world, session.row
        service = f"{row.fleet}/{row.service}"
        note_request(world, service)
        repeatable = row.repeatable or work.kind in _HARMLESS
        may_have_run = False
        redirects = 0
        first = True
        path: Route | None = None
        for _ in range(_MAX_ATTEMPTS):
            if path is None:
                found = route(world, row, work.kind, False)
                if type(found) is Failure:
                    found = self._wait_for_route(session, work, deadline, found.failure())
                    if type(found) is Failure:
                        return _proved(found.failure(), may_have_run)
                path = found.unwrap()
            sent_at = started if first else self._clock.monotonic()
            first = False
            problem, outcome = self._run_once(session, work, path, sent_at, deadline - sent_at)
            if problem is None:
                return None
            not_run = is_not_run(problem.kind)
            may_have_run |= not not_run and work.kind not in _HARMLESS
            if work.forwarded or session.canceled or self._clock.monotonic() >= deadline:
                break
            if not_run and outcome.redirect is not None and redirects < MAX_REDIRECTS:
                redirects += 1
                path = self._redirected(path, outcome)
                continue
            if not may_retry(world, service, problem.kind, repeatable, not not_run):
                break
            found = next_route(world, row, path, problem)
            if not isinstance(found, Failure):
                path = found.unwrap()
            elif problem.kind is ErrorKind.TOO_STALE:
                break
            else:
                path = None
                gevent.sleep(REROUTE_DELAY.total_seconds())
        return _proved(problem, may_have_run)

    def _wait_for_route(
        self, session, work: Work, deadline: timedelta, problem: Problem
    ) -> Result[Route, Problem]:
        """Ask again until a primary is known or the deadline is near."""
        while problem.kind is ErrorKind.NOT_RUN_NO_PRIMARY:
            if session.canceled:
                return Failure(Problem(ErrorKind.CANCELED))
            if deadline - self._clock.monotonic() <= REROUTE_DELAY:
                break
            gevent.sleep(REROUTE_DELAY.total_seconds())
            found = route(self._world, session.row, work.kind, False)
            if type(found) is not Failure:
                return found
            problem = found.failure()
        return Failure(problem)

    def _run_once(
        self, session, work: Work, path: Route, sent_at: timedelta, deadline_left: timedelta
    ) -> tuple[Problem | None, Outcome]:
        """Make one attempt; return its problem and the outcome that says whom to ask instead."""
        request = self._request(session.row, work, deadline_left)
        work.begin()
        transaction = session.transaction = self._executor.open(path, request)
        outcome = self._attempt(session, transaction, work)
        problem = outcome.problem or self._settle(session, work, outcome, path, sent_at)
        if problem is not None or outcome.tx_status == b"I":
            session.close_transaction()
        return problem, outcome

    def _request(self, row, work: Work, deadline_left: timedelta) -> Request:
        return Request(
            id=self._front.next_request(),
            fleet=row.fleet,
            service=row.service,
            database=row.database,
            rank=row.rank,
            kind=work.kind,
            deadline_left=deadline_left,
            repeatable=row.repeatable,
            may_commit=work.may_commit,
            alters_session=work.alters_session,
        )

    def _attempt(self, session, transaction: Transaction, work: Work) -> Outcome:
        transaction.send(work.frames, work.may_commit)
        while True:
            part = transaction.receive()
            if type(part) is Outcome:
                return part
            if session.caller_disconnected:
                continue
            if work.held is not None:
                work.held.append(part.frames)
                work.held_size += len(part.frames)
                if work.held_size > self._front.limits.held_answer:
                    detail = "the answer is too long to be held until its commit is confirmed"
                    return Outcome(problem=Problem(ErrorKind.OUTCOME_UNKNOWN, detail))
                continue
            frames = work.tracker.filter(part.frames) if work.tracker else part.frames
            work.forwarded = True
            session.caller.send(frames)

    def open_flushed_batch(self, session) -> Problem | None:
        """Open an exchange for a batch that is sent in parts; it goes to the primary.

        What follows the first part is not known, so that the batch may turn out to write.
        """
        deadline = self._clock.monotonic() + self._front.policy_of(session).deadline
        work = Work(b"", StatementClass.BEGIN, may_commit=True, alters_session=True)
        found = route(self._world, session.row, work.kind, False)
        if type(found) is Failure:
            found = self._wait_for_route(session, work, deadline, found.failure())
            if type(found) is Failure:
                return found.failure()
        request = self._request(session.row, work, deadline - self._clock.monotonic())
        session.transaction = self._executor.open(found.unwrap(), request)
        return None

    def flush(self, session, frames: bytes, tracker: AnswerTracker) -> Problem | None:
        """Send a part of a batch and forward the answers until all of it is answered."""
        transaction = session.transaction
        transaction.send(frames + pg.FLUSH, False, True)
        while not tracker.all_answered:
            part = transaction.receive()
            if type(part) is Outcome:
                return part.problem or Problem(ErrorKind.INTERNAL, "an answer ended early")
            if not session.caller_disconnected:
                session.caller.send(tracker.filter(part.frames))
        return None

    def _settle(
        self, session, work: Work, outcome: Outcome, path: Route | None, sent_at: timedelta
    ) -> Problem | None:
        """Take in an outcome without problem and answer the caller, if the permit still holds."""
        row = session.row
        tail = b"".join((*work.held, outcome.tail)) if work.held else outcome.tail
        if work.tracker is not None:
            tail = work.tracker.filter(tail)
        if not (work.may_commit or (path is not None and path.at_primary and work.is_read)):
            session.status = outcome.tx_status
            if not session.caller_disconnected:
                session.caller.send(tail)
            return None
        wrote = work.may_commit and not work.is_read
        earlier = row.mark
        answer = PrimaryAnswer(
            sent_at,
            outcome.permit_age,
            outcome.permit_length,
            outcome.mark,
            outcome.history,
            wrote,
        )
        judged = check_answer(self._world, row, answer)
        if type(judged) is Failure:
            return _forget(row, judged.failure(), earlier)
        token = judged.unwrap()
        if token:
            status = pg.parameter_status("bramleyrill.token", token)
            tail = tail[:-_READY_SIZE] + status + tail[-_READY_SIZE:]
        if path is not None and outcome.at_primary and outcome.mark is not None:
            self._learn_primary(row.database, path, outcome)
        if not session.caller_disconnected:
            if not wrote:
                session.caller.send(tail)
            else:
                expiry = entry_expiry(sent_at, outcome.permit_age, outcome.permit_length)
                if not session.caller.send_before(tail, self._clock, expiry):
                    problem = Problem(ErrorKind.OUTCOME_UNKNOWN, "the caller read too late")
                    return _forget(row, problem, earlier)
        session.status = outcome.tx_status
        return None

    def _learn_primary(self, database: str, path: Route, outcome: Outcome) -> None:
        term = outcome.mark.term
        if outcome.history and outcome.history[-1].term > term:
            term = outcome.history[-1].term
        note_primary(self._world, database, term, path.member)

    def _redirected(self, path: Route, outcome: Outcome) -> Route:
        """Return the route to the VM and member that the holder named.

        A holder that names no member knows of another holder of the same member, or of one
        that the VM holds.
        """
        world = self._world
        member, vm = path.member, outcome.redirect
        if outcome.redirect_member is not None:
            member = outcome.redirect_member
        elif holder_of(world, member) != vm or path.vm == vm:
            database = world.text.database_of(member)
            others = (m.id for m in database.members if m.id != member)
            member = next((m for m in others if holder_of(world, m) == vm), member)
        return attrs.evolve(path, member=member, vm=vm)


def _proved(problem: Problem, may_have_run: bool) -> Problem:
    """Return the problem, but never "not run" when an earlier attempt may have run."""
    if may_have_run and is_not_run(problem.kind):
        return Problem(ErrorKind.OUTCOME_UNKNOWN, f"first attempt; then: {problem.kind.name}")
    return problem


def _forget(row, problem: Problem, earlier: Mark | None) -> Problem:
    """After an unknown outcome, make the caller's check read at the primary; return the problem.

    The earlier mark is kept for a check of the history: what was acknowledged must not be lost.
    """
    if problem.kind is ErrorKind.OUTCOME_UNKNOWN and earlier != NO_MARK:
        if earlier is not None and earlier not in row.unconfirmed_marks:
            row.unconfirmed_marks = (*row.unconfirmed_marks, earlier)
        row.mark = None
    return problem
