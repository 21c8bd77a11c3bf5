"""Holder side of an exchange: admission, a pooled connection, the statement, its outcome."""

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
from bramleyrill_daemon._exchange import Chunk, ExchangeClosed, Outcome, Request
from bramleyrill_daemon._member import NO_TIME, MemberDesk
from bramleyrill_daemon._permits import PermitDesk, Refusal
from bramleyrill_daemon._pool import PoolShell
from bramleyrill_daemon._upstream import UpstreamConnection
from bramleyrill_daemon._waiters import CANCELED

STATUS_QUERY = postgres.query(STATUS_SQL)
CANCEL_TIMEOUT = timedelta(seconds=2)
# A wait for a connection is interrupted to see whether another member has become primary.
LEASE_SLICE = timedelta(milliseconds=100)


class HolderExchange:
    """One request or transaction at a pooled connection of this VM.

    Statement and answer pass through the greenlet that calls `send` and `receive`; `cancel` and
    `close` may come from another one.
    """

    __slots__ = (
        "_closed",
        "_connection",
        "_desk",
        "_in_transaction",
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
        "_ticket",
        "_unclean",
        "_waited",
    )

    def __init__(
        self,
        desk: MemberDesk,
        pools: PoolShell,
        permits: PermitDesk,
        route: Route,
        request: Request,
    ) -> None:
        self._desk = desk
        self._pools = pools
        self._permits = permits
        self._route = route
        self._request = request
        self._received_at = permits.now()
        self._ticket: AdmissionRequest | None = None
        self._connection: UpstreamConnection | None = None
        self._scanner: AnswerScanner | None = None
        self._refusal: Refusal | None = None
        self._queued = False
        self._running = False
        self._in_transaction = False
        self._may_commit = False
        self._unclean = request.alters_session
        self._closed = False
        self._waited = False

    def send(self, frames: bytes, may_commit: bool = True, more: bool = False) -> None:
        """Send frames of a request, after a wait for a slot and a connection if it is new."""
        if self._closed or self._refusal is not None:
            return
        if self._scanner is None and not self._begin(may_commit):
            return
        if may_commit and not more and not self._may_commit:
            # The first parts of a batch did not show that its last one may commit.
            self._may_commit = True
            self._scanner.hold_from_here()
        wants_status = self._scanner.wants_status and not more
        try:
            self._connection.send(frames + STATUS_QUERY if wants_status else frames)
        except OSError as error:
            self._lose("send_failed", error)

    def receive(self) -> Chunk | Outcome:
        """Return the next part of the answer."""
        while self._refusal is None:
            if self._closed or self._connection is None:
                raise ExchangeClosed
            try:
                data = self._connection.receive()
                if not data:
                    raise ConnectionError("closed by upstream")
                free = self._scanner.feed(data)
            except OSError as error:
                self._lose("receive_failed", error)
                continue
            if self._scanner.done:
                return self._end_request()
            if free:
                return Chunk(free)
        if self._closed:
            raise ExchangeClosed
        return self._refusal.outcome()

    def cancel(self) -> None:
        """Ask the upstream to cancel what runs, or leave the queue."""
        if self._queued:
            self._desk.withdraw(self._ticket)
        elif self._running and self._connection is not None:
            gevent.spawn(self._connection.cancel, CANCEL_TIMEOUT)

    def close(self) -> None:
        """Give everything up; an open transaction is rolled back."""
        if self._closed:
            return
        self._closed = True
        if self._queued:
            self._desk.withdraw(self._ticket)
        self._release_slot()
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._running:
            # The rest of the answer would have to be read before the connection could be used.
            self._pools.discard(connection, "closed_by_caller")
        else:
            self._pools.give_back(connection, rollback=self._in_transaction, reset=True)

    def _begin(self, may_commit: bool) -> bool:
        """Get a slot and a connection for a new request; False with `_refusal` set if refused."""
        request = self._request
        if self._in_transaction:
            self._received_at = self._permits.now()
        deadline = self._received_at + request.deadline_left
        if not self._in_transaction:
            self._refusal = self._check(deadline)
        if self._refusal is None:
            self._refusal = self._get_slot(deadline)
        if self._refusal is None and self._connection is None:
            self._refusal = self._get_connection(deadline)
        elif self._connection is not None:
            self._pools.note_idle(self._connection, False)
        if self._closed:
            self._release_slot()
            return False
        if self._refusal is not None:
            self._give_up()
            return False
        self._may_commit = may_commit
        at_primary = self._route.at_primary
        confirm = not at_primary and self._route.required_mark > NO_MARK
        reads = at_primary and self._request.kind is StatementClass.READ
        wants_status = may_commit or confirm or reads
        self._scanner = AnswerScanner(hold=may_commit or confirm, wants_status=wants_status)
        self._running = True
        return True

    def _check(self, deadline: timedelta) -> Refusal | None:
        """Refuse unless the member may answer: under a permit, or fresh enough."""
        route = self._route
        if route.at_primary:
            return self._permits.wait_for(route.member, deadline)
        checked = check_read(self._permits.world, route.member, route.required_mark, route.age)
        return Refusal(checked.failure()) if isinstance(checked, Failure) else None

    def _get_slot(self, deadline: timedelta) -> Refusal | None:
        self._queued = True
        try:
            if self._ticket is None:
                request = self._request
                self._ticket = self._desk.ticket(request.rank, deadline)
                problem, self._waited = self._desk.admit(self._ticket)
            else:
                problem, _ = self._desk.readmit(self._ticket, deadline)
        finally:
            self._queued = False
        if problem is not None:
            if problem is CANCELED and self._in_transaction:
                self._unclean = True
            return Refusal(problem)
        return None

    def _get_connection(self, deadline: timedelta) -> Refusal | None:
        member = self._route.member
        found = self._pools.lease_idle(member)
        until = timedelta()
        while type(found) is Problem:
            self._waited = True
            if self._closed or self._permits.now() >= deadline:
                return Refusal(found)
            refusal = self._check(deadline)
            if refusal is not None:
                return refusal
            if self._permits.now() < until:
                # The pool gave up before its time, so another try would end at once as well.
                return Refusal(found)
            until = min(deadline, self._permits.now() + LEASE_SLICE)
            found = self._pools.lease(member, until)
        self._connection = found
        # Without a wait nothing can have changed since the request was let in.
        return self._check(deadline) if self._waited else None

    def _end_request(self) -> Outcome:
        """Give back what the request held and tell the entry side how it ended."""
        scanner = self._scanner
        self._scanner = None
        self._running = False
        in_transaction = scanner.tx_status != b"I"
        was_in_transaction = self._in_transaction
        self._in_transaction = in_transaction
        outcome = self._outcome(scanner, was_in_transaction)
        if in_transaction and outcome.problem is None:
            self._desk.pause(self._ticket)
            self._pools.note_idle(self._connection, True)
            return outcome
        self._release_slot()
        self._closed = True
        connection, self._connection = self._connection, None
        if scanner.surplus:
            self._pools.discard(connection, "unexpected_data")
        else:
            reset = self._unclean or was_in_transaction or in_transaction
            self._pools.give_back(connection, rollback=in_transaction, reset=reset)
        return outcome

    def _outcome(self, scanner: AnswerScanner, was_in_transaction: bool) -> Outcome:
        status = None
        if scanner.status_row is not None:
            status = self._desk.status_of(scanner.status_row)
        if not self._route.at_primary:
            return self._replica_outcome(scanner, status)
        if status is None:
            return Outcome(tail=scanner.tail, tx_status=scanner.tx_status)
        if status.role is not MemberRole.PRIMARY:
            refused = self._fenced_outcome(scanner, status, was_in_transaction)
            if refused is not None:
                return refused
        if self._may_commit and not scanner.failed:
            problem = self._permits.wait_for_second_member(
                self._route.member, self._request, status
            )
            if problem is not None:
                return Outcome(problem=problem)
        # Whether it is still valid is for the entry side to see, just before the answer leaves.
        route = self._route
        permit = self._permits.for_answer(route.member, self._desk.database, status.term)
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
        self, scanner: AnswerScanner, status: MemberStatus, was_in_transaction: bool
    ) -> Outcome | None:
        """Return the refusal of a member that is not the primary, or None to pass its answer on.

        An error outside of a transaction proves that nothing was committed, so another member
        may run the request.
        """
        self._permits.note_fenced(self._route.member, status)
        whole_error = scanner.failed and not scanner.forwarded and not was_in_transaction
        if whole_error and scanner.tx_status == b"I":
            refusal = self._permits.refusal(self._route.member)
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

    def _lose(self, reason: str, error: OSError) -> None:
        """Give up a connection that failed while a request ran on it."""
        if self._closed or self._connection is None:
            return
        connection, self._connection = self._connection, None
        self._pools.discard(connection, reason)
        log_event("upstream_lost", member=self._route.member, reason=reason, error=error)
        if self._in_transaction and not self._may_commit:
            # No COMMIT was sent, and the end of the connection rolled the transaction back.
            problem = Problem(ErrorKind.NOT_RUN_ROLLED_BACK, "the upstream connection was lost")
        else:
            problem = Problem(ErrorKind.OUTCOME_UNKNOWN, "the upstream connection was lost")
        self._refusal = Refusal(problem)
        self._give_up()

    def _give_up(self) -> None:
        """Release everything after a refusal."""
        self._running = False
        self._release_slot()
        connection, self._connection = self._connection, None
        if connection is not None:
            reset = self._in_transaction
            self._pools.give_back(connection, rollback=reset, reset=reset)

    def _release_slot(self) -> None:
        if self._ticket is not None:
            self._desk.leave(self._ticket)


class HolderExecutor:
    """Open exchanges with members that this VM holds."""

    def __init__(
        self,
        desk_of: Callable[[str], MemberDesk | None],
        pools: PoolShell,
        permits: PermitDesk,
    ) -> None:
        self._desk_of = desk_of
        self._pools = pools
        self._permits = permits

    def open(self, route: Route, request: Request) -> "HolderExchange | RefusedExchange":
        """Return an exchange with a member, or one that refuses if this VM does not hold it."""
        desk = self._desk_of(route.member)
        if desk is None:
            return RefusedExchange(self._permits.not_holder(route.member))
        return HolderExchange(desk, self._pools, self._permits, route, request)


class RefusedExchange:
    """Exchange of a request that did not run."""

    def __init__(self, refusal: Refusal) -> None:
        self._refusal = refusal

    def send(self, frames: bytes, may_commit: bool = True, more: bool = False) -> None:
        """Drop the frames."""

    def receive(self) -> Outcome:
        """Return the refusal."""
        return self._refusal.outcome()

    def cancel(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
