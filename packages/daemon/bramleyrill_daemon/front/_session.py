"""A caller's session: handles its frames, runs its requests, keeps its state between them."""

from collections import deque

from attrs import define, field
from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import StatementClass
from bramleyrill_core.admission import Request
from bramleyrill_core.sessions import Session
from bramleyrill_wire import postgres as pg

from bramleyrill_daemon._transaction import Transaction
from bramleyrill_daemon.front._batch import (
    AnswerTracker,
    Batch,
    PreparedStatement,
    describe_prepared,
    plan_query,
    refuse,
)
from bramleyrill_daemon.front._caller import CallerSocket
from bramleyrill_daemon.front._local import (
    LocalStatement,
    describe_local,
    run_local,
)
from bramleyrill_daemon.front._replies import SessionEndError, error_frame, protocol_violation
from bramleyrill_daemon.front._request import CallerRequest, RequestRunner
from bramleyrill_daemon.front._single import PARSE, read_single_statement

_BATCH_FRAMES = frozenset(b"PBDEC")
_IGNORED_FRAMES = frozenset(b"dcf")  # COPY data, which may still arrive after COPY was refused
_QUERY, _SYNC, _FLUSH, _TERMINATE, _FUNCTION_CALL = b"QSHXF"
_ENDING_KINDS = (StatementClass.COMMIT, StatementClass.ROLLBACK)
_WRITING_KINDS = (StatementClass.WRITE, StatementClass.COMMIT)
_IDLE = b"I"
_FAILED = b"E"


@define(eq=False)
class CallerSession:
    """A session of one caller; collections that most sessions never need are created on first use.

    `row` is the session's row in the core's tables, `secret` the key of its cancel requests.
    `status` is the transaction status that ReadyForQuery reports to the caller. The proxy sets
    `transaction_problem` when it has ended or lost the transaction, and refuses statements with it
    until the caller ends the transaction. `session_statements` maps the names of the session's
    prepared statements, `connection_statements` has the names that are prepared on the upstream
    connection.

    `skipping` is set after an error in a batch: its frames are dropped up to the Sync.
    `flush_tracker` follows the answers to a batch that is sent in parts, `flush_start` is the
    time at which its first part was sent. `flush_pending` says that a Flush has been read but not
    handled. `closing` says that the session ends at its next moment between requests.

    The following times are those of the front's coarse clock: `busy_since` is the start of the
    request in progress, `idle_since` the time at which the open transaction became idle,
    `partial_since` the arrival of the last part of an incomplete frame. `policy` caches the
    deadline of the session's rank.
    """

    front: object
    runner: RequestRunner
    caller: CallerSocket
    row: Session
    secret: int
    splitter: pg.FrameSplitter
    transaction: Transaction | None = None
    admission_request: Request | None = None
    status: bytes = _IDLE
    transaction_problem: Problem | None = None
    session_statements: dict[str, PreparedStatement] | None = None
    connection_statements: set[str] | None = None
    portals: dict[str, PreparedStatement | None] | None = None
    batch: Batch | None = None
    flush_tracker: AnswerTracker | None = None
    flush_start: object = None
    flush_pending: bool = False
    skipping: bool = False
    canceled: bool = False
    caller_disconnected: bool = False
    closing: bool = False
    waiting_for_input: bool = False
    busy_since: float | None = None
    idle_since: float | None = None
    partial_since: float | None = None
    policy: object = None
    greenlet: object = field(default=None, repr=False)

    def run(self) -> None:
        """Serve the caller until it disconnects; raise SessionEndError to end with a message."""
        receive = self.caller.receive
        splitter = self.splitter
        feed = splitter.feed
        while True:
            if self.closing and self.between_requests:
                raise SessionEndError(Problem(ErrorKind.SHUTTING_DOWN))
            data = self._receive(receive)
            if not data:
                return
            frames = feed(data)
            if frames and frames[0][0] == PARSE and self._run_single_statement(frames):
                continue
            for kind, frame in frames:
                if kind == _QUERY:
                    self._handle_query(frame)
                elif kind == _TERMINATE:
                    return
                else:
                    self._handle_extended(kind, frame)
                if self.caller_disconnected:
                    return
            if self.flush_pending:
                self._flush()
            self.partial_since = None if splitter.at_frame_boundary else self.front.coarse_clock.now

    def _receive(self, receive) -> bytes:
        self.waiting_for_input = True
        try:
            return receive()
        except SessionEndError:
            # The caller sent a request before it could know of the end of the session; run it.
            if not (self.closing and self.caller.has_input()):
                raise
            return receive()
        finally:
            self.waiting_for_input = False

    @property
    def between_requests(self) -> bool:
        """Return whether the session has no transaction, no batch and no incomplete frame."""
        return (
            self.status == _IDLE
            and self.transaction is None
            and self.batch is None
            and not self.skipping
            and self.splitter.at_frame_boundary
        )

    def close_transaction(self) -> None:
        """Release the upstream connection; an open transaction is rolled back."""
        transaction, self.transaction = self.transaction, None
        self.connection_statements = self.flush_tracker = self.flush_start = self.idle_since = None
        if transaction is not None:
            transaction.close()

    def fail_transaction(self, problem: Problem) -> None:
        """Roll back and release the transaction; refuse statements until the caller ends it."""
        self.close_transaction()
        self.status = _FAILED
        detail = f"the transaction was rolled back after: {problem.kind.name.lower()}"
        self.transaction_problem = Problem(ErrorKind.NOT_RUN_ROLLED_BACK, detail)

    def cancel(self) -> None:
        """Cancel the request in progress, if there is one."""
        if self.busy_since is not None:
            self.canceled = True
            if self.transaction is not None:
                self.transaction.cancel()
            elif self.admission_request is not None:
                self.front.entry_queue.withdraw(self.admission_request)

    def _answer(self, frames: bytes) -> None:
        self.caller.send(frames + pg.ready_for_query(self.status))

    def _refuse(self, problem: Problem) -> None:
        """Send an error; inside a transaction it fails the transaction, as in PostgreSQL."""
        if self.status != _IDLE and self.transaction_problem is None:
            self.fail_transaction(problem)
        self._answer(error_frame(problem))

    def _run_request(self, caller_request: CallerRequest) -> bool:
        """Run a request and return whether it was answered without a problem.

        On a problem, the error has been sent to the caller.
        """
        self.canceled = False
        front = self.front
        self.busy_since = front.coarse_clock.now
        try:
            problem = self.runner.run(self, caller_request)
        finally:
            self.busy_since = None
        if problem is None:
            if self.transaction is not None:
                self.idle_since = front.coarse_clock.now
            else:
                self.portals = None
            return True
        self.portals = None
        self._answer(error_frame(problem))
        return False

    def _handle_query(self, frame: bytes) -> None:
        if self.skipping or self.batch is not None or self.flush_tracker is not None:
            raise protocol_violation("a simple query inside an extended batch")
        plan = plan_query(frame)
        kind = plan.statement.kind
        if self.transaction_problem is not None:
            self._query_after_failure(kind)
            return
        in_transaction = self.status != _IDLE
        local = plan.local
        if plan.is_restricted and (problem := refuse(plan.statement, local, in_transaction)):
            self._refuse(problem)
        elif local is not None:
            result = self._run_local(local)
            if isinstance(result, Problem):
                self._refuse(result)
                return
            described = describe_local(local) if result else b""
            self._answer(described + result + pg.command_complete(local.tag))
        else:
            may_commit = plan.may_end if in_transaction else kind in _WRITING_KINDS
            self._run_request(
                CallerRequest(frame, kind, may_commit, plan.alters_session, plan.hold)
            )

    def _query_after_failure(self, kind: StatementClass) -> None:
        if kind not in _ENDING_KINDS:
            self._answer(error_frame(self.transaction_problem))
            return
        self._clear_failed_transaction()
        self._answer(pg.command_complete("ROLLBACK"))

    def _clear_failed_transaction(self) -> None:
        self.transaction_problem = None
        self.status = _IDLE

    def _handle_extended(self, kind: int, frame: bytes) -> None:
        if kind in _BATCH_FRAMES:
            if not self.skipping:
                self._add_to_batch(kind, frame)
        elif kind == _SYNC:
            self._handle_sync()
        elif kind == _FLUSH:
            # Handle the frames that have already arrived first: some drivers send a Flush after
            # each frame, and a batch whose Sync has arrived needs no answers before it.
            self.flush_pending = True
        elif kind == _FUNCTION_CALL:
            self._refuse(Problem(ErrorKind.NOT_SUPPORTED, "function call messages"))
        elif kind not in _IGNORED_FRAMES:
            raise protocol_violation(f"unexpected message {chr(kind)!a}")

    def _run_single_statement(self, frames: list[tuple[int, bytes]]) -> bool:
        """Run a batch of one statement; for any other batch do nothing and return False."""
        if self.batch is not None or self.skipping or self.transaction_problem is not None:
            return False
        prepared = read_single_statement(frames)
        if prepared is None:
            return False
        if self.session_statements is None:
            self.session_statements = {}
        self.session_statements[""] = prepared
        kind = prepared.statement.kind
        may_commit = prepared.may_end if self.status != _IDLE else kind in _WRITING_KINDS
        alters_session = prepared.statement.alters_session or kind is StatementClass.BEGIN
        self._run_request(
            CallerRequest(
                b"".join([frame for _, frame in frames]), kind, may_commit, alters_session
            )
        )
        if self.transaction is not None:
            if self.connection_statements is None:
                self.connection_statements = set()
            self.connection_statements.add("")
        return True

    def _add_to_batch(self, kind: int, frame: bytes) -> None:
        batch = self.batch
        if batch is None:
            batch = self.batch = self._new_batch()
        elif batch.size + len(frame) > self.front.limits.batch_bytes and not batch.may_end:
            # If the batch were sent as a whole, the answers to its first frames could fill all
            # buffers on the way before the upstream has read the last frames: a deadlock.
            self._flush()
            if self.skipping:
                return
        if batch.size + len(frame) > self.front.limits.frame_bytes:
            raise SessionEndError(Problem(ErrorKind.FRAME_TOO_LARGE, "batch without Sync"))
        problem = batch.add(kind, frame)
        if problem is not None:
            self._fail_batch(problem)

    def _new_batch(self) -> Batch:
        if self.session_statements is None:
            self.session_statements = {}
        if self.connection_statements is None:
            self.connection_statements = set()
        if self.portals is None:
            self.portals = {}
        in_transaction = self.status != _IDLE
        return Batch(
            self.session_statements,
            self.connection_statements,
            self.portals,
            in_transaction,
            self.front.limits,
        )

    def _fail_batch(self, problem: Problem) -> None:
        """Send an error at once and skip the rest of the batch."""
        if self.status != _IDLE and self.transaction_problem is None:
            self.fail_transaction(problem)
        elif self.status == _IDLE:
            self.close_transaction()
        self.batch = self.flush_tracker = None
        self.skipping = True
        self.caller.send(error_frame(problem))

    def _flush(self) -> None:
        self.flush_pending = False
        batch = self.batch
        if batch is None or self.skipping:
            return
        if self.transaction_problem is not None or (batch.has_local and not batch.has_remote):
            self._answer_batch(batch)
            return
        problem = self._check_flush(batch)
        if problem is None and batch.frames:
            self.busy_since = self.front.coarse_clock.now
            try:
                problem = self._send_part(batch)
            finally:
                self.busy_since = None
                self.idle_since = self.front.coarse_clock.now
        if problem is not None:
            self._fail_batch(problem)

    def _check_flush(self, batch: Batch) -> Problem | None:
        if batch.has_local:
            return Problem(ErrorKind.NOT_SUPPORTED, "proxy settings and statements in one batch")
        if batch.may_end and any(p is None or p.may_end for p in batch.statements):
            return Problem(ErrorKind.NOT_SUPPORTED, "Flush between COMMIT and Sync")
        return None

    def _send_part(self, batch: Batch) -> Problem | None:
        if self.flush_tracker is None:
            self.flush_start = self.front.world.clock.monotonic()
            if self.transaction is None:
                problem = self.runner.open_flushed_batch(self)
                if problem is not None:
                    return problem
            self.flush_tracker = AnswerTracker(deque(), self.session_statements)
        self.flush_tracker.expected.extend(batch.expected)
        batch.expected.clear()
        return self.runner.flush(self, batch.pop_frames(), self.flush_tracker)

    def _handle_sync(self) -> None:
        batch, self.batch = self.batch, None
        self.flush_pending = False
        if self.skipping or batch is None:
            self.skipping = False
            self._answer(b"")
        elif self.transaction_problem is not None or batch.has_local:
            self.batch = batch
            self._answer_batch(batch)
            self.batch = None
            self.skipping = False
            self._answer(b"")
        else:
            self._run_batch(batch)

    def _run_batch(self, batch: Batch) -> None:
        in_transaction = self.status != _IDLE
        kind = batch.kind
        may_commit = batch.may_end if in_transaction else kind in _WRITING_KINDS
        batch.frames.append(pg.SYNC)
        caller_request = CallerRequest(
            batch.pop_frames(),
            kind,
            may_commit or self.flush_tracker is not None,
            batch.alters_session,
            batch.commits_before_end,
        )
        if self.flush_tracker is not None:
            self.flush_tracker.expected.extend(batch.expected)
            caller_request.tracker = self.flush_tracker
        elif batch.needs_tracker:
            caller_request.expected = batch.expected
            caller_request.session_statements = self.session_statements
        else:
            self.session_statements.update(batch.new_statements)
        self._run_request(caller_request)
        self.flush_tracker = self.flush_start = None
        if self.transaction is None:
            self.connection_statements = None

    def _answer_batch(self, batch: Batch) -> None:
        """Answer a batch here: one of proxy settings, or the end of a failed transaction."""
        if self.transaction_problem is not None:
            if not batch.only_ends_transaction:
                self._fail_batch(self.transaction_problem)
                return
            answers = batch.answer(lambda _: pg.NO_DATA, self._answer_rollback)
        elif batch.has_remote:
            detail = "proxy settings and statements in one batch"
            answers = Problem(ErrorKind.NOT_SUPPORTED, detail)
        else:
            answers = batch.answer(describe_prepared, self._run_prepared)
        if isinstance(answers, Problem):
            self._fail_batch(answers)
            return
        batch.pop_frames()
        batch.expected.clear()
        if answers:
            self.caller.send(answers)

    def _answer_rollback(self, _prepared: PreparedStatement | None) -> bytes:
        self._clear_failed_transaction()
        return pg.command_complete("ROLLBACK")

    def _run_local(self, local: LocalStatement) -> bytes | Problem:
        if local.deallocates is not None and self.session_statements:
            # Drivers also use DEALLOCATE for statements that they prepared with a Parse frame.
            names = (
                [local.deallocates]
                if local.deallocates
                else [name for name in self.session_statements if name]
            )
            for name in names:
                self.session_statements.pop(name, None)
        return run_local(self.front.world, self.row, local)

    def _run_prepared(self, prepared: PreparedStatement | None) -> bytes | Problem:
        result = self._run_local(prepared.local)
        if isinstance(result, Problem):
            return result
        return result + pg.command_complete(prepared.local.tag)
