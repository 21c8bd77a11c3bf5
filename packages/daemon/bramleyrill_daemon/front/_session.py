"""One caller's session: its frames in, its requests run, its state between them."""

from collections import deque

from attrs import define, field
from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import StatementClass
from bramleyrill_core.admission import Request
from bramleyrill_core.sessions import Session
from bramleyrill_wire import postgres as pg

from bramleyrill_daemon._transaction import Transaction
from bramleyrill_daemon.front._batch import (
    Batch,
    Prepared,
    Tracker,
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
from bramleyrill_daemon.front._replies import SessionEndError, error_frame, violation
from bramleyrill_daemon.front._request import RequestRunner, Work
from bramleyrill_daemon.front._single import PARSE, read_single

_BATCHED = frozenset(b"PBDEC")
_IGNORED = frozenset(b"dcf")  # COPY data, which may still arrive after COPY was refused
_QUERY, _SYNC, _FLUSH, _TERMINATE, _FUNCTION_CALL = b"QSHXF"
_ENDS_TRANSACTION = (StatementClass.COMMIT, StatementClass.ROLLBACK)
_WRITES = (StatementClass.WRITE, StatementClass.COMMIT)
_IDLE = b"I"
_FAILED = b"E"


@define(eq=False)
class CallerSession:
    """State of a session; everything that most sessions never need is made on first use.

    `status` is the transaction status as the caller knows it. `failed` is set when the proxy has
    lost the transaction: until the caller ends it, its statements are refused. `skipping` drops
    a batch after an error up to its Sync. `flow` follows a batch that is sent in parts, and
    `flow_started` is when its first part was sent. `busy_since` is the pulse at which the
    request in progress started, `idle_since` that at which the open transaction became idle.
    `partial_since` is when the last part of an unfinished frame came. `policy` caches what the
    text promises to the session's rank.
    """

    front: object
    runner: RequestRunner
    caller: CallerSocket
    row: Session
    secret: int
    splitter: pg.FrameSplitter
    exchange: Transaction | None = None
    ticket: Request | None = None
    status: bytes = _IDLE
    failed: Problem | None = None
    prepared: dict[str, Prepared] | None = None
    parsed: set[str] | None = None
    portals: dict[str, Prepared | None] | None = None
    batch: Batch | None = None
    flow: Tracker | None = None
    flow_started: object = None
    flush_due: bool = False
    skipping: bool = False
    canceled: bool = False
    gone: bool = False
    leaving: bool = False
    waiting: bool = False
    busy_since: float | None = None
    idle_since: float | None = None
    partial_since: float | None = None
    policy: object = None
    greenlet: object = field(default=None, repr=False)

    def run(self) -> None:
        """Serve the caller until it leaves; raise SessionEndError to end with a message."""
        receive = self.caller.receive
        splitter = self.splitter
        feed = splitter.feed
        while True:
            if self.leaving and self.between_requests:
                raise SessionEndError(Problem(ErrorKind.SHUTTING_DOWN))
            data = self._wait(receive)
            if not data:
                return
            pieces = feed(data)
            if pieces and pieces[0][0] == PARSE and self._run_single(pieces):
                continue
            for kind, frame in pieces:
                if kind == _QUERY:
                    self._query(frame)
                elif kind == _TERMINATE:
                    return
                else:
                    self._extended(kind, frame)
                if self.gone:
                    return
            if self.flush_due:
                self._flush()
            self.partial_since = None if splitter.at_frame_boundary else self.front.pulse.now

    def _wait(self, receive) -> bytes:
        self.waiting = True
        try:
            return receive()
        except SessionEndError:
            # The caller sent a request before it could know that the session ends: it is run.
            if not (self.leaving and self.caller.has_input()):
                raise
            return receive()
        finally:
            self.waiting = False

    @property
    def between_requests(self) -> bool:
        """Tell whether the session has no transaction, no batch and no part of a frame."""
        return (
            self.status == _IDLE
            and self.exchange is None
            and self.batch is None
            and not self.skipping
            and self.splitter.at_frame_boundary
        )

    def close_exchange(self) -> None:
        """Give the upstream connection back; an open transaction is rolled back."""
        exchange, self.exchange = self.exchange, None
        self.parsed = self.flow = self.flow_started = self.idle_since = None
        if exchange is not None:
            exchange.close()

    def fail_transaction(self, problem: Problem) -> None:
        """Refuse the rest of a transaction that the proxy has lost."""
        self.close_exchange()
        self.status = _FAILED
        detail = f"the transaction was rolled back after: {problem.kind.name.lower()}"
        self.failed = Problem(ErrorKind.NOT_RUN_ROLLED_BACK, detail)

    def cancel(self) -> None:
        """Cancel the request in progress, if there is one."""
        if self.busy_since is not None:
            self.canceled = True
            if self.exchange is not None:
                self.exchange.cancel()
            elif self.ticket is not None:
                self.front.entry.cancel(self.ticket)

    def _answer(self, frames: bytes) -> None:
        self.caller.send(frames + pg.ready_for_query(self.status))

    def _refuse(self, problem: Problem) -> None:
        """Tell of a problem; an error inside a transaction ends it, as in PostgreSQL."""
        if self.status != _IDLE and self.failed is None:
            self.fail_transaction(problem)
        self._answer(error_frame(problem))

    def _run(self, work: Work) -> bool:
        """Run a request; tell whether it was answered without a problem."""
        self.canceled = False
        front = self.front
        self.busy_since = front.pulse.now
        try:
            problem = self.runner.run(self, work)
        finally:
            self.busy_since = None
        if problem is None:
            if self.exchange is not None:
                self.idle_since = front.pulse.now
            else:
                self.portals = None
            return True
        self.portals = None
        self._answer(error_frame(problem))
        return False

    def _query(self, frame: bytes) -> None:
        if self.skipping or self.batch is not None or self.flow is not None:
            raise violation("a simple query inside an extended batch")
        plan = plan_query(frame)
        kind = plan.statement.kind
        if self.failed is not None:
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
            may_commit = plan.ends if in_transaction else kind in _WRITES
            self._run(Work(frame, kind, may_commit, plan.alters, plan.hold))

    def _query_after_failure(self, kind: StatementClass) -> None:
        if kind not in _ENDS_TRANSACTION:
            self._answer(error_frame(self.failed))
            return
        self._end_failed()
        self._answer(pg.command_complete("ROLLBACK"))

    def _end_failed(self) -> None:
        self.failed = None
        self.status = _IDLE

    def _extended(self, kind: int, frame: bytes) -> None:
        if kind in _BATCHED:
            if not self.skipping:
                self._add(kind, frame)
        elif kind == _SYNC:
            self._sync()
        elif kind == _FLUSH:
            # Frames that have already arrived are taken first: drivers send a Flush behind each
            # frame, and a batch whose Sync is there needs no answers before it.
            self.flush_due = True
        elif kind == _FUNCTION_CALL:
            self._refuse(Problem(ErrorKind.NOT_SUPPORTED, "function call messages"))
        elif kind not in _IGNORED:
            raise violation(f"unexpected message {chr(kind)!a}")

    def _run_single(self, pieces: list[tuple[int, bytes]]) -> bool:
        """Run a batch of one statement; return False with nothing done for any other."""
        if self.batch is not None or self.skipping or self.failed is not None:
            return False
        prepared = read_single(pieces)
        if prepared is None:
            return False
        if self.prepared is None:
            self.prepared = {}
        self.prepared[""] = prepared
        kind = prepared.statement.kind
        may_commit = prepared.ends if self.status != _IDLE else kind in _WRITES
        alters = prepared.statement.alters_session or kind is StatementClass.BEGIN
        self._run(Work(b"".join([frame for _, frame in pieces]), kind, may_commit, alters))
        if self.exchange is not None:
            if self.parsed is None:
                self.parsed = set()
            self.parsed.add("")
        return True

    def _add(self, kind: int, frame: bytes) -> None:
        batch = self.batch
        if batch is None:
            batch = self.batch = self._new_batch()
        elif batch.size + len(frame) > self.front.limits.batch and not batch.ends:
            # Sent in one piece, answers to the first frames could fill every buffer on the way
            # while the upstream still has to read the last ones.
            self._flush()
            if self.skipping:
                return
        if batch.size + len(frame) > self.front.limits.frame:
            raise SessionEndError(Problem(ErrorKind.FRAME_TOO_LARGE, "batch without Sync"))
        problem = batch.add(kind, frame)
        if problem is not None:
            self._fail_batch(problem)

    def _new_batch(self) -> Batch:
        if self.prepared is None:
            self.prepared = {}
        if self.parsed is None:
            self.parsed = set()
        if self.portals is None:
            self.portals = {}
        in_transaction = self.status != _IDLE
        return Batch(self.prepared, self.parsed, self.portals, in_transaction, self.front.limits)

    def _fail_batch(self, problem: Problem) -> None:
        """Tell of a problem at once and skip the rest of the batch."""
        if self.status != _IDLE and self.failed is None:
            self.fail_transaction(problem)
        elif self.status == _IDLE:
            self.close_exchange()
        self.batch = self.flow = None
        self.skipping = True
        self.caller.send(error_frame(problem))

    def _flush(self) -> None:
        self.flush_due = False
        batch = self.batch
        if batch is None or self.skipping:
            return
        if self.failed is not None or (batch.has_local and not batch.has_remote):
            self._answer_batch(batch)
            return
        problem = self._flush_refused(batch)
        if problem is None and batch.frames:
            self.busy_since = self.front.pulse.now
            try:
                problem = self._send_part(batch)
            finally:
                self.busy_since = None
                self.idle_since = self.front.pulse.now
        if problem is not None:
            self._fail_batch(problem)

    def _flush_refused(self, batch: Batch) -> Problem | None:
        if batch.has_local:
            return Problem(ErrorKind.NOT_SUPPORTED, "proxy settings and statements in one batch")
        if batch.ends and any(p is None or p.ends for p in batch.statements):
            return Problem(ErrorKind.NOT_SUPPORTED, "Flush between COMMIT and Sync")
        return None

    def _send_part(self, batch: Batch) -> Problem | None:
        if self.flow is None:
            self.flow_started = self.front.world.clock.monotonic()
            if self.exchange is None:
                problem = self.runner.open_flow(self)
                if problem is not None:
                    return problem
            self.flow = Tracker(deque(), self.prepared)
        self.flow.expected.extend(batch.expected)
        batch.expected.clear()
        return self.runner.flush(self, batch.take_frames(), self.flow)

    def _sync(self) -> None:
        batch, self.batch = self.batch, None
        self.flush_due = False
        if self.skipping or batch is None:
            self.skipping = False
            self._answer(b"")
        elif self.failed is not None or batch.has_local:
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
        may_commit = batch.ends if in_transaction else kind in _WRITES
        batch.frames.append(pg.SYNC)
        work = Work(
            batch.take_frames(),
            kind,
            may_commit or self.flow is not None,
            batch.alters_session,
            batch.commits_before_end,
        )
        if self.flow is not None:
            self.flow.expected.extend(batch.expected)
            work.tracker = self.flow
        elif batch.watched:
            work.expected = batch.expected
            work.prepared = self.prepared
        else:
            self.prepared.update(batch.new)
        self._run(work)
        self.flow = self.flow_started = None
        if self.exchange is None:
            self.parsed = None

    def _answer_batch(self, batch: Batch) -> None:
        """Answer a batch of proxy settings, or the end of a lost transaction."""
        if self.failed is not None:
            if not batch.ends_only:
                self._fail_batch(self.failed)
                return
            answers = batch.answer(lambda _: pg.NO_DATA, self._run_failed)
        elif batch.has_remote:
            detail = "proxy settings and statements in one batch"
            answers = Problem(ErrorKind.NOT_SUPPORTED, detail)
        else:
            answers = batch.answer(describe_prepared, self._run_prepared)
        if isinstance(answers, Problem):
            self._fail_batch(answers)
            return
        batch.take_frames()
        batch.expected.clear()
        if answers:
            self.caller.send(answers)

    def _run_failed(self, _prepared: Prepared | None) -> bytes:
        self._end_failed()
        return pg.command_complete("ROLLBACK")

    def _run_local(self, local: LocalStatement) -> bytes | Problem:
        if local.drops is not None and self.prepared:
            # Drivers name in DEALLOCATE what they have prepared by Parse.
            names = [local.drops] if local.drops else [name for name in self.prepared if name]
            for name in names:
                self.prepared.pop(name, None)
        return run_local(self.front.world, self.row, local)

    def _run_prepared(self, prepared: Prepared | None) -> bytes | Problem:
        result = self._run_local(prepared.local)
        if isinstance(result, Problem):
            return result
        return result + pg.command_complete(prepared.local.tag)
