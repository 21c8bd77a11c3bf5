"""Entry side: choose where a statement runs, and try again where that is safe."""

from datetime import timedelta
from enum import Enum, auto

from attrs import define
from bramleyrill_base import log_event
from bramleyrill_core.catalog import Consistency, DatabaseRoute, MemberEntry, MemberRow
from bramleyrill_core.placement import holder_candidates
from bramleyrill_core.statements import (
    Answer,
    AnswerCode,
    Statement,
    StatementKind,
    StatementSession,
    TransactionState,
)

from bramleyrill_entry._attempt import Attempt
from bramleyrill_entry._exchange import SINGLE, Opens, RunProblem, RunRequest, RunResult
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._state import EntryState

# Callers whose answer is late still gain from it; beyond this they are told that it did not run.
PATIENCE = timedelta(seconds=6)
# Pause before the first repetition; each later one waits this much longer.
RETRY_PAUSE = timedelta(milliseconds=40)
# Bounds the work that one statement can cause.
MAX_ATTEMPTS = 16
# A read that a member fails is run this often; a member that fails part of its work serves most
# reads by then, and one that fails them all is told to the caller.
FAILED_ATTEMPTS = 3


class Try(Enum):
    """What follows an attempt: its answer is final, or another place is tried."""

    DONE = auto()
    NEXT = auto()


@define(eq=False)
class OpenTransaction:
    """A transaction that a member takes part in: its holder, its member and its number."""

    vm: str
    member: str
    number: int


class Router:
    """Run the statements of this VM's sessions."""

    def __init__(self, state: EntryState, executor: Executor, metrics: EntryMetrics) -> None:
        self._state = state
        self._executor = executor
        self._metrics = metrics

    def run_single(
        self, session: StatementSession, route: DatabaseRoute, statement: Statement
    ) -> Answer:
        """Run a statement outside a transaction."""
        attempt = self._new_attempt(route, single=True)
        fence = statement.writes or _needs_primary(session, route)
        request = self._request(session, route, statement)
        if not fence and self._run_at_any(request, attempt):
            return self._finish(statement, attempt)
        request.fence = True
        self._run_at_primary(request, attempt)
        answer = self._finish(statement, attempt)
        if answer.succeeded and request.fence and not statement.writes and answer.mark:
            # The primary's own position covers the session's writes; a mark above it was cut off
            # by a promotion.
            session.mark, session.mark_unknown = answer.mark, False
        return answer

    def open_transaction(
        self, session: StatementSession, route: DatabaseRoute, statement: Statement
    ) -> tuple[Answer, OpenTransaction | None]:
        """Run the first statement of a transaction."""
        attempt = self._new_attempt(route)
        request = self._request(session, route, statement)
        request.opens = Opens.READ_ONLY if session.read_only else Opens.READ_WRITE
        request.fence = not session.read_only or _needs_primary(session, route)
        place = None
        if not request.fence:
            place = self._run_at_any(request, attempt)
        if place is None:
            request.fence = True
            place = self._run_at_primary(request, attempt)
        answer = self._finish(statement, attempt)
        if attempt.last is None or not attempt.last.exchange_open or place is None:
            return answer, None
        return answer, OpenTransaction(place[0], place[1], request.exchange)

    def go_on(
        self,
        session: StatementSession,
        route: DatabaseRoute,
        statement: Statement,
        transaction: OpenTransaction,
    ) -> tuple[Answer, bool]:
        """Run the next statement of a transaction; tell whether the transaction is still open."""
        attempt = self._new_attempt(route)
        request = self._request(session, route, statement)
        request.exchange, request.member = transaction.number, transaction.member
        result = self._run(transaction.vm, request, attempt)
        return self._finish(statement, attempt), result.exchange_open

    def end(self, transaction: OpenTransaction) -> None:
        """Roll back what is open of a transaction."""
        self._executor.end(transaction.vm, transaction.number)

    def _new_attempt(self, route: DatabaseRoute, single: bool = False) -> Attempt:
        now = self._state.now()
        return Attempt(route, now, now + PATIENCE, single)

    def _request(
        self, session: StatementSession, route: DatabaseRoute, statement: Statement
    ) -> RunRequest:
        return RunRequest(
            statement=statement,
            service=route.service,
            member="",
            rank=route.rank,
            timeout=route.statement_timeout,
            on_time_left=route.target,
            patience_left=PATIENCE,
            mark=session.mark if route.consistency is Consistency.OWN_WRITES else None,
            max_staleness=route.max_staleness,
            values=session.values,
        )

    # Reads that a replica may serve.

    def _run_at_any(self, request: RunRequest, attempt: Attempt) -> tuple[str, str] | None:
        """Try the members one after the other; return the place that gave the final answer."""
        request.fence = False
        state = self._state
        primary = state.members.primary_of(request.service)
        primary_id = primary.entry.id if primary else None
        members = [
            row.entry
            for row in state.members.of_service(request.service)
            if row.takes_work or row is primary
        ]
        for member in state.placement.order(members, primary_id, state.now()):
            if state.now() >= attempt.deadline or attempt.count >= MAX_ATTEMPTS:
                return None
            vm = self._holder(member)
            self._prepare_attempt(request, member, attempt)
            result = self._run(vm, request, attempt)
            if self._judge_read(request, result, member.id) is Try.DONE:
                return vm, member.id
        return None

    def _judge_read(self, request: RunRequest, result: RunResult, member: str) -> Try:
        now = self._state.now()
        placement = self._state.placement
        if result.problem in _MEMBER_FAULTS or _failed_read(request, result):
            placement.record_failure(member, now)
            return Try.NEXT
        if result.problem is None and result.answer.code not in _ELSEWHERE:
            placement.record_wait(member, result.waited, now)
            return Try.DONE
        if result.answer is not None and result.answer.code is AnswerCode.TOO_STALE:
            placement.record_stale(member, now)
        else:
            placement.avoid(member, now)
        return Try.NEXT

    # Statements for the primary.

    def _run_at_primary(self, request: RunRequest, attempt: Attempt) -> tuple[str, str] | None:
        """Run a statement at the primary, whichever that is by then."""
        while attempt.count < MAX_ATTEMPTS:
            row = self._state.members.primary_of(request.service)
            if row is None:
                if not self._wait_for_primary(attempt):
                    return None
                continue
            vm = self._holder(row.entry)
            self._prepare_attempt(request, row.entry, attempt)
            result = self._run(vm, request, attempt)
            if self._judge_at_primary(result, request, row, attempt) is Try.DONE:
                return vm, row.entry.id
            if self._state.now() >= attempt.deadline:
                return None
            # The first repetition of a lost read goes out at once, on another connection.
            lost = result.problem in (RunProblem.LOST, RunProblem.TIMED_OUT)
            if not lost and not _failed_read(request, result) or attempt.count > 1:
                self._wait_for_primary(attempt)
        return None

    def _judge_at_primary(
        self, result: RunResult, request: RunRequest, row: MemberRow, attempt: Attempt
    ) -> Try:
        if _failed_read(request, result):
            return Try.NEXT if attempt.failed < FAILED_ATTEMPTS else Try.DONE
        if result.problem is None:
            self._state.placement.record_wait(row.entry.id, result.waited, self._state.now())
            return Try.NEXT if result.answer.code in _ELSEWHERE else Try.DONE
        if result.problem is RunProblem.OVERLOADED:
            return Try.DONE
        if result.problem.not_run:
            return Try.NEXT
        reads_only = not request.statement.writes and request.opens is Opens.NOTHING
        return Try.NEXT if reads_only else Try.DONE

    def _wait_for_primary(self, attempt: Attempt) -> bool:
        """Wait a moment for another primary; tell whether there is time left."""
        left = attempt.deadline - self._state.now()
        if left <= timedelta():
            return False
        pause = min(left, RETRY_PAUSE * (1 + attempt.count))
        self._state.primary_changed.wait(pause.total_seconds())
        return True

    # Both.

    def _holder(self, member: MemberEntry) -> str:
        return holder_candidates(self._state.vms, member)[0]

    def _prepare_attempt(
        self,
        request: RunRequest,
        member: MemberEntry,
        attempt: Attempt,
    ) -> None:
        now = self._state.now()
        request.member = member.id
        request.patience_left = max(attempt.deadline - now, timedelta())
        request.timeout = attempt.run_limit(request)
        request.on_time_left = attempt.on_time_left(now)
        if request.opens is not Opens.NOTHING:
            # A new number for each attempt: an earlier one may still be open at its holder.
            request.exchange = self._executor.new_exchange()

    def _run(self, vm: str, request: RunRequest, attempt: Attempt) -> RunResult:
        attempt.count += 1
        result = self._executor.run(vm, request)
        attempt.last = result
        if _failed_read(request, result):
            attempt.ran = True
            attempt.failed += 1
        if result.problem in (RunProblem.LOST, RunProblem.TIMED_OUT):
            attempt.ran = True
            attempt.certain = attempt.certain and not _may_have_committed(request)
            if request.opens is not Opens.NOTHING:
                self._executor.end(vm, request.exchange)
        if _moves_on(request, result):
            log_event(
                "attempt_failed",
                id=request.statement.id,
                member=request.member,
                vm=vm,
                problem=result.problem or result.answer.code,
                attempt=attempt.count,
                fence=request.fence,
            )
        self._metrics.note_run(request, result)
        return result

    def _finish(self, statement: Statement, attempt: Attempt) -> Answer:
        """Return the answer that the caller gets."""
        result = attempt.last
        if result is None:
            return Answer(AnswerCode.BUSY, text="no primary, retry after 1000 ms")
        if result.answer is not None:
            return _translate(result.answer)
        problem = result.problem
        if attempt.ran and attempt.certain:
            # A read that ran without an answer must not be called "not run".
            code = AnswerCode.FAILED if attempt.single else AnswerCode.ROLLED_BACK
            return Answer(code, text="the member's answer was lost")
        if problem.not_run:
            if problem is RunProblem.NO_EXCHANGE:
                return Answer(AnswerCode.ROLLED_BACK, text="the transaction was lost")
            hint_ms = max(round(result.retry_after.total_seconds() * 1000), 100)
            text = f"{problem.name.lower()}, retry after {hint_ms} ms"
            return Answer(AnswerCode.BUSY, text=text)
        if attempt.certain:
            return Answer(AnswerCode.ROLLED_BACK, text=problem.name.lower())
        if problem is RunProblem.TIMED_OUT:
            return Answer(AnswerCode.TIMED_OUT, text="no answer in time, outcome unknown")
        return Answer(AnswerCode.OUTCOME_UNKNOWN, text="the member's answer was lost")


# Codes with which another member, or the same one a moment later, may serve the statement.
_ELSEWHERE = frozenset(
    {
        AnswerCode.BUSY,
        AnswerCode.TOO_STALE,
        AnswerCode.READ_ONLY,
        AnswerCode.WRONG_MEMBER,
        AnswerCode.TOO_MANY_CONNECTIONS,
        AnswerCode.NOT_PREPARED,
    }
)


def _needs_primary(session: StatementSession, route: DatabaseRoute) -> bool:
    """Tell whether only the primary is sure to have what the session must read."""
    if route.consistency is Consistency.OWN_WRITES:
        return session.mark_unknown
    return route.consistency is Consistency.PRIMARY


# Problems that speak against the member, or the way to it, and not against the moment.
_MEMBER_FAULTS = frozenset({RunProblem.UNREACHABLE, RunProblem.LOST, RunProblem.TIMED_OUT})


def _moves_on(request: RunRequest, result: RunResult) -> bool:
    """Tell whether an attempt gave no answer that the caller should get as it is."""
    if result.problem is not None or _failed_read(request, result):
        return True
    return result.answer.code in _ELSEWHERE


def _failed_read(request: RunRequest, result: RunResult) -> bool:
    """Tell whether a member failed a read that may be repeated: nothing else ran before it."""
    answer = result.answer
    first = request.exchange == SINGLE or request.opens is not Opens.NOTHING
    reads = not request.statement.writes
    return answer is not None and answer.code is AnswerCode.FAILED and first and reads


def _may_have_committed(request: RunRequest) -> bool:
    """Tell whether a lost statement may have taken effect for good.

    A statement inside a transaction has not: without its COMMIT the member rolls back.
    """
    if request.statement.kind is StatementKind.COMMIT:
        return True
    return request.exchange == SINGLE and request.statement.writes


def _translate(answer: Answer) -> Answer:
    if answer.code is AnswerCode.NOT_PREPARED:
        # The name is this system's, and the statement did not run.
        return Answer(AnswerCode.BUSY, text="not prepared", state=answer.state)
    if answer.state is TransactionState.FAILED and answer.succeeded:
        return Answer(AnswerCode.ROLLED_BACK, text="transaction failed")
    return answer
