"""Connection pool for one member; connections are dialed in the background."""

from collections.abc import Callable
from datetime import timedelta

import gevent
from bramleyrill_base import Clock, log_event
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.connections import Action, Assign, ConnectionAllocator, Dial, Use
from bramleyrill_core.statements import AnswerCode, ConnectionState
from bramleyrill_platform import lines
from gevent.event import AsyncResult

from bramleyrill_entry._upstream import RefusedByMemberError, UpstreamConnection, UpstreamError

DIAL_TIMEOUT = timedelta(seconds=1)
# Timeout of statements that do no work, such as BEGIN; a reachable member answers them at once.
CONTROL_TIMEOUT = timedelta(milliseconds=400)
# Must be shorter than LEASE_TIMEOUT, so that there is time to dial another connection.
CHECK_TIMEOUT = timedelta(milliseconds=250)
LEASE_TIMEOUT = timedelta(seconds=1)
# A connection that was idle for this long may be dead without notice; it is checked before use.
CHECK_AFTER_IDLE = timedelta(milliseconds=500)
# Without teams, idle connections beyond WARM_CONNECTIONS are closed after this long without use.
MAX_IDLE_TIME = timedelta(seconds=20)
WARM_CONNECTIONS = 2
# Shortest time between two log lines about connections that were replaced.
REPLACED_LOG_INTERVAL = timedelta(seconds=1)

# How often the decision is repeated while a lease waits.
PLAN_INTERVAL = timedelta(milliseconds=20)

# Returns the cost of preparing a connection in this state for the next statement.
StateCost = Callable[[ConnectionState], int]


def _no_cost(_state: ConnectionState) -> int:
    return 0


class NoFreeConnectionError(UpstreamError):
    """All connections that the member accepts are in use; the member itself can be reached."""


class UpstreamPool:
    """Connections to one member, at most `limit`; each belongs to one team, or to none.

    `refused` is True if the last dial found the machine up but nothing listening.
    `failing_since` is the time of the first failed dial since the last successful one, or None.
    A dial that the member refuses for too many connections changes neither. `allocator` decides
    which connection a statement gets, and which one is closed or dialed for it.
    """

    def __init__(self, member: MemberEntry, limit: int, clock: Clock) -> None:
        self.member = member
        self.refused = False
        self.failing_since: timedelta | None = None
        self.allocator = ConnectionAllocator(limit, member.slots, clock)
        self._clock = clock
        self._open: set[UpstreamConnection] = set()
        self._closed = False
        self._replaced_logged = 0
        self._next_replaced_log_at = timedelta()

    @property
    def limit(self) -> int:
        """Return the number of connections that the pool may have."""
        return self.allocator.limit.configured

    @limit.setter
    def limit(self, limit: int) -> None:
        self.allocator.limit.configured = limit

    @property
    def dialed(self) -> int:
        """Return the number of successful dials so far."""
        return self.allocator.counts.dialed

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being dialed."""
        return len(self._open) + self.allocator.dial_count

    def lease(
        self,
        timeout: timedelta,
        cost_of: StateCost = _no_cost,
        team: str | None = "",
        patience: timedelta = timedelta(),
    ) -> UpstreamConnection:
        """Return a working connection of a team; raise UpstreamError if there is none in time.

        `team` is None for work of the proxy itself, which may use any connection. Prefers the idle
        connection with the lowest `cost_of` its state. For up to `patience` the statement waits for
        a connection of its team that is in use, before another team's is closed for it.
        """
        if self._closed:
            raise UpstreamError("the pool is closed")
        deadline = self._clock.monotonic() + timeout
        while True:
            connection = self.allocator.take(team, lambda idle: cost_of(idle.state))
            if connection is None:
                connection = self._wait_for_connection(deadline, team, patience)
            try:
                if self._is_alive(connection):
                    return connection
            except BaseException:
                self.discard(connection)
                raise

    def release(self, connection: UpstreamConnection) -> None:
        """Return a leased connection; an open transaction on it is rolled back first."""
        if connection.closed or self._closed or connection not in self._open:
            self.discard(connection)
        elif connection.in_transaction:
            gevent.spawn(self._roll_back, connection)
        else:
            self._carry_out(self.allocator.release(connection))

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a leased connection and remove it from the pool."""
        connection.close()
        self._open.discard(connection)
        self._carry_out(self.allocator.remove(connection))

    def set_use(self, connection: UpstreamConnection, use: Use) -> None:
        """Record that a leased connection is used for a transaction, or that this one rests."""
        self.allocator.set_use(connection, use)

    def reclaimable(self, min_rest: timedelta) -> list[UpstreamConnection]:
        """Return connections of resting transactions that waiting statements need."""
        return self.allocator.reclaimable(min_rest)

    def maintain_connections(self, warm: int = WARM_CONNECTIONS) -> None:
        """Dial until `warm` connections are open, and close surplus ones that are idle for long.

        With teams, connections are dialed on demand and kept for longer.
        """
        if self.allocator.has_teams:
            self._carry_out(self.allocator.close_expired())
        else:
            self._carry_out(self.allocator.close_expired(MAX_IDLE_TIME, keep=warm))
            self._carry_out(self.allocator.warm_up(warm))

    def close_idle(self, unused_for: timedelta) -> None:
        """Close the idle connections that were not used for this long."""
        self._carry_out(self.allocator.close_expired(unused_for))

    def drain(self) -> None:
        """Close idle connections now, and each other one when it is released."""
        self._carry_out(self.allocator.drain())

    def close(self) -> None:
        """Close all connections and fail the leases that wait for one."""
        self._closed = True
        for waiter in self.allocator.withdraw_all():
            waiter.set_exception(UpstreamError("the pool is closed"))
        for connection in list(self._open):
            self.discard(connection)

    def _wait_for_connection(
        self, deadline: timedelta, team: str | None, patience: timedelta
    ) -> UpstreamConnection:
        waiter: AsyncResult = AsyncResult()
        self._carry_out(self.allocator.wait(waiter, team, patience))
        try:
            self._wait_for_plan(waiter, deadline)
            if waiter.ready():
                return waiter.get()
            if self.allocator.is_blocked(waiter) and self.failing_since is None:
                raise NoFreeConnectionError("all connections are in use")
            raise UpstreamError("no free connection in time")
        except BaseException:
            self._return_unused(waiter)
            raise
        finally:
            self.allocator.withdraw(waiter)

    def _wait_for_plan(self, waiter: AsyncResult, deadline: timedelta) -> None:
        """Wait for a connection; what may be dialed changes with time, so plan again meanwhile."""
        while not waiter.ready():
            now = self._clock.monotonic()
            if now >= deadline:
                return
            waiter.wait(timeout=self._seconds_until(min(now + PLAN_INTERVAL, deadline)))
            if not waiter.ready():
                self._carry_out(self.allocator.plan())

    def _seconds_until(self, time: timedelta) -> float:
        return max((time - self._clock.monotonic()).total_seconds(), 0.0)

    def _return_unused(self, waiter: AsyncResult) -> None:
        """Release a connection that was assigned to a lease that was interrupted."""
        if waiter.successful():
            self.release(waiter.value)

    def _carry_out(self, actions: list[Action]) -> None:
        """Carry out the decision's actions, in order."""
        for action in actions:
            if type(action) is Assign:
                action.waiter.set(action.connection)
            elif type(action) is Dial:
                gevent.spawn(self._dial, action.team, action.delay)
            else:
                self._open.discard(action.connection)
                action.connection.close()
        self._log_replaced()

    def _log_replaced(self) -> None:
        """Log how many connections were closed for other teams, at most once in an interval."""
        count = self.allocator.counts.replaced - self._replaced_logged
        if not count:
            return
        now = self._clock.monotonic()
        if now < self._next_replaced_log_at:
            return
        self._replaced_logged += count
        self._next_replaced_log_at = now + REPLACED_LOG_INTERVAL
        log_event(
            "connections_replaced",
            member=self.member.id,
            count=count,
            open=len(self._open),
            waiting=self.allocator.waiting,
        )

    def _is_alive(self, connection: UpstreamConnection) -> bool:
        if connection.closed:
            self.discard(connection)
            return False
        if self._clock.monotonic() - connection.last_answer_at < CHECK_AFTER_IDLE:
            return True
        texts = [lines.BEGIN_READ_ONLY_TEXT, lines.ROLLBACK_TEXT]
        try:
            connection.execute_pipelined(texts, CHECK_TIMEOUT)
        except UpstreamError as error:
            log_event("upstream_check_failed", member=self.member.id, reason=error)
            self.discard(connection)
            return False
        return True

    def _roll_back(self, connection: UpstreamConnection) -> None:
        try:
            answer = connection.execute(
                lines.INTERNAL_STATEMENT_ID, lines.ROLLBACK_TEXT, CONTROL_TIMEOUT
            )
        except UpstreamError as error:
            log_event("upstream_rollback_failed", member=self.member.id, reason=error)
            self.discard(connection)
            return
        connection.in_transaction = False
        if answer.succeeded:
            self.release(connection)
        else:
            self.discard(connection)

    def _dial(self, team: str, delay: timedelta) -> None:
        gevent.sleep(delay.total_seconds())
        started_at = self._clock.monotonic()
        try:
            connection = UpstreamConnection.dial(self.member, DIAL_TIMEOUT, self._clock, team)
        except UpstreamError as error:
            self._handle_dial_failure(team, error)
            return
        self.refused, self.failing_since = False, None
        self._open.add(connection)
        took = self._clock.monotonic() - started_at
        self._carry_out(self.allocator.record_dialed(team, connection, took))
        if self._closed:
            self.discard(connection)

    def _handle_dial_failure(self, team: str, error: UpstreamError) -> None:
        now = self._clock.monotonic()
        log_event("upstream_dial_failed", member=self.member.id, reason=error, open=len(self._open))
        limit_reached = (
            isinstance(error, RefusedByMemberError)
            and error.answer.code is AnswerCode.TOO_MANY_CONNECTIONS
        )
        if not limit_reached:
            self.refused = error.refused
            self.failing_since = self.failing_since or now
        self.allocator.record_failure(team, limit_reached)
        if self._closed or (not self._open and not self.allocator.dial_count):
            for waiter in self.allocator.withdraw_all():
                waiter.set_exception(error)
        else:
            self._carry_out(self.allocator.plan())
