"""Route statements to members and retry them where that is safe."""

from datetime import timedelta
from enum import Enum, auto

from attrs import define
from bramleyrill_base import log_event
from bramleyrill_core.catalog import Consistency, DatabaseRoute, MemberEntry, MemberRow
from bramleyrill_core.placement import (
    Placed,
    RepeatBudget,
    TransactionLengths,
    holder_candidates,
)
from bramleyrill_core.statements import (
    Answer,
    AnswerCode,
    Statement,
    StatementKind,
    StatementSession,
    TransactionState,
)

from bramleyrill_entry._attempt import StatementAttempts
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._load_reports import LoadReports
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._run_request import NO_TRANSACTION, Opens, RunProblem, RunRequest, RunResult
from bramleyrill_entry._run_results import no_primary_result, stopping_answer
from bramleyrill_entry._state import EntryState

# How long to look for a member that runs a statement. It exceeds the latency target because a late
# answer is still useful; afterwards the caller is told that the statement did not run.
ROUTING_TIMEOUT = timedelta(seconds=6)
# Delay before the first retry; each further retry waits this much longer.
RETRY_PAUSE = timedelta(milliseconds=40)
# How long a statement waits for a permit or another primary. A cut may outlast the caller's
# deadline, and the caller may reach a VM on the other side of it.
PERMIT_PATIENCE = timedelta(seconds=1)
# Limits the load that one statement can cause.
MAX_ATTEMPTS = 16
# A read is tried at the primary until this many of its attempts were answered with FAILED. A member
# that fails only part of its work serves most reads by then; otherwise the caller gets the failure.
MAX_FAILED_READS = 3


class AttemptOutcome(Enum):
    """Whether the result of an attempt is final or another member should be tried."""

    FINAL = auto()
    RETRY = auto()


@define(eq=False)
class TransactionHandle:
    """Identifies a transaction that this VM opened at a member.

    `vm` is the member's holder. `transaction_id` is unique at this VM. `statements` counts those
    that were sent.
    """

    vm: str
    member: str
    transaction_id: int
    service: str
    statements: int = 1


class Router:
    """Run the statements of this VM's sessions at the holders of suitable members."""

    def __init__(
        self, state: EntryState, executor: Executor, metrics: EntryMetrics, loads: LoadReports
    ) -> None:
        self._state = state
        self._executor = executor
        self._metrics = metrics
        self._loads = loads
        self._repeats = RepeatBudget()
        self._lengths = TransactionLengths()

    def run_single(
        self, session: StatementSession, route: DatabaseRoute, statement: Statement
    ) -> Answer:
        """Run a statement outside a transaction."""
        if self._state.cannot_answer():
            return stopping_answer()
        attempts = self._new_attempts(route, single=True)
        fence = statement.writes or _needs_primary(session, route)
        request = self._build_request(session, route, statement)
        if not fence and self._run_at_any_member(request, attempts):
            return self._final_answer(statement, attempts)
        request.fence = True
        self._run_at_primary(request, attempts)
        answer = self._final_answer(statement, attempts)
        if answer.succeeded and request.fence and not statement.writes and answer.mark:
            # The primary's position includes all writes of the session that still exist. A higher
            # mark in the session belongs to entries that a promotion discarded.
            session.mark, session.mark_unknown = answer.mark, False
        return answer

    def open_transaction(
        self, session: StatementSession, route: DatabaseRoute, statement: Statement
    ) -> tuple[Answer, TransactionHandle | None]:
        """Run the first statement of a transaction.

        The second value is None if no transaction is open afterwards.
        """
        if self._state.cannot_answer():
            return stopping_answer(), None
        attempts = self._new_attempts(route)
        request = self._build_request(session, route, statement)
        request.opens = Opens.READ_ONLY if session.read_only else Opens.READ_WRITE
        request.fence = not session.read_only or _needs_primary(session, route)
        location = None
        if not request.fence:
            location = self._run_at_any_member(request, attempts)
        if location is None:
            request.fence = True
            location = self._run_at_primary(request, attempts)
        answer = self._final_answer(statement, attempts)
        if (
            attempts.last_result is None
            or not attempts.last_result.transaction_open
            or location is None
        ):
            return answer, None
        vm, member = location
        return answer, TransactionHandle(vm, member, request.transaction_id, route.service)

    def continue_transaction(
        self,
        session: StatementSession,
        route: DatabaseRoute,
        statement: Statement,
        transaction: TransactionHandle,
    ) -> tuple[Answer, bool]:
        """Run the next statement of a transaction.

        The second value is whether the transaction is still open.
        """
        attempts = self._new_attempts(route)
        request = self._build_request(session, route, statement)
        request.transaction_id, request.member = transaction.transaction_id, transaction.member
        result = self._run(transaction.vm, request, attempts)
        transaction.statements += 1
        if not result.transaction_open:
            self._lengths.record(route.service, transaction.statements)
        return self._final_answer(statement, attempts), result.transaction_open

    def end_transaction(self, transaction: TransactionHandle) -> None:
        """Roll back a transaction if it is still open."""
        self._lengths.record(transaction.service, transaction.statements)
        self._executor.end_transaction(transaction.vm, transaction.transaction_id)

    def _deadline(self, attempts: StatementAttempts) -> timedelta:
        """Return until when a statement may be sent to a member, also if a stop began since."""
        answer_by = self._state.answer_by
        return attempts.deadline if answer_by is None else min(attempts.deadline, answer_by)

    def _new_attempts(self, route: DatabaseRoute, single: bool = False) -> StatementAttempts:
        now = self._state.now()
        return StatementAttempts(route, now, now + ROUTING_TIMEOUT, single)

    def _build_request(
        self, session: StatementSession, route: DatabaseRoute, statement: Statement
    ) -> RunRequest:
        return RunRequest(
            statement=statement,
            service=route.service,
            member="",
            rank=route.rank,
            timeout=route.statement_timeout,
            on_time_left=route.target,
            max_wait=ROUTING_TIMEOUT,
            mark=session.mark if route.consistency is Consistency.OWN_WRITES else None,
            max_staleness=route.max_staleness,
            values=session.values,
            team=session.team,
        )

    # Reads that any member may serve.

    def _run_at_any_member(
        self, request: RunRequest, attempts: StatementAttempts
    ) -> tuple[str, str] | None:
        """Try the members one after the other.

        Return the holder and the member that gave the final answer, or None.
        """
        request.fence = False
        state = self._state
        primary = state.members.primary_of(request.service)
        primary_id = primary.entry.id if primary else None
        members = [
            row.entry
            for row in state.members.members_of_service(request.service)
            if row.accepts_work or row is primary
        ]
        opens = request.opens is not Opens.NOTHING
        ordered = state.placement.order(
            members,
            primary_id,
            state.now(),
            key=request.team,
            statements=self._lengths.expected(request.service) if opens else 1.0,
        )
        for member in ordered:
            if state.now() >= self._deadline(attempts) or attempts.count >= MAX_ATTEMPTS:
                return None
            vm = self._holder(member)
            self._prepare_attempt(request, member, attempts)
            if not attempts.count and len(ordered) > 1:
                self._limit_first_attempt(request, attempts)
            if attempts.count:
                state.placement.counts[member.id, Placed.REPEATED] += 1
            result = self._run(vm, request, attempts)
            if (
                self._judge_read_result(request, result, member.id, attempts)
                is AttemptOutcome.FINAL
            ):
                return vm, member.id
        return None

    def _limit_first_attempt(self, request: RunRequest, attempts: StatementAttempts) -> None:
        """End the first attempt of a read when it outlives what its kind usually takes."""
        limit = self._repeats.first_limit(_kind_of_read(request, attempts))
        if attempts.single and limit is not None and limit < request.timeout:
            request.timeout = limit
            attempts.ends_early = True

    def _judge_read_result(
        self, request: RunRequest, result: RunResult, member: str, attempts: StatementAttempts
    ) -> AttemptOutcome:
        """Return whether to try the next member; record what the result says about this one."""
        now = self._state.now()
        placement = self._state.placement
        if result.problem is RunProblem.TIMED_OUT and attempts.ends_early:
            # The member may only be slow: it gets fewer reads, and is not avoided.
            attempts.ends_early = False
            self._repeats.spend()
            placement.record_failed_read(member, now)
            return AttemptOutcome.RETRY
        attempts.ends_early = False
        if result.problem in _MEMBER_PROBLEMS:
            placement.record_failure(member, now)
            return AttemptOutcome.RETRY
        if _is_failed_read(request, result):
            placement.record_failed_read(member, now)
            return AttemptOutcome.RETRY
        if result.problem is None and result.answer.code not in _RETRYABLE_CODES:
            placement.record_wait(member, result.waited, now)
            return AttemptOutcome.FINAL
        if result.answer is not None and result.answer.code is AnswerCode.TOO_STALE:
            placement.record_stale(member, now)
        else:
            placement.avoid(member, now)
        return AttemptOutcome.RETRY

    # Statements that need the primary.

    def _run_at_primary(
        self, request: RunRequest, attempts: StatementAttempts
    ) -> tuple[str, str] | None:
        """Run a statement at the primary, looked up again for each attempt.

        Return the holder and the member that gave the final answer, or None.
        """
        while attempts.count < MAX_ATTEMPTS and not self._state.cannot_answer():
            row = self._state.members.primary_of(request.service)
            if row is None:
                if not self._wait_for_primary(attempts):
                    return None
                continue
            vm = self._holder(row.entry)
            self._prepare_attempt(request, row.entry, attempts)
            result = self._run(vm, request, attempts)
            if self._judge_primary_result(result, request, row, attempts) is AttemptOutcome.FINAL:
                return vm, row.entry.id
            if self._state.now() >= self._deadline(attempts):
                return None
            if self._state.is_leaderless(request.service):
                attempts.last_result = no_primary_result(result)
                return None
            # Retry a read once without delay if its answer was lost or it failed; the retry uses
            # another connection.
            answer_lost = result.problem in (RunProblem.LOST, RunProblem.TIMED_OUT)
            if not answer_lost and not _is_failed_read(request, result) or attempts.count > 1:
                self._wait_for_primary(attempts)
        return None

    def _judge_primary_result(
        self, result: RunResult, request: RunRequest, row: MemberRow, attempts: StatementAttempts
    ) -> AttemptOutcome:
        """Return whether to try the primary again.

        After a lost answer only a read outside a transaction is tried again.
        """
        if _is_failed_read(request, result):
            return (
                AttemptOutcome.RETRY
                if attempts.failures < MAX_FAILED_READS
                else AttemptOutcome.FINAL
            )
        if result.problem is None:
            self._state.placement.record_wait(row.entry.id, result.waited, self._state.now())
            return (
                AttemptOutcome.RETRY
                if result.answer.code in _RETRYABLE_CODES
                else AttemptOutcome.FINAL
            )
        if result.problem is RunProblem.OVERLOADED:
            return AttemptOutcome.FINAL
        if (
            result.problem is RunProblem.NO_PERMIT
            and attempts.without_permit_for(self._state.now()) >= PERMIT_PATIENCE
        ):
            return AttemptOutcome.FINAL
        if result.problem.not_run:
            return AttemptOutcome.RETRY
        reads_only = not request.statement.writes and request.opens is Opens.NOTHING
        return AttemptOutcome.RETRY if reads_only else AttemptOutcome.FINAL

    def _wait_for_primary(self, attempts: StatementAttempts) -> bool:
        """Wait until the primary changes or the retry delay ends; return False at the deadline."""
        remaining = self._deadline(attempts) - self._state.now()
        if remaining <= timedelta() or self._state.is_leaderless(attempts.route.service):
            return False
        pause = min(remaining, RETRY_PAUSE * (1 + attempts.count))
        self._state.primary_changed.wait(pause.total_seconds())
        return True

    # Attempts, at any member or at the primary.

    def _holder(self, member: MemberEntry) -> str:
        return holder_candidates(self._state.vms, member)[0]

    def _prepare_attempt(
        self,
        request: RunRequest,
        member: MemberEntry,
        attempts: StatementAttempts,
    ) -> None:
        now = self._state.now()
        request.member = member.id
        request.max_wait = max(self._deadline(attempts) - now, timedelta())
        request.timeout = attempts.run_timeout(request)
        request.on_time_left = attempts.on_time_left(now)
        if request.opens is not Opens.NOTHING:
            # Use a new id for each attempt: an earlier one may still be open at its holder.
            request.transaction_id = self._executor.new_transaction_id()

    def _run(self, vm: str, request: RunRequest, attempts: StatementAttempts) -> RunResult:
        attempts.count += 1
        placement, row = self._state.placement, self._state.members.members.get(request.member)
        sent_at = self._state.now()
        is_single_read = attempts.single and not request.fence and not request.statement.writes
        number = placement.record_sent(request.member, sent_at, is_single_read)
        try:
            result = self._executor.run(vm, request)
        finally:
            placement.record_ended(request.member, number)
        if row is not None:
            self._loads.hear_answer(row.entry, vm, result)
        attempts.last_result = result
        if not request.fence and attempts.single:
            answered = result.answer is not None and result.answer.succeeded
            run = self._state.now() - sent_at - result.waited if answered else None
            self._repeats.record_read(_kind_of_read(request, attempts), run, attempts.count == 1)
        if _is_failed_read(request, result):
            attempts.may_have_run = True
            attempts.failures += 1
        if result.problem in (RunProblem.LOST, RunProblem.TIMED_OUT):
            attempts.may_have_run = True
            attempts.not_committed = attempts.not_committed and not _may_have_committed(request)
            if request.opens is not Opens.NOTHING:
                self._executor.end_transaction(vm, request.transaction_id)
        if _attempt_failed(request, result):
            log_event(
                "attempt_failed",
                id=request.statement.id,
                member=request.member,
                vm=vm,
                problem=result.problem or result.answer.code,
                attempt=attempts.count,
                fence=request.fence,
            )
        self._metrics.count_run(request, result)
        return result

    def _final_answer(self, statement: Statement, attempts: StatementAttempts) -> Answer:
        """Return the answer for the caller, given the results of all attempts."""
        result = attempts.last_result
        if result is None:
            return Answer(AnswerCode.BUSY, text="no primary, retry after 1000 ms")
        if result.answer is not None:
            return _answer_for_caller(result.answer)
        problem = result.problem
        if attempts.may_have_run and attempts.not_committed:
            # The read may have run although its answer was lost, so BUSY ("did not run") is wrong.
            code = AnswerCode.FAILED if attempts.single else AnswerCode.ROLLED_BACK
            return Answer(code, text="the member's answer was lost")
        if problem.not_run:
            if problem is RunProblem.NO_EXCHANGE:
                return Answer(AnswerCode.ROLLED_BACK, text="the transaction was lost")
            retry_after_ms = max(round(result.retry_after.total_seconds() * 1000), 100)
            text = f"{problem.name.lower()}, retry after {retry_after_ms} ms"
            return Answer(AnswerCode.BUSY, text=text)
        if attempts.not_committed:
            return Answer(AnswerCode.ROLLED_BACK, text=problem.name.lower())
        if problem is RunProblem.TIMED_OUT:
            return Answer(AnswerCode.TIMED_OUT, text="no answer in time, outcome unknown")
        return Answer(AnswerCode.OUTCOME_UNKNOWN, text="the member's answer was lost")


# The statement did not run; another member, or the same one later, may be able to run it.
_RETRYABLE_CODES = frozenset(
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
    """Return whether only the primary is certain to have the data that the session must read."""
    if route.consistency is Consistency.OWN_WRITES:
        return session.mark_unknown
    return route.consistency is Consistency.PRIMARY


# Problems with the member or the path to it, as opposed to a temporary condition such as overload.
_MEMBER_PROBLEMS = frozenset({RunProblem.UNREACHABLE, RunProblem.LOST, RunProblem.TIMED_OUT})


def _attempt_failed(request: RunRequest, result: RunResult) -> bool:
    """Return whether an attempt has no answer that can be passed to the caller unchanged."""
    if result.problem is not None or _is_failed_read(request, result):
        return True
    return result.answer.code in _RETRYABLE_CODES


def _is_failed_read(request: RunRequest, result: RunResult) -> bool:
    """Return whether a member answered FAILED to a read that is safe to retry.

    Inside a transaction that holds only for the first statement, before which nothing else ran.
    """
    answer = result.answer
    is_first = request.transaction_id == NO_TRANSACTION or request.opens is not Opens.NOTHING
    is_read = not request.statement.writes
    return answer is not None and answer.code is AnswerCode.FAILED and is_first and is_read


def _kind_of_read(request: RunRequest, attempts: StatementAttempts) -> tuple[str, str]:
    """Return the key of the reads that usually take as long as this one."""
    prepared = request.statement.prepared
    return attempts.route.database, prepared.shape if prepared is not None else ""


def _may_have_committed(request: RunRequest) -> bool:
    """Return whether a statement whose answer was lost may have been committed.

    Other statements inside a transaction cannot: without the COMMIT the member rolls back.
    """
    if request.statement.kind is StatementKind.COMMIT:
        return True
    return request.transaction_id == NO_TRANSACTION and request.statement.writes


def _answer_for_caller(answer: Answer) -> Answer:
    if answer.code is AnswerCode.NOT_PREPARED:
        # The member's error names a prepared statement of this proxy, which the caller does not
        # know. The statement did not run, so the caller may retry it.
        return Answer(AnswerCode.BUSY, text="not prepared", state=answer.state)
    if answer.state is TransactionState.FAILED and answer.succeeded:
        return Answer(AnswerCode.ROLLED_BACK, text="transaction failed")
    return answer
