"""Pooled connections: opens, checks and closes the connections that the core asks for."""

import itertools
from collections import deque
from collections.abc import Callable
from datetime import timedelta

import gevent
from absl import logging
from bramleyrill_base import ErrorKind, Problem, log_event
from bramleyrill_core import MemberId
from bramleyrill_core.pools import (
    CloseConnection,
    ConnectionId,
    ConnectionLost,
    ControlLost,
    Dial,
    DialFailed,
    DialSucceeded,
    LockRefused,
    LockTaken,
    ReleaseLock,
    TakeLock,
    lease,
    release_connection,
    set_transaction_idle,
)
from gevent.event import AsyncResult
from returns.result import Success

from bramleyrill_daemon._locks import (
    LockHeldError,
    acquire_holder_lock,
    join_pool,
    reset_connection,
    still_holds_lock,
)
from bramleyrill_daemon._shell import Shell, effect_handler
from bramleyrill_daemon._upstream import UpstreamConnection, UpstreamError, UpstreamLogin

DIAL_TIMEOUT = timedelta(seconds=2)
# Interval of the check that this VM still has the holder lock. If the control connection does not
# answer, the pool is closed, so that its statements in flight end with an outcome.
CONTROL_CHECK_INTERVAL = timedelta(milliseconds=500)
_RETRY_AFTER = timedelta(milliseconds=100)


class ConnectionPools:
    """Pooled connections by the core's ids, and the control connections that hold the locks."""

    def __init__(self, shell: Shell, login_of: Callable[[MemberId], UpstreamLogin]) -> None:
        self.connections: dict[ConnectionId, UpstreamConnection] = {}
        self.controls: dict[MemberId, UpstreamConnection] = {}
        self._shell = shell
        self._world = shell.world
        self._login_of = login_of
        self._ids = itertools.count(1)
        self._waiters: dict[MemberId, deque[AsyncResult]] = {}
        self._tick_number = 0

    def acquire_idle(self, member: MemberId) -> UpstreamConnection | Problem:
        """Return an idle connection to a member, or the problem why there is none."""
        while True:
            leased = lease(self._world, member)
            if type(leased) is not Success:
                return leased.failure()
            connection = self.connections[leased.unwrap()]
            # A connection released in this tick is not checked, which saves a system call.
            if connection.idle_tick == self._tick_number or not connection.has_unread():
                return connection
            self.discard(connection, "closed_while_idle")

    def acquire(self, member: MemberId, deadline: timedelta) -> UpstreamConnection | Problem:
        """Wait for a connection to a member until the deadline; return it, or the problem."""
        while True:
            acquired = self.acquire_idle(member)
            if type(acquired) is not Problem or acquired.kind is ErrorKind.NOT_RUN_DRAINING:
                return acquired
            remaining_s = (deadline - self._world.clock.monotonic()).total_seconds()
            if remaining_s <= 0:
                return acquired
            self._wait(member, remaining_s)

    def release(self, connection: UpstreamConnection, rollback: bool, reset: bool) -> None:
        """Return a connection to its pool; one that needs a rollback or reset gets it first."""
        if connection.id not in self.connections:
            return
        if rollback or reset:
            gevent.spawn(self._reset, connection, rollback)
        else:
            self._return_to_pool(connection, True)

    def discard(self, connection: UpstreamConnection, reason: str) -> None:
        """Close a leased connection."""
        if self.connections.pop(connection.id, None) is None:
            return
        log_event("upstream_discarded", member=connection.member, reason=reason)
        connection.close()
        self._shell.handle(ConnectionLost(connection.id))

    def record_transaction_idle(self, connection: UpstreamConnection, idle: bool) -> None:
        """Record whether a leased connection is idle in a transaction."""
        set_transaction_idle(self._world, connection.id, idle)

    def after_tick(self) -> None:
        """Start a new tick and wake all waiters, as a pool may have been opened or closed."""
        self._tick_number += 1
        for member in list(self._waiters):
            self._wake(member, all_waiters=True)

    def check_controls(self) -> None:
        """Check periodically that the holder locks are still held; never returns."""
        while True:
            gevent.sleep(CONTROL_CHECK_INTERVAL.total_seconds())
            for member, control in list(self.controls.items()):
                gevent.spawn(self._check_control, member, control)

    def close(self) -> None:
        """Close all connections at once; the members then release the locks."""
        for connection in [*self.connections.values(), *self.controls.values()]:
            connection.close()
        self.connections.clear()
        self.controls.clear()

    def dial(self, member: MemberId) -> None:
        """Open a pooled connection and report the result to the core; blocks."""
        control = self.controls.get(member)
        connection = None
        lock_lost = True
        try:
            if control is not None:
                connection = UpstreamConnection.dial(self._login_of(member), DIAL_TIMEOUT)
                lock_lost = not join_pool(connection, control.pid)
        except (OSError, UpstreamError, KeyError) as error:
            log_event("upstream_dial_failed", member=member, error=error)
            lock_lost = False
            if connection is not None:
                connection.close()
            connection = None
        if connection is None or lock_lost or control is not self.controls.get(member):
            if connection is not None:
                connection.close()
            self._shell.handle(DialFailed(member, lock_lost))
            return
        connection.id = ConnectionId(next(self._ids))
        connection.member = member
        self.connections[connection.id] = connection
        self._shell.handle(DialSucceeded(member, connection.id))
        self._wake(member)

    def close_connection(self, connection_id: ConnectionId) -> None:
        """Close a pooled connection that the core no longer wants."""
        connection = self.connections.pop(connection_id, None)
        if connection is not None:
            connection.close()
        self._shell.handle(ConnectionLost(connection_id))

    def acquire_lock(self, member: MemberId, evict: bool) -> None:
        """Acquire the member's holder lock on a new control connection; report the result."""
        earlier = self.controls.pop(member, None)
        if earlier is not None:
            earlier.close()
        try:
            control = acquire_holder_lock(self._login_of(member), member, evict)
        except LockHeldError as error:
            log_event("holder_lock_refused", member=member, reason=error)
        except (OSError, UpstreamError, KeyError) as error:
            log_event("holder_lock_failed", level=logging.DEBUG, member=member, error=error)
        else:
            self.controls[member] = control
            log_event("holder_lock_taken", member=member, pid=control.pid)
            self._shell.handle(LockTaken(member))
            return
        self._shell.handle(LockRefused(member))

    def release_lock(self, member: MemberId) -> None:
        """Release the holder lock by closing its control connection."""
        control = self.controls.pop(member, None)
        if control is not None:
            control.close()
            log_event("holder_lock_released", member=member)

    def _check_control(self, member: MemberId, control: UpstreamConnection) -> None:
        if control.checking:
            return
        control.checking = True
        try:
            lost = not still_holds_lock(control)
            reason = "taken by another holder"
        except (OSError, UpstreamError) as error:
            lost, reason = True, f"control connection failed: {error}"
        finally:
            control.checking = False
        if not lost or self.controls.get(member) is not control:
            return
        log_event("holder_lock_lost", member=member, reason=reason)
        # Close the pooled connections before the core asks for the lock again: as long as one is
        # open, its shared pool lock keeps out the next holder. The member may not answer any more,
        # so there is no wait for their statements.
        for connection in [c for c in self.connections.values() if c.member == member]:
            self.discard(connection, "holder_lock_lost")
        del self.controls[member]
        control.close()
        self._shell.handle(ControlLost(member))

    def _reset(self, connection: UpstreamConnection, rollback: bool) -> None:
        control = self.controls.get(connection.member)
        try:
            clean = control is not None and reset_connection(connection, rollback, control.pid)
        except (OSError, UpstreamError) as error:
            log_event("upstream_reset_failed", member=connection.member, error=error)
            clean = False
        if connection.id in self.connections:
            self._return_to_pool(connection, clean)

    def _return_to_pool(self, connection: UpstreamConnection, clean: bool) -> None:
        connection.idle_tick = self._tick_number
        effects = release_connection(self._world, connection.id, clean)
        if effects:
            self._shell.run_effects(effects)
        if self._waiters:
            self._wake(connection.member)

    def _wait(self, member: MemberId, seconds: float) -> None:
        waiter: AsyncResult = AsyncResult()
        waiters = self._waiters.setdefault(member, deque())
        waiters.append(waiter)
        try:
            waiter.get(timeout=seconds)
        except gevent.Timeout:
            pass
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
            if not waiters and self._waiters.get(member) is waiters:
                del self._waiters[member]

    def _wake(self, member: MemberId, all_waiters: bool = False) -> None:
        waiters = self._waiters.get(member)
        while waiters:
            waiters.popleft().set(None)
            if not all_waiters:
                return


@effect_handler(Dial)
def handle_dial(shell: Shell, effect: Dial) -> None:
    """Open a pooled connection."""
    gevent.spawn(shell.component(ConnectionPools).dial, effect.member)


@effect_handler(CloseConnection)
def handle_close_connection(shell: Shell, effect: CloseConnection) -> None:
    """Close a pooled connection."""
    shell.component(ConnectionPools).close_connection(effect.id)


@effect_handler(TakeLock)
def handle_take_lock(shell: Shell, effect: TakeLock) -> None:
    """Acquire the holder lock of a member."""
    gevent.spawn(shell.component(ConnectionPools).acquire_lock, effect.member, effect.evict)


@effect_handler(ReleaseLock)
def handle_release_lock(shell: Shell, effect: ReleaseLock) -> None:
    """Release the holder lock of a member."""
    shell.component(ConnectionPools).release_lock(effect.member)
