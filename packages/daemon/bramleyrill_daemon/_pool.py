"""Pooled connections: the core decides which, this module opens, checks and closes them."""

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
    join_pool,
    reset_connection,
    still_holds,
    take_holder_lock,
)
from bramleyrill_daemon._shell import Shell, carries_out
from bramleyrill_daemon._upstream import UpstreamConnection, UpstreamError, UpstreamLogin

DIAL_TIMEOUT = timedelta(seconds=2)
# E is checked this often; a member whose control connection is silent has its pool closed, so
# that statements in flight there get their outcome.
CONTROL_CHECK = timedelta(milliseconds=500)
_HINT = timedelta(milliseconds=100)


class PoolShell:
    """Open connections by the core's ids, and the control connections that hold the locks."""

    def __init__(self, shell: Shell, login_of: Callable[[MemberId], UpstreamLogin]) -> None:
        self.connections: dict[ConnectionId, UpstreamConnection] = {}
        self.controls: dict[MemberId, UpstreamConnection] = {}
        self._shell = shell
        self._world = shell.world
        self._login_of = login_of
        self._ids = itertools.count(1)
        self._waiters: dict[MemberId, deque[AsyncResult]] = {}
        self._tick = 0

    def lease_idle(self, member: MemberId) -> UpstreamConnection | Problem:
        """Return an idle connection to a member, or the problem for which there is none."""
        while True:
            found = lease(self._world, member)
            if type(found) is not Success:
                return found.failure()
            connection = self.connections[found.unwrap()]
            # What was given back a moment ago is not asked again; that saves a system call.
            if connection.idle_tick == self._tick or not connection.has_unread():
                return connection
            self.discard(connection, "closed_while_idle")

    def lease(self, member: MemberId, deadline: timedelta) -> UpstreamConnection | Problem:
        """Return a connection to a member, or the problem for which there is none in time."""
        while True:
            found = self.lease_idle(member)
            if type(found) is not Problem or found.kind is ErrorKind.NOT_RUN_DRAINING:
                return found
            left = (deadline - self._world.clock.monotonic()).total_seconds()
            if left <= 0:
                return found
            self._wait(member, left)

    def give_back(self, connection: UpstreamConnection, rollback: bool, reset: bool) -> None:
        """End a lease; a connection to be reset is idle only once that is done."""
        if connection.id not in self.connections:
            return
        if rollback or reset:
            gevent.spawn(self._reset, connection, rollback)
        else:
            self._return(connection, True)

    def discard(self, connection: UpstreamConnection, reason: str) -> None:
        """End a lease by closing the connection."""
        if self.connections.pop(connection.id, None) is None:
            return
        log_event("upstream_discarded", member=connection.member, reason=reason)
        connection.close()
        self._shell.feed(ConnectionLost(connection.id))

    def note_idle(self, connection: UpstreamConnection, idle: bool) -> None:
        """Note that a leased connection is in a transaction without a statement, or has one."""
        set_transaction_idle(self._world, connection.id, idle)

    def after_tick(self) -> None:
        """Begin a new tick; those that wait ask again, since a pool may have closed or opened."""
        self._tick += 1
        for member in list(self._waiters):
            self._wake(member, everyone=True)

    def check_controls(self) -> None:
        """Check for ever that the locks are still held."""
        while True:
            gevent.sleep(CONTROL_CHECK.total_seconds())
            for member, control in list(self.controls.items()):
                gevent.spawn(self._check_control, member, control)

    def close(self) -> None:
        """Close everything at once; the members release the locks."""
        for connection in [*self.connections.values(), *self.controls.values()]:
            connection.close()
        self.connections.clear()
        self.controls.clear()

    def dial(self, member: MemberId) -> None:
        """Open a pooled connection."""
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
            self._shell.feed(DialFailed(member, lock_lost))
            return
        connection.id = ConnectionId(next(self._ids))
        connection.member = member
        self.connections[connection.id] = connection
        self._shell.feed(DialSucceeded(member, connection.id))
        self._wake(member)

    def close_connection(self, number: ConnectionId) -> None:
        """Close a pooled connection that the core gives up."""
        connection = self.connections.pop(number, None)
        if connection is not None:
            connection.close()
        self._shell.feed(ConnectionLost(number))

    def take_lock(self, member: MemberId, evict: bool) -> None:
        """Take the member's lock on a new control connection."""
        earlier = self.controls.pop(member, None)
        if earlier is not None:
            earlier.close()
        try:
            control = take_holder_lock(self._login_of(member), member, evict)
        except LockHeldError as error:
            log_event("holder_lock_refused", member=member, reason=error)
        except (OSError, UpstreamError, KeyError) as error:
            log_event("holder_lock_failed", level=logging.DEBUG, member=member, error=error)
        else:
            self.controls[member] = control
            log_event("holder_lock_taken", member=member, pid=control.pid)
            self._shell.feed(LockTaken(member))
            return
        self._shell.feed(LockRefused(member))

    def release_lock(self, member: MemberId) -> None:
        """Give the lock up with its control connection."""
        control = self.controls.pop(member, None)
        if control is not None:
            control.close()
            log_event("holder_lock_released", member=member)

    def _check_control(self, member: MemberId, control: UpstreamConnection) -> None:
        if control.checking:
            return
        control.checking = True
        try:
            lost = not still_holds(control)
            reason = "taken by another holder"
        except (OSError, UpstreamError) as error:
            lost, reason = True, f"control connection failed: {error}"
        finally:
            control.checking = False
        if not lost or self.controls.get(member) is not control:
            return
        log_event("holder_lock_lost", member=member, reason=reason)
        # The connections go before the lock is asked for again: while one is open, its S keeps
        # the next holder out. Their statements cannot be waited for, as the member may be silent.
        for connection in [c for c in self.connections.values() if c.member == member]:
            self.discard(connection, "holder_lock_lost")
        del self.controls[member]
        control.close()
        self._shell.feed(ControlLost(member))

    def _reset(self, connection: UpstreamConnection, rollback: bool) -> None:
        control = self.controls.get(connection.member)
        try:
            clean = control is not None and reset_connection(connection, rollback, control.pid)
        except (OSError, UpstreamError) as error:
            log_event("upstream_reset_failed", member=connection.member, error=error)
            clean = False
        if connection.id in self.connections:
            self._return(connection, clean)

    def _return(self, connection: UpstreamConnection, clean: bool) -> None:
        connection.idle_tick = self._tick
        effects = release_connection(self._world, connection.id, clean)
        if effects:
            self._shell.carry_out(effects)
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

    def _wake(self, member: MemberId, everyone: bool = False) -> None:
        waiters = self._waiters.get(member)
        while waiters:
            waiters.popleft().set(None)
            if not everyone:
                return


@carries_out(Dial)
def carry_out_dial(shell: Shell, effect: Dial) -> None:
    """Open a pooled connection."""
    gevent.spawn(shell.part(PoolShell).dial, effect.member)


@carries_out(CloseConnection)
def carry_out_close(shell: Shell, effect: CloseConnection) -> None:
    """Close a pooled connection."""
    shell.part(PoolShell).close_connection(effect.id)


@carries_out(TakeLock)
def carry_out_take(shell: Shell, effect: TakeLock) -> None:
    """Take the lock of a member."""
    gevent.spawn(shell.part(PoolShell).take_lock, effect.member, effect.evict)


@carries_out(ReleaseLock)
def carry_out_release(shell: Shell, effect: ReleaseLock) -> None:
    """Release the lock of a member."""
    shell.part(PoolShell).release_lock(effect.member)
