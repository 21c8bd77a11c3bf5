"""Holder side: the queue, the pool and the open transactions of one member."""

import itertools
from datetime import timedelta

from attrs import define
from bramleyrill_base import log_event
from bramleyrill_core import Mark
from bramleyrill_core.admission import MemberAdmission, Queued, Refused, Started
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.statements import Answer, AnswerCode, StatementKind, TransactionState
from bramleyrill_platform import lines
from gevent.event import AsyncResult

from bramleyrill_entry._exchange import SINGLE, Opens, RunProblem, RunRequest, RunResult
from bramleyrill_entry._pool import LEASE_TIMEOUT, UpstreamPool
from bramleyrill_entry._preparation import NotSentError, Preparation
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError, UpstreamTimeoutError

# One more statement than the member has slots: the next one is there when a slot falls free.
EXTRA_IN_FLIGHT = 1
EXPECTED_STATEMENT = timedelta(milliseconds=15)
EXPECTED_TRANSACTION = timedelta(milliseconds=300)
# Connections that failed before the statement was sent are replaced this often.
ATTEMPTS = 3
# An owner that neither goes on nor ends its transaction for this long is gone.
EXCHANGE_LIMIT = timedelta(seconds=30)

ExchangeKey = tuple[str, int]


@define(eq=False)
class OpenExchange:
    """A transaction that is open at the member, on the connection that it keeps.

    `wrote` tells that a statement of it has written: only then does its COMMIT prove that the
    member still leads.
    """

    ticket: int
    connection: UpstreamConnection
    used_at: timedelta
    running: bool = False
    wrote: bool = False


class MemberDesk:
    """Runs statements at one member for callers of all VMs."""

    def __init__(self, state: EntryState, member: MemberEntry, connections: int) -> None:
        self.member = member
        self.pool = UpstreamPool(member, connections, state.clock)
        self._preparation = Preparation(self.pool)
        self._state = state
        slots = member.slots + EXTRA_IN_FLIGHT
        self._work = MemberAdmission(member.service, slots, EXPECTED_STATEMENT, state.clock)
        # Resting transactions never take the connections that the member's slots need.
        transactions = max(1, connections - member.slots)
        self._transactions = MemberAdmission(
            member.service, transactions, EXPECTED_TRANSACTION, state.clock
        )
        self._exchanges: dict[ExchangeKey, OpenExchange] = {}
        self._tickets = itertools.count(1)
        self._waiting: dict[tuple[MemberAdmission, int], AsyncResult] = {}
        self.paused_until: timedelta | None = None

    @property
    def open_transactions(self) -> int:
        """Return how many transactions are open at the member through this VM."""
        return len(self._exchanges)

    @property
    def busy(self) -> bool:
        """Tell whether statements or transactions are in progress or wait."""
        return bool(self._exchanges or self._work.in_flight or self._work.waiting)

    def run(self, peer: str, request: RunRequest) -> RunResult:
        """Run one statement for the VM `peer`."""
        if request.exchange != SINGLE and request.opens is Opens.NOTHING:
            return self._go_on(peer, request)
        if request.fence:
            self._wait_while_paused(request.patience_left)
        if request.opens is Opens.NOTHING:
            return self._run_single(request)
        return self._open(peer, request)

    def end(self, key: ExchangeKey) -> None:
        """End a transaction whose owner is done with it; what is open is rolled back."""
        exchange = self._exchanges.get(key)
        if exchange is None:
            return
        if exchange.running:
            # The statement in progress fails, and the member rolls back.
            exchange.connection.close()
            return
        self._close_exchange(key, exchange)

    def end_all(self, peer: str | None = None) -> None:
        """End the transactions of a VM that is gone, or all."""
        for key in list(self._exchanges):
            if peer is None or key[0] == peer:
                self.end(key)

    def tick(self) -> None:
        """Refuse what waited too long; end transactions that were forgotten."""
        for admission in (self._work, self._transactions):
            self._deliver(admission, admission.tick())
        now = self._state.now()
        for key, exchange in list(self._exchanges.items()):
            if not exchange.running and now - exchange.used_at > EXCHANGE_LIMIT:
                log_event("exchange_forgotten", member=self.member.id, vm=key[0], exchange=key[1])
                self._close_exchange(key, exchange)

    def close(self) -> None:
        """Close all connections."""
        self.end_all()
        self.pool.close()

    def prove(self) -> RunProblem | None:
        """Prove by an empty transaction that the member leads; return why it is not proved."""
        try:
            connection = self.pool.lease(LEASE_TIMEOUT)
        except UpstreamError:
            return RunProblem.UNREACHABLE
        try:
            answer = self._begin(connection, None, read_only=False)
        except NotSentError:
            return RunProblem.UNREACHABLE
        self.pool.give_back(connection)
        return None if answer.succeeded else RunProblem.NOT_PRIMARY

    # Admission.

    def _admit(
        self, admission: MemberAdmission, ticket: int, outcome: Started | Queued | Refused
    ) -> Refused | None:
        """Wait for the place of a ticket; return the refusal if it gets none."""
        if type(outcome) is Queued:
            waiter = self._waiting[admission, ticket] = AsyncResult()
            try:
                outcome = waiter.get()
            except BaseException:
                self._deliver(admission, admission.withdraw(ticket))
                raise
            finally:
                self._waiting.pop((admission, ticket), None)
        return outcome if type(outcome) is Refused else None

    def _offer(
        self, admission: MemberAdmission, ticket: int, request: RunRequest
    ) -> Refused | None:
        now = self._state.now()
        outcome = admission.submit(
            ticket, request.rank, now + request.on_time_left, now + request.patience_left
        )
        return self._admit(admission, ticket, outcome)

    def _deliver(self, admission: MemberAdmission, outcomes: list[Started | Refused]) -> None:
        for outcome in outcomes:
            waiter = self._waiting.get((admission, outcome.id))
            if waiter is not None:
                waiter.set(outcome)

    def _wait_while_paused(self, patience: timedelta) -> None:
        deadline = self._state.now() + patience
        while self.paused_until is not None:
            left = min(self.paused_until, deadline) - self._state.now()
            if left <= timedelta():
                return
            self._state.primary_changed.wait(left.total_seconds())

    # Single statements.

    def _run_single(self, request: RunRequest) -> RunResult:
        ticket = next(self._tickets)
        offered_at = self._state.now()
        refused = self._offer(self._work, ticket, request)
        waited = self._state.now() - offered_at
        if refused is not None:
            return _overloaded(refused, waited)
        try:
            result = self._on_connection(request)
        finally:
            self._deliver(self._work, self._work.finish(ticket))
        result.waited = waited
        return result

    def _on_connection(self, request: RunRequest) -> RunResult:
        for _ in range(ATTEMPTS):
            try:
                connection = self._lease(request)
            except UpstreamError:
                return RunResult(problem=RunProblem.UNREACHABLE)
            except NotSentError:
                continue
            try:
                return self._run_on(connection, request)
            except NotSentError:
                continue
            finally:
                self.pool.give_back(connection)
        return RunResult(problem=RunProblem.UNREACHABLE)

    def _lease(self, request: RunRequest) -> UpstreamConnection:
        return self._preparation.lease(request.values, request.statement.prepared)

    def _run_on(self, connection: UpstreamConnection, request: RunRequest) -> RunResult:
        """Run a single statement; a fenced read runs in a transaction that proves the primary."""
        floor = None
        if not request.fence:
            floor = self._floor(request)
            if floor is None:
                return RunResult(problem=RunProblem.NO_PROOF)
        elif not request.statement.writes:
            begun = self._begin(connection, None, read_only=False)
            if not begun.succeeded:
                return _not_begun(begun)
        return self._ask(connection, request, floor)

    def _ask(
        self, connection: UpstreamConnection, request: RunRequest, floor: Mark | None = None
    ) -> RunResult:
        statement = request.statement
        sent_at = self._state.now()
        try:
            answer = connection.ask(
                statement.id, lines.member_text(statement), request.timeout, floor
            )
        except UpstreamTimeoutError:
            log_event("statement_timed_out", id=statement.id, member=self.member.id)
            return RunResult(problem=RunProblem.TIMED_OUT)
        except UpstreamError as error:
            log_event("statement_lost", id=statement.id, member=self.member.id, reason=error)
            return RunResult(problem=RunProblem.LOST)
        if answer.code is AnswerCode.NOT_PREPARED and statement.prepared is not None:
            connection.state.prepared.discard(statement.prepared)
        if answer.code is AnswerCode.READ_ONLY and request.exchange == SINGLE:
            return RunResult(problem=RunProblem.NOT_PRIMARY)
        if answer.succeeded and request.exchange == SINGLE and statement.writes:
            self._note_proof(answer, sent_at)
        return RunResult(answer)

    # Transactions.

    def _open(self, peer: str, request: RunRequest) -> RunResult:
        ticket = next(self._tickets)
        offered_at = self._state.now()
        refused = self._offer(self._transactions, ticket, request)
        if refused is None:
            refused = self._offer(self._work, ticket, request)
            if refused is not None:
                self._deliver(self._transactions, self._transactions.finish(ticket))
        waited = self._state.now() - offered_at
        if refused is not None:
            return _overloaded(refused, waited)
        try:
            result = self._begin_exchange(peer, ticket, request)
        except BaseException:
            self._release(ticket)
            raise
        if not result.exchange_open:
            self._release(ticket)
        result.waited = waited
        return result

    def _begin_exchange(self, peer: str, ticket: int, request: RunRequest) -> RunResult:
        read_only = request.opens is Opens.READ_ONLY and not request.fence
        for _ in range(ATTEMPTS):
            floor = self._floor(request) if read_only else None
            if read_only and floor is None:
                return RunResult(problem=RunProblem.NO_PROOF)
            try:
                connection = self._lease(request)
                begun = self._begin(connection, floor, read_only)
            except UpstreamError:
                return RunResult(problem=RunProblem.UNREACHABLE)
            except NotSentError:
                continue
            if not begun.succeeded:
                self.pool.give_back(connection)
                return _not_begun(begun)
            key = peer, request.exchange
            exchange = OpenExchange(ticket, connection, self._state.now())
            self._exchanges[key] = exchange
            return self._run_in_exchange(key, exchange, request)
        return RunResult(problem=RunProblem.UNREACHABLE)

    def _go_on(self, peer: str, request: RunRequest) -> RunResult:
        key = peer, request.exchange
        exchange = self._exchanges.get(key)
        if exchange is None or exchange.running:
            return RunResult(problem=RunProblem.NO_EXCHANGE)
        exchange.running = True
        offered_at = self._state.now()
        deadline = offered_at + request.patience_left
        outcome = self._work.resume(exchange.ticket, request.rank, deadline)
        refused = self._admit(self._work, exchange.ticket, outcome)
        waited = self._state.now() - offered_at
        if refused is not None:
            exchange.running = False
            self._close_exchange(key, exchange)
            return _overloaded(refused, waited)
        try:
            prepared = request.statement.prepared
            self._preparation.set_up(exchange.connection, request.values, prepared)
        except NotSentError:
            exchange.running = False
            self._close_exchange(key, exchange)
            return RunResult(problem=RunProblem.NO_EXCHANGE, waited=waited)
        result = self._run_in_exchange(key, exchange, request)
        result.waited = waited
        return result

    def _run_in_exchange(
        self, key: ExchangeKey, exchange: OpenExchange, request: RunRequest
    ) -> RunResult:
        exchange.running = True
        sent_at = self._state.now()
        try:
            result = self._ask(exchange.connection, request)
        finally:
            exchange.running = False
            exchange.used_at = self._state.now()
        answer = result.answer
        if answer is not None:
            exchange.connection.in_transaction = answer.state is not TransactionState.IDLE
            if request.statement.kind is StatementKind.COMMIT and exchange.wrote:
                self._note_commit(answer, sent_at)
            exchange.wrote = exchange.wrote or (answer.succeeded and request.statement.writes)
        if answer is not None and answer.state is TransactionState.OPEN:
            result.exchange_open = True
            self._deliver(self._work, self._work.pause(exchange.ticket))
            return result
        self._close_exchange(key, exchange)
        return result

    def _note_commit(self, answer: Answer, sent_at: timedelta) -> None:
        if answer.succeeded:
            self._note_proof(answer, sent_at)

    def _close_exchange(self, key: ExchangeKey, exchange: OpenExchange) -> None:
        if self._exchanges.pop(key, None) is None:
            return
        self._release(exchange.ticket)
        self.pool.give_back(exchange.connection)

    def _release(self, ticket: int) -> None:
        self._deliver(self._work, self._work.finish(ticket))
        self._deliver(self._transactions, self._transactions.finish(ticket))

    def _begin(self, connection: UpstreamConnection, floor: Mark | None, read_only: bool) -> Answer:
        """Begin a transaction; a plain one proves that the member leads."""
        sent_at = self._state.now()
        answer = self._preparation.begin(connection, floor, read_only)
        if answer.succeeded and not read_only:
            self._note_proof(answer, sent_at)
        return answer

    def _floor(self, request: RunRequest) -> Mark | None:
        now = self._state.now()
        proved = self._state.proofs.of(request.service).floor(now, request.max_staleness)
        if proved is None or request.mark is None:
            return proved
        return max(proved, request.mark)

    def _note_proof(self, answer: Answer, sent_at: timedelta) -> None:
        if answer.mark is not None:
            self._state.note_proof(
                self.member.service, self.member.id, answer.mark.term, answer.mark, sent_at
            )


def _not_begun(answer: Answer) -> RunResult:
    if answer.code is AnswerCode.READ_ONLY:
        return RunResult(problem=RunProblem.NOT_PRIMARY)
    return RunResult(answer)


def _overloaded(refused: Refused, waited: timedelta) -> RunResult:
    retry_after = refused.problem.retry_after or timedelta()
    return RunResult(
        problem=RunProblem.OVERLOADED, waited=max(waited, retry_after), retry_after=retry_after
    )
