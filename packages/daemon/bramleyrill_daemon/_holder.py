"""Holder side of a transaction: admission, a pooled connection, the statements, the outcome."""

from collections.abc import Callable
from datetime import timedelta

import gevent
from bramleyrill_base import ErrorKind, Problem, log_event
from bramleyrill_core import NO_MARK, MemberRole, MemberStatus, StatementClass
from bramleyrill_core.admission import Request as AdmissionRequest
from bramleyrill_core.routing import Route, check_read, confirm_read
from bramleyrill_wire import postgres
from returns.result import Failure

from bramleyrill_daemon._answers import STATUS_SQL, AnswerScanner
from bramleyrill_daemon._member_queue import NO_TIME, MemberQueue
from bramleyrill_daemon._permits import PermitTracker, Refusal
from bramleyrill_daemon._pool import ConnectionPools
from bramleyrill_daemon._transaction import Chunk, Outcome, Request, TransactionClosed
from bramleyrill_daemon._upstream import UpstreamConnection
from bramleyrill_daemon._waiters import CANCELED

STATUS_QUERY = postgres.query(STATUS_SQL)
CANCEL_TIMEOUT = timedelta(seconds=2)
# A wait for a connection is split into steps of this length; after each, the holder checks whether
# another member has become primary.
CONNECTION_WAIT_STEP = timedelta(milliseconds=100)


class HolderTransaction:
    """One transaction at a pooled connection of this VM: a single request or a transaction block.

    Call `send` and `receive` from one greenlet; it also does the I/O of statement and answer.
    `cancel` and `close` may be called from any greenlet.
    """

    __slots__ = (
        "_closed",
        "_connection",
        "_queue",
        "_in_block",
        "_may_commit",
        "_permits",
        "_pools",
        "_queued",
        "_received_at",
        "_refusal",
        "_request",
        "_route",
        "_running",
        "_scanner",
        "_admission_request",
        "_needs_reset",
        "_waited",
    )

    def __init__(
        self,
        queue: MemberQueue,
        pools: ConnectionPools,
        permits: PermitTracker,
        route: Route,
        request: Request,
    ) -> None:
        self._queue = queue
        self._pools = pools
        self._permits = permits
        self._route = route
        self._request = request
        self._received_at = permits.now()
        self._admission_request: AdmissionRequest | None = None
        self._connection: UpstreamConnection | None = None
        self._scanner: AnswerScanner | None = None
        self._refusal: Refusal | None = None
        self._queued = False
        self._running = False
        self._in_block = False
        self._may_commit = False
        self._needs_reset = request.alters_session
        self._closed = False
        self._waited = False

    def send(self, frames: bytes, may_commit: bool = True, more: bool = False) -> None:
        """Send frames of a request; for a new one, first wait for a slot and a connection."""
        if self._closed or self._refusal is not None:
            return
        if self._scanner is None and not self._start_request(may_commit):
            return
        if may_commit and not more and not self._may_commit:
            # The earlier parts of the batch did not show that its last part may commit.
            self._may_commit = True
            self._scanner.start_holding()
        wants_status = self._scanner.wants_status and not more
        try:
            self._connection.send(frames + STATUS_QUERY if wants_status else frames)
        except OSError as error:
            self._handle_lost_connection("send_failed", error)

    def receive(self) -> Chunk | Outcome:
        """Return the next part of the answer."""
        while self._refusal is None:
            if self._closed or self._connection is None:
                raise TransactionClosed
            try:
                data = self._connection.receive()
                if not data:
                    raise ConnectionError("closed by upstream")
                forwardable = self._scanner.feed(data)
            except OSError as error:
                self._handle_lost_connection("receive_failed", error)
                continue
            if self._scanner.done:
                return self._end_request()
            if forwardable:
                return Chunk(forwardable)
        if self._closed:
            raise TransactionClosed
        return self._refusal.outcome()

    def cancel(self) -> None:
        """Leave the admission queue, or ask the upstream to cancel the running statement."""
        if self._queued:
            self._queue.withdraw(self._admission_request)
        elif self._running and self._connection is not None:
            gevent.spawn(self._connection.cancel, CANCEL_TIMEOUT)

    def close(self) -> None:
        """Release slot and connection; an open transaction is rolled back."""
        if self._closed:
            return
        self._closed = True
        if self._queued:
            self._queue.withdraw(self._admission_request)
        self._release_slot()
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._running:
            # The unread rest of the answer makes the connection unusable for the next request.
            self._pools.discard(connection, "closed_by_caller")
        else:
            self._pools.release(connection, rollback=self._in_block, reset=True)

    def _start_request(self, may_commit: bool) -> bool:
        """Acquire slot and connection for a request; return whether its frames may be sent.

        If not, the transaction was closed meanwhile, or `_refusal` is set.
        """
        request = self._request
        if self._in_block:
            self._received_at = self._permits.now()
        deadline = self._received_at + request.deadline_left
        if not self._in_block:
            self._refusal = self._check_allowed(deadline)
        if self._refusal is None:
            self._refusal = self._acquire_slot(deadline)
        if self._refusal is None and self._connection is None:
            self._refusal = self._acquire_connection(deadline)
        elif self._connection is not None:
            self._pools.record_transaction_idle(self._connection, False)
        if self._closed:
            self._release_slot()
            return False
        if self._refusal is not None:
            self._release_all()
            return False
        self._may_commit = may_commit
        at_primary = self._route.at_primary
        needs_confirmation = not at_primary and self._route.required_mark > NO_MARK
        reads_at_primary = at_primary and self._request.kind is StatementClass.READ
        wants_status = may_commit or needs_confirmation or reads_at_primary
        self._scanner = AnswerScanner(
            hold=may_commit or needs_confirmation, wants_status=wants_status
        )
        self._running = True
        return True

    def _check_allowed(self, deadline: timedelta) -> Refusal | None:
        """Return a refusal unless the member may answer.

        A primary needs a valid permit, a replica must be recent enough for the read.
        """
        route = self._route
        if route.at_primary:
            return self._permits.wait_for_permit(route.member, deadline)
        checked = check_read(self._permits.world, route.member, route.required_mark, route.age)
        return Refusal(checked.failure()) if isinstance(checked, Failure) else None

    def _acquire_slot(self, deadline: timedelta) -> Refusal | None:
        self._queued = True
        try:
            if self._admission_request is None:
                request = self._request
                self._admission_request = self._queue.new_request(request.rank, deadline)
                problem, self._waited = self._queue.admit(self._admission_request)
            else:
                problem, _ = self._queue.readmit(self._admission_request, deadline)
        finally:
            self._queued = False
        if problem is not None:
            if problem is CANCELED and self._in_block:
                self._needs_reset = True
            return Refusal(problem)
        return None

    def _acquire_connection(self, deadline: timedelta) -> Refusal | None:
        member = self._route.member
        acquired = self._pools.acquire_idle(member)
        step_end = timedelta()
        while type(acquired) is Problem:
            self._waited = True
            if self._closed or self._permits.now() >= deadline:
                return Refusal(acquired)
            refusal = self._check_allowed(deadline)
            if refusal is not None:
                return refusal
            if self._permits.now() < step_end:
                # The pool refused before the end of the step; another try would be refused at once
                # as well, and the loop would not yield to other greenlets.
                return Refusal(acquired)
            step_end = min(deadline, self._permits.now() + CONNECTION_WAIT_STEP)
            acquired = self._pools.acquire(member, step_end)
        self._connection = acquired
        # Without a wait nothing can have changed since the check before the admission.
        return self._check_allowed(deadline) if self._waited else None

    def _end_request(self) -> Outcome:
        """Release what the request held and return its outcome."""
        scanner = self._scanner
        self._scanner = None
        self._running = False
        in_block = scanner.tx_status != b"I"
        was_in_block = self._in_block
        self._in_block = in_block
        outcome = self._outcome(scanner, was_in_block)
        if in_block and outcome.problem is None:
            self._queue.pause(self._admission_request)
            self._pools.record_transaction_idle(self._connection, True)
            return outcome
        self._release_slot()
        self._closed = True
        connection, self._connection = self._connection, None
        if scanner.has_extra_data:
            self._pools.discard(connection, "unexpected_data")
        else:
            reset = self._needs_reset or was_in_block or in_block
            self._pools.release(connection, rollback=in_block, reset=reset)
        return outcome

    def _outcome(self, scanner: AnswerScanner, was_in_block: bool) -> Outcome:
        status = None
        if scanner.status_row is not None:
            status = self._queue.parse_status(scanner.status_row)
        if not self._route.at_primary:
            return self._replica_outcome(scanner, status)
        if status is None:
            return Outcome(tail=scanner.tail, tx_status=scanner.tx_status)
        if status.role is not MemberRole.PRIMARY:
            fenced_outcome = self._fenced_outcome(scanner, status, was_in_block)
            if fenced_outcome is not None:
                return fenced_outcome
        if self._may_commit and not scanner.failed:
            problem = self._permits.wait_for_second_member(
                self._route.member, self._request, status
            )
            if problem is not None:
                return Outcome(problem=problem)
        # For a write, the entry side checks that the permit is still valid just before it sends the
        # answer.
        route = self._route
        permit = self._permits.permit_for_answer(route.member, self._queue.database, status.term)
        age = length = NO_TIME
        if permit is not None:
            age = self._received_at - permit.probe_sent
            length = permit.length
        return Outcome(
            tail=scanner.tail,
            tx_status=scanner.tx_status,
            mark=status.mark,
            history=status.history,
            at_primary=status.role is MemberRole.PRIMARY,
            permit_age=age,
            permit_length=length,
        )

    def _fenced_outcome(
        self, scanner: AnswerScanner, status: MemberStatus, was_in_block: bool
    ) -> Outcome | None:
        """Return the outcome for a member that is not the primary, or None to forward its answer.

        An error outside a transaction block proves that nothing was committed, so another member
        may run the request.
        """
        self._permits.record_fenced(self._route.member, status)
        answer_is_error = scanner.failed and not scanner.forwarded and not was_in_block
        if answer_is_error and scanner.tx_status == b"I":
            refusal = self._permits.not_primary_refusal(self._route.member)
            return refusal.outcome()
        if scanner.failed:
            return None
        if self._may_commit:
            problem = Problem(ErrorKind.OUTCOME_UNKNOWN, f"replaced in term {status.term}")
            return Outcome(problem=problem)
        return None

    def _replica_outcome(self, scanner: AnswerScanner, status: MemberStatus | None) -> Outcome:
        if status is not None:
            confirmed = confirm_read(self._route.required_mark, status)
            if isinstance(confirmed, Failure):
                return Outcome(problem=confirmed.failure())
        return Outcome(tail=scanner.tail, tx_status=scanner.tx_status)

    def _handle_lost_connection(self, reason: str, error: OSError) -> None:
        """Discard a connection that failed while a request ran on it, and set the refusal."""
        if self._closed or self._connection is None:
            return
        connection, self._connection = self._connection, None
        self._pools.discard(connection, reason)
        log_event("upstream_lost", member=self._route.member, reason=reason, error=error)
        if self._in_block and not self._may_commit:
            # No COMMIT was sent, so the upstream rolls back when the connection ends.
            problem = Problem(ErrorKind.NOT_RUN_ROLLED_BACK, "the upstream connection was lost")
        else:
            problem = Problem(ErrorKind.OUTCOME_UNKNOWN, "the upstream connection was lost")
        self._refusal = Refusal(problem)
        self._release_all()

    def _release_all(self) -> None:
        """Release slot and connection after a refusal."""
        self._running = False
        self._release_slot()
        connection, self._connection = self._connection, None
        if connection is not None:
            reset = self._in_block
            self._pools.release(connection, rollback=reset, reset=reset)

    def _release_slot(self) -> None:
        if self._admission_request is not None:
            self._queue.finish(self._admission_request)


class HolderExecutor:
    """Open transactions at members that this VM holds."""

    def __init__(
        self,
        queue_of: Callable[[str], MemberQueue | None],
        pools: ConnectionPools,
        permits: PermitTracker,
    ) -> None:
        self._queue_of = queue_of
        self._pools = pools
        self._permits = permits

    def open(self, route: Route, request: Request) -> "HolderTransaction | RefusedTransaction":
        """Return a transaction at a member, or one that refuses if this VM does not hold it."""
        queue = self._queue_of(route.member)
        if queue is None:
            return RefusedTransaction(self._permits.not_holder_refusal(route.member))
        return HolderTransaction(queue, self._pools, self._permits, route, request)


class RefusedTransaction:
    """Transaction whose only request was refused and did not run."""

    def __init__(self, refusal: Refusal) -> None:
        self._refusal = refusal

    def send(self, frames: bytes, may_commit: bool = True, more: bool = False) -> None:
        """Ignore the frames."""

    def receive(self) -> Outcome:
        """Return the refusal."""
        return self._refusal.outcome()

    def cancel(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
