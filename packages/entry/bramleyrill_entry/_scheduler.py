"""Run statements at one member for which this VM is the holder.

Covers admission, the connection pool and the open transactions of the member.
"""

import itertools
from collections.abc import Callable
from datetime import timedelta

from bramleyrill_core.admission import MemberAdmission, Refused
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.connections import Use
from bramleyrill_core.permits import StatusReport
from bramleyrill_core.placement import LoadMeter, LoadStamp
from bramleyrill_core.statements import StatementKind, TransactionState
from bramleyrill_platform import lines

from bramleyrill_entry._admission_waiters import AdmissionWaiters
from bramleyrill_entry._command_slot import CommandSlot
from bramleyrill_entry._open_transactions import (
    OpenTransaction,
    TransactionKey,
    transactions_to_end,
)
from bramleyrill_entry._permits import NoPermitError, PermitKeeper
from bramleyrill_entry._pool import LEASE_TIMEOUT, NoFreeConnectionError, UpstreamPool
from bramleyrill_entry._preparation import NotSentError, Preparation
from bramleyrill_entry._run_request import NO_TRANSACTION, Opens, RunProblem, RunRequest, RunResult
from bramleyrill_entry._run_results import (
    no_connection_result,
    no_permit_result,
    overloaded_result,
    refused_begin_result,
)
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._statement_runner import StatementRunner
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError

# One statement more than the member has slots, so that a freed slot never waits for the network.
EXTRA_IN_FLIGHT = 1
# Slots that a command to the member keeps free: one for itself, and the one more that is in flight.
COMMAND_SLOTS = EXTRA_IN_FLIGHT + 1
EXPECTED_STATEMENT_TIME = timedelta(milliseconds=15)
EXPECTED_TRANSACTION_TIME = timedelta(milliseconds=300)
# How often a request that waits for the end of a pause looks whether the member still takes work.
PAUSE_CHECK_INTERVAL = timedelta(milliseconds=100)
# Attempts to get a connection on which the statement can be sent.
MAX_CONNECTION_ATTEMPTS = 3
# Part of the time until a statement would be late that it waits for a connection of its team which
# is in use, before the connection of another team is closed for it.
CONNECTION_WAIT_SHARE = 0.25
MAX_CONNECTION_WAIT = LEASE_TIMEOUT / 2


class MemberScheduler:
    """Run statements at one member for the callers of all VMs.

    `paused_until` is the end of a pause of new fenced work during a planned change of primary.
    `takes_new_work` returns whether statements outside of open transactions may be sent to the
    member; it is asked again after each wait, as the member may leave meanwhile.
    """

    def __init__(
        self,
        state: EntryState,
        member: MemberEntry,
        connections: int,
        permits: PermitKeeper,
        takes_new_work: Callable[[], bool] = lambda: True,
    ) -> None:
        self.member = member
        self._permits = permits
        self._takes_new_work = takes_new_work
        self.pool = UpstreamPool(member, connections, state.clock)
        self._preparation = Preparation(self.pool)
        self._state = state
        self._meter = LoadMeter(member.slots)
        self._runner = StatementRunner(state, member, permits, self._preparation, self._meter)
        self._waiters = AdmissionWaiters()
        slots = member.slots + EXTRA_IN_FLIGHT
        self._statement_admission = MemberAdmission(
            member.service, slots, EXPECTED_STATEMENT_TIME, state.clock, state.weight_of
        )
        # Idle transactions must leave enough connections to use all slots of the member.
        transaction_slots = max(1, connections - member.slots)
        self._transaction_admission = MemberAdmission(
            member.service,
            transaction_slots,
            EXPECTED_TRANSACTION_TIME,
            state.clock,
            state.weight_of,
        )
        self._commands = CommandSlot(
            self.pool,
            self._statement_admission,
            COMMAND_SLOTS,
            lambda outcomes: self._waiters.deliver(self._statement_admission, outcomes),
        )
        self._transactions: dict[TransactionKey, OpenTransaction] = {}
        self._admission_ids = itertools.count(1)
        self.paused_until: timedelta | None = None

    @property
    def open_transactions(self) -> int:
        """Return the number of transactions that are open at the member through this VM."""
        return len(self._transactions)

    @property
    def busy(self) -> bool:
        """Return whether statements or transactions are in progress or queued."""
        return bool(
            self._transactions
            or self._statement_admission.in_flight
            or self._statement_admission.waiting
        )

    def run(self, peer: str, request: RunRequest) -> RunResult:
        """Run one statement for the VM `peer`; blocks until it is answered or refused."""
        result = self._run(peer, request)
        stamp = self.load_stamp()
        result.load = stamp.pack() if stamp is not None else None
        return result

    def load_stamp(self) -> LoadStamp | None:
        """Return the member's load; None if it is too light to change a choice."""
        admission = self._statement_admission
        stamp = self._meter.stamp(admission.in_flight, admission.waiting, self._state.now())
        return stamp if self._meter.worth_telling(stamp) else None

    def _run(self, peer: str, request: RunRequest) -> RunResult:
        if request.transaction_id != NO_TRANSACTION and request.opens is Opens.NOTHING:
            return self._continue_transaction(peer, request)
        deadline = self._state.now() + request.max_wait
        if request.fence:
            self._wait_while_paused(deadline)
            if self._state.is_being_replaced(self.member.id):
                return RunResult(problem=RunProblem.NOT_PRIMARY)
        if request.opens is Opens.NOTHING:
            return self._run_single(request, deadline)
        return self._open_transaction(peer, request, deadline)

    def end_transaction(self, key: TransactionKey) -> None:
        """Roll back a transaction that its entry VM no longer needs, if it is still open."""
        transaction = self._transactions.get(key)
        if transaction is None:
            return
        if transaction.running:
            # This fails the statement in progress, and makes the member roll back.
            transaction.connection.close()
            return
        self._close_transaction(key, transaction)

    def end_transactions(self, peer: str | None = None) -> None:
        """Roll back the transactions of the VM `peer`, or all transactions if it is None."""
        for key in list(self._transactions):
            if peer is None or key[0] == peer:
                self.end_transaction(key)

    def tick(self) -> None:
        """Refuse requests that waited too long, and roll back abandoned transactions."""
        for admission in (self._statement_admission, self._transaction_admission):
            self._waiters.deliver(admission, admission.tick())
        if not self._takes_new_work():
            self._waiters.refuse(spared={item.admission_id for item in self._transactions.values()})
        waiting_by_team = self._transaction_admission.waiting_by_team()
        for key in transactions_to_end(
            self._state, self.member.id, self._transactions, waiting_by_team, self.pool
        ):
            self._close_transaction(key, self._transactions[key])

    def refuse_waiting(self) -> None:
        """Refuse the statements that wait for a slot; they have not run."""
        self._waiters.refuse()

    def close(self) -> None:
        """Roll back all transactions and close all connections."""
        self.end_transactions()
        self.pool.close()

    def prove(self) -> RunProblem | None:
        """Check with an empty transaction that the member is the primary.

        Return None and record the proof on success, otherwise return the reason.
        """
        try:
            connection = self.pool.lease(LEASE_TIMEOUT, team=None)
        except UpstreamError:
            return RunProblem.UNREACHABLE
        try:
            answer = self._runner.begin(connection, None, read_only=False)
        except NotSentError:
            return RunProblem.UNREACHABLE
        except NoPermitError:
            self.pool.release(connection)
            return RunProblem.NO_PERMIT
        self.pool.release(connection)
        return None if answer.succeeded else RunProblem.NOT_PRIMARY

    def command(self, text: str) -> StatusReport | None:
        """Send a command that answers with the member's status; None if it does not answer."""
        return self._commands.run(text)

    # Admission.

    def _submit(
        self,
        admission: MemberAdmission,
        admission_id: int,
        request: RunRequest,
        deadline: timedelta,
    ) -> Refused | None:
        """Submit a request and wait until it is started or refused; return the refusal, if any."""
        now = self._state.now()
        if admission is self._statement_admission:
            self._meter.record_arrival(now)
        outcome = admission.submit(
            admission_id,
            request.rank,
            now + request.on_time_left,
            deadline,
            request.team,
            lines.item_of(request.statement) if request.team and request.fence else "",
        )
        return self._waiters.wait(admission, admission_id, outcome)

    def _record_wait(
        self, request: RunRequest, submitted_at: timedelta, refusal: Refused | None
    ) -> timedelta:
        """Count the wait since a request was submitted in its team's metrics, and return it."""
        waited = self._state.now() - submitted_at
        if request.team:
            self._state.team_metrics.record_wait(request.team, waited, refusal is not None)
        return waited

    def _record_slot_time(self, request: RunRequest, started_at: timedelta) -> None:
        if request.team:
            used = self._state.now() - started_at
            self._state.team_metrics.record_slot_time(request.team, used)

    def _wait_while_paused(self, deadline: timedelta) -> None:
        """Wait until a planned change of primary ends its pause, or the member takes no work."""
        while self.paused_until is not None and self._takes_new_work():
            remaining = min(self.paused_until, deadline) - self._state.now()
            if remaining <= timedelta():
                return
            pause = min(remaining, PAUSE_CHECK_INTERVAL)
            self._state.primary_changed.wait(pause.total_seconds())

    # Single statements.

    def _run_single(self, request: RunRequest, deadline: timedelta) -> RunResult:
        admission_id = next(self._admission_ids)
        submitted_at = self._state.now()
        refusal = self._submit(self._statement_admission, admission_id, request, deadline)
        waited = self._record_wait(request, submitted_at, refusal)
        if refusal is not None:
            return overloaded_result(refusal, waited)
        try:
            result = self._run_with_retries(request)
        finally:
            self._record_slot_time(request, submitted_at + waited)
            self._waiters.deliver(
                self._statement_admission, self._statement_admission.finish(admission_id)
            )
        result.waited = waited
        return result

    def _run_with_retries(self, request: RunRequest) -> RunResult:
        """Run a statement; use another connection if one fails before the statement is sent."""
        for _ in range(MAX_CONNECTION_ATTEMPTS):
            try:
                connection = self._lease_connection(request)
            except NoFreeConnectionError:
                return no_connection_result()
            except UpstreamError:
                return RunResult(problem=RunProblem.UNREACHABLE)
            except NotSentError:
                continue
            try:
                return self._run_on_connection(connection, request)
            except NotSentError:
                continue
            except NoPermitError:
                return no_permit_result()
            finally:
                self.pool.release(connection)
        return RunResult(problem=RunProblem.UNREACHABLE)

    def _lease_connection(self, request: RunRequest) -> UpstreamConnection:
        """Return a connection for new work; raise UpstreamError if the member takes none."""
        patience = min(request.on_time_left * CONNECTION_WAIT_SHARE, MAX_CONNECTION_WAIT)
        connection = self._preparation.lease(
            request.values, request.statement.prepared, request.team, patience
        )
        # A primary that is being replaced could not commit, or would lose what it commits.
        is_replaced = request.fence and self._state.is_being_replaced(self.member.id)
        if is_replaced or not self._takes_new_work():
            self.pool.release(connection)
            raise UpstreamError("the member takes no new work")
        return connection

    def _run_on_connection(self, connection: UpstreamConnection, request: RunRequest) -> RunResult:
        """Run a statement outside a transaction.

        A fenced read runs in a transaction, whose BEGIN proves that the member is the primary. A
        write needs a permit before it is sent, and again before its answer is passed on.
        """
        min_mark = None
        if not request.fence:
            min_mark = self._runner.required_mark(request)
            if min_mark is None:
                return RunResult(problem=RunProblem.NO_PROOF)
        elif not request.statement.writes:
            begin_answer = self._runner.begin(connection, None, read_only=False)
            if not begin_answer.succeeded:
                return refused_begin_result(begin_answer)
        else:
            self._permits.require(self.member, connection.opened_at)
        result = self._runner.execute(connection, request, min_mark)
        return self._runner.confirm_write(request, result) if request.statement.writes else result

    # Transactions.

    def _open_transaction(self, peer: str, request: RunRequest, deadline: timedelta) -> RunResult:
        admission_id = next(self._admission_ids)
        submitted_at = self._state.now()
        refusal = self._submit(self._transaction_admission, admission_id, request, deadline)
        if refusal is None:
            refusal = self._submit(self._statement_admission, admission_id, request, deadline)
            if refusal is not None:
                self._waiters.deliver(
                    self._transaction_admission, self._transaction_admission.finish(admission_id)
                )
        waited = self._record_wait(request, submitted_at, refusal)
        if refusal is not None:
            return overloaded_result(refusal, waited)
        try:
            result = self._begin_transaction(peer, admission_id, request)
        except BaseException:
            self._release_slots(admission_id)
            raise
        if not result.transaction_open:
            self._release_slots(admission_id)
        result.waited = waited
        return result

    def _begin_transaction(self, peer: str, admission_id: int, request: RunRequest) -> RunResult:
        read_only = request.opens is Opens.READ_ONLY and not request.fence
        for _ in range(MAX_CONNECTION_ATTEMPTS):
            min_mark = self._runner.required_mark(request) if read_only else None
            if read_only and min_mark is None:
                return RunResult(problem=RunProblem.NO_PROOF)
            try:
                connection = self._lease_connection(request)
                begin_answer = self._runner.begin(connection, min_mark, read_only)
            except NoFreeConnectionError:
                return no_connection_result()
            except UpstreamError:
                return RunResult(problem=RunProblem.UNREACHABLE)
            except NotSentError:
                continue
            except NoPermitError:
                self.pool.release(connection)
                return no_permit_result()
            if not begin_answer.succeeded:
                self.pool.release(connection)
                return refused_begin_result(begin_answer)
            key = peer, request.transaction_id
            transaction = OpenTransaction(
                admission_id, connection, self._state.now(), team=request.team
            )
            self._transactions[key] = transaction
            return self._run_in_transaction(key, transaction, request)
        return RunResult(problem=RunProblem.UNREACHABLE)

    def _continue_transaction(self, peer: str, request: RunRequest) -> RunResult:
        key = peer, request.transaction_id
        transaction = self._transactions.get(key)
        if transaction is None or transaction.running:
            return RunResult(problem=RunProblem.NO_EXCHANGE)
        transaction.running = True
        self.pool.set_use(transaction.connection, Use.TRANSACTION)
        submitted_at = self._state.now()
        self._meter.record_arrival(submitted_at)
        deadline = submitted_at + request.max_wait
        outcome = self._statement_admission.resume(
            transaction.admission_id, request.rank, deadline, request.team
        )
        refusal = self._waiters.wait(self._statement_admission, transaction.admission_id, outcome)
        waited = self._record_wait(request, submitted_at, refusal)
        if refusal is not None:
            transaction.running = False
            self._close_transaction(key, transaction)
            return overloaded_result(refusal, waited)
        try:
            prepared = request.statement.prepared
            self._preparation.set_up(transaction.connection, request.values, prepared)
            if request.statement.kind is StatementKind.COMMIT and transaction.wrote:
                self._permits.require(self.member, transaction.connection.opened_at)
        except (NotSentError, NoPermitError):
            transaction.running = False
            self._close_transaction(key, transaction)
            return RunResult(problem=RunProblem.NO_EXCHANGE, waited=waited)
        result = self._run_in_transaction(key, transaction, request)
        result.waited = waited
        return result

    def _run_in_transaction(
        self, key: TransactionKey, transaction: OpenTransaction, request: RunRequest
    ) -> RunResult:
        transaction.running = True
        self.pool.set_use(transaction.connection, Use.TRANSACTION)
        sent_at = self._state.now()
        try:
            result = self._runner.execute(transaction.connection, request)
        finally:
            transaction.running = False
            transaction.last_used_at = self._state.now()
            self._record_slot_time(request, sent_at)
        if request.statement.kind is StatementKind.COMMIT and transaction.wrote:
            result = self._runner.confirm_write(request, result)
        answer = result.answer
        if answer is not None:
            transaction.connection.in_transaction = answer.state is not TransactionState.IDLE
            committed = request.statement.kind is StatementKind.COMMIT and answer.succeeded
            if committed and transaction.wrote:
                self._runner.record_proof(answer, sent_at)
            transaction.wrote = transaction.wrote or (answer.succeeded and request.statement.writes)
        # The router opens another transaction if the first statement did not run.
        is_refused = answer is not None and answer.not_run and request.opens is not Opens.NOTHING
        if answer is not None and answer.state is TransactionState.OPEN and not is_refused:
            result.transaction_open = True
            self.pool.set_use(transaction.connection, Use.RESTING)
            self._waiters.deliver(
                self._statement_admission, self._statement_admission.pause(transaction.admission_id)
            )
            return result
        self._close_transaction(key, transaction)
        return result

    def _close_transaction(self, key: TransactionKey, transaction: OpenTransaction) -> None:
        if self._transactions.pop(key, None) is None:
            return
        self._release_slots(transaction.admission_id)
        self.pool.release(transaction.connection)

    def _release_slots(self, admission_id: int) -> None:
        self._waiters.deliver(
            self._statement_admission, self._statement_admission.finish(admission_id)
        )
        self._waiters.deliver(
            self._transaction_admission, self._transaction_admission.finish(admission_id)
        )
