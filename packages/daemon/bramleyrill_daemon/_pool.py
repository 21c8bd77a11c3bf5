"""Pooled connections to one member: the holder's lock, dials, leases, resets."""

import random
from collections import deque
from collections.abc import Callable
from datetime import timedelta

import gevent
from attrs import define
from bramleyrill_base import Clock, ErrorKind, Problem, log_event
from bramleyrill_core import MemberId
from gevent.event import AsyncResult

from bramleyrill_daemon._locks import join_pool, reset_connection, still_holds, take_holder_lock
from bramleyrill_daemon._upstream import UpstreamConnection, UpstreamError, UpstreamLogin

DIAL_TIMEOUT = timedelta(seconds=2)
# More at once would keep a member that comes back busy with log-ins.
MAX_DIALS = 4
LOCK_RETRY = timedelta(milliseconds=200)
LOCK_CHECK = timedelta(milliseconds=500)
BACKOFF_FIRST = timedelta(milliseconds=50)
BACKOFF_LAST = timedelta(seconds=2)
# Membership needs 4.5 s to call a VM dead. A lock that is refused for longer is in the hands of a
# holder that this VM's view does not know, or of connections that went silent.
EVICT_AFTER = timedelta(seconds=6)
_RETRY_HINT = timedelta(milliseconds=100)


@define
class PoolLimits:
    """Bounds of a pool: connections in all, and how many are kept idle."""

    connections: int
    warm: int


class MemberPool:
    """Connections to one member, usable while this VM holds the member's lock.

    `hold` takes the lock and keeps it until `release`. `lease` blocks until a connection is
    free; `give_back` or `discard` ends the lease.
    """

    def __init__(
        self,
        member: MemberId,
        login: Callable[[], UpstreamLogin],
        limits: PoolLimits,
        clock: Clock,
        may_evict: Callable[[], bool] = lambda: False,
    ) -> None:
        self.member = member
        self.limits = limits
        self.wanted = False
        self.leased: set[UpstreamConnection] = set()
        self._login = login
        self._clock = clock
        self._may_evict = may_evict
        self._control: UpstreamConnection | None = None
        self._idle: list[UpstreamConnection] = []
        self._waiters: deque[AsyncResult] = deque()
        self._dialing = 0
        self._resetting = 0
        self._lock_pause = LOCK_RETRY
        self._backoff = timedelta()
        self._not_before = timedelta()
        self._keeper: gevent.Greenlet | None = None

    @property
    def held(self) -> bool:
        """Tell whether this VM has the member's lock, as far as it knows."""
        return self._control is not None

    @property
    def total(self) -> int:
        """Return how many connections are open or being opened, without the control connection."""
        return len(self._idle) + len(self.leased) + self._dialing + self._resetting

    def hold(self) -> None:
        """Take the member's lock as soon as it can be had, and keep connections warm."""
        self.wanted = True
        if self._keeper is None or self._keeper.dead:
            self._keeper = gevent.spawn(self._keep)

    def release(self) -> None:
        """Let leased connections finish, then close all of them and give the lock up."""
        self.wanted = False
        self._fail_waiters()
        self._close_idle()

    def close(self) -> None:
        """Close everything at once."""
        self.release()
        if self._keeper is not None:
            self._keeper.kill(block=False)
        self._drop_all("stopping")

    def lease(self, deadline: timedelta) -> UpstreamConnection | Problem:
        """Return a connection, or the problem for which there is none before the deadline."""
        while True:
            while self._idle:
                connection = self._idle.pop()
                if not connection.has_unread():
                    self.leased.add(connection)
                    return connection
                log_event("upstream_closed_idle", member=self.member)
                connection.close()
            if not self.wanted:
                return Problem(ErrorKind.NOT_RUN_UNREACHABLE, self.member, _RETRY_HINT)
            left = (deadline - self._clock.monotonic()).total_seconds()
            if left <= 0:
                kind = ErrorKind.NOT_RUN_DEADLINE if self.held else ErrorKind.NOT_RUN_UNREACHABLE
                return Problem(kind, f"no connection to {self.member}", _RETRY_HINT)
            self._wait(left)

    def give_back(self, connection: UpstreamConnection, rollback: bool, reset: bool) -> None:
        """End a lease; a connection to be reset is idle only once that is done."""
        if connection not in self.leased:
            return
        if rollback or reset:
            self.leased.discard(connection)
            self._resetting += 1
            gevent.spawn(self._reset, connection, rollback)
        else:
            self.leased.discard(connection)
            self._offer(connection)

    def discard(self, connection: UpstreamConnection, reason: str) -> None:
        """End a lease by closing the connection."""
        self.leased.discard(connection)
        if not connection.closed:
            log_event("upstream_discarded", member=self.member, reason=reason)
            connection.close()
        self._dial_if_needed()

    def _wait(self, seconds: float) -> None:
        waiter: AsyncResult = AsyncResult()
        self._waiters.append(waiter)
        self._dial_if_needed()
        try:
            waiter.get(timeout=seconds)
        except gevent.Timeout:
            pass
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            elif self._idle:
                # Woken and gone: the connection is for the next one.
                self._wake()

    def _wake(self) -> None:
        if self._waiters:
            self._waiters.popleft().set(None)

    def _fail_waiters(self) -> None:
        while self._waiters:
            self._wake()

    def _offer(self, connection: UpstreamConnection) -> None:
        if not self.held or not self.wanted:
            connection.close()
            return
        self._idle.append(connection)
        self._wake()

    def _reset(self, connection: UpstreamConnection, rollback: bool) -> None:
        control = self._control
        try:
            clean = control is not None and reset_connection(connection, rollback, control.pid)
        except (OSError, UpstreamError) as error:
            log_event("upstream_reset_failed", member=self.member, error=error)
            clean = False
        finally:
            self._resetting -= 1
        if clean and control is self._control:
            self._offer(connection)
        else:
            connection.close()
            self._dial_if_needed()

    def _dial_if_needed(self) -> None:
        if not self.held or not self.wanted or self._clock.monotonic() < self._not_before:
            return
        idle = len(self._idle) + self._dialing + self._resetting
        missing = max(self.limits.warm, len(self._waiters)) - idle
        free = min(self.limits.connections - self.total, MAX_DIALS - self._dialing)
        for _ in range(min(missing, free)):
            self._dialing += 1
            gevent.spawn(self._dial)

    def _dial(self) -> None:
        control = self._control
        connection = None
        try:
            connection = UpstreamConnection.dial(self._login(), DIAL_TIMEOUT)
            if control is None or not join_pool(connection, control.pid):
                raise ConnectionError("the holder's lock is gone")
        except (OSError, UpstreamError, KeyError) as error:
            log_event("upstream_dial_failed", member=self.member, error=error)
            self._dialing -= 1
            if connection is not None:
                connection.close()
            self._back_off()
            return
        self._dialing -= 1
        self._backoff = timedelta()
        if control is not self._control:
            connection.close()
            return
        self._offer(connection)
        self._dial_if_needed()

    def _back_off(self) -> None:
        self._backoff = min(max(self._backoff * 2, BACKOFF_FIRST), BACKOFF_LAST)
        wait = self._backoff * random.uniform(0.5, 1.0)
        self._not_before = self._clock.monotonic() + wait

    def _close_idle(self) -> None:
        while self._idle:
            self._idle.pop().close()

    def _drop_all(self, reason: str) -> None:
        """Close the pool and the control connection, whose end releases the lock."""
        if self._control is None:
            return
        log_event("holder_lock_dropped", member=self.member, reason=reason)
        # Pooled connections go first: as long as one is open, its S tells the next holder.
        self._close_idle()
        for connection in list(self.leased):
            connection.close()
        self.leased.clear()
        self._control.close()
        self._control = None

    def _keep(self) -> None:
        """Take the lock, check it and keep connections warm until it is given up."""
        refused_since = None
        while True:
            if self._control is None:
                if not self.wanted:
                    return
                now = self._clock.monotonic()
                if self._take(refused_since is not None and now - refused_since >= EVICT_AFTER):
                    refused_since = None
                    continue
                refused_since = refused_since or now
                self._lock_pause = min(self._lock_pause * 1.5, BACKOFF_LAST)
                gevent.sleep(self._lock_pause.total_seconds() * random.uniform(0.75, 1.25))
                continue
            if not self.wanted and not self.leased and not self._resetting:
                self._drop_all("released")
                return
            self._check()
            self._dial_if_needed()
            gevent.sleep((LOCK_RETRY if not self.wanted else LOCK_CHECK).total_seconds())

    def _take(self, evict: bool) -> bool:
        try:
            control = take_holder_lock(self._login(), self.member, evict or self._may_evict())
        except (OSError, UpstreamError, KeyError) as error:
            log_event("holder_lock_failed", member=self.member, error=error)
            return False
        except LookupError as error:
            log_event("holder_lock_refused", member=self.member, reason=error)
            return False
        self._control = control
        self._lock_pause = LOCK_RETRY
        log_event("holder_lock_taken", member=self.member, pid=control.pid)
        self._dial_if_needed()
        return True

    def _check(self) -> None:
        try:
            if not still_holds(self._control):
                self._drop_all("lost")
        except (OSError, UpstreamError) as error:
            self._drop_all(f"control connection failed: {error}")


class PoolShell:
    """The pools of the members that this VM holds."""

    def __init__(self) -> None:
        self.by_member: dict[MemberId, MemberPool] = {}
        self._member_of: dict[UpstreamConnection, MemberPool] = {}

    def lease(self, member: MemberId, deadline: timedelta) -> UpstreamConnection | Problem:
        """Return a connection to a member, or the problem for which there is none."""
        pool = self.by_member.get(member)
        if pool is None:
            return Problem(ErrorKind.NOT_RUN_UNREACHABLE, member, _RETRY_HINT)
        found = pool.lease(deadline)
        if not isinstance(found, Problem):
            self._member_of[found] = pool
        return found

    def give_back(self, connection: UpstreamConnection, rollback: bool, reset: bool) -> None:
        """End a lease."""
        pool = self._member_of.pop(connection, None)
        if pool is not None:
            pool.give_back(connection, rollback, reset)

    def discard(self, connection: UpstreamConnection, reason: str) -> None:
        """End a lease by closing the connection."""
        pool = self._member_of.pop(connection, None)
        if pool is not None:
            pool.discard(connection, reason)

    def close(self) -> None:
        """Close every pool at once."""
        for pool in self.by_member.values():
            pool.close()
