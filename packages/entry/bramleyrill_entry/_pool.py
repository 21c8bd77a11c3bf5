"""Pooled connections to one member, dialed in the background."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

import gevent
from bramleyrill_base import Clock, log_event
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.statements import AnswerCode, ConnectionState
from bramleyrill_platform import lines
from gevent.event import AsyncResult

from bramleyrill_entry._upstream import RefusedByMemberError, UpstreamConnection, UpstreamError

DIAL_TIMEOUT = timedelta(seconds=1)
# Statements that do no work are answered at once by a member that is there.
CONTROL_TIMEOUT = timedelta(milliseconds=400)
# The check of a connection is shorter than the wait for one, so that another can be dialed.
CHECK_TIMEOUT = timedelta(milliseconds=250)
LEASE_TIMEOUT = timedelta(seconds=1)
# A connection that was quiet for this long may have gone silent; it is checked before use.
CHECK_AFTER = timedelta(milliseconds=500)
# Each dial takes one of the member's slots for a while.
MAX_DIALS = 2
# Connections beyond the warm ones are closed after this long without use.
IDLE_LIMIT = timedelta(seconds=20)
WARM_CONNECTIONS = 2
# Pause after a refused dial, doubled up to the limit.
FIRST_BACKOFF = timedelta(milliseconds=100)
LONGEST_BACKOFF = timedelta(seconds=1)

# What it costs to prepare a connection in this state for the next statement.
StateCost = Callable[[ConnectionState], int]


def _no_cost(_state: ConnectionState) -> int:
    return 0


class UpstreamPool:
    """Connections to one member; at most `limit` of them.

    `refused` tells that the last attempt found the machine up and nothing listening, and
    `failing_since` since when no dial succeeded.
    """

    def __init__(self, member: MemberEntry, limit: int, clock: Clock) -> None:
        self.member = member
        self.limit = limit
        self.refused = False
        self.failing_since: timedelta | None = None
        self.dialed = 0
        self._clock = clock
        self._idle: deque[UpstreamConnection] = deque()
        self._open: set[UpstreamConnection] = set()
        self._dialing = 0
        self._waiters: deque[AsyncResult] = deque()
        self._backoff = FIRST_BACKOFF
        self._dial_after = timedelta()
        self._closed = False

    @property
    def size(self) -> int:
        """Return how many connections are open or being dialed."""
        return len(self._open) + self._dialing

    def lease(self, timeout: timedelta, cost_of: StateCost = _no_cost) -> UpstreamConnection:
        """Return a checked connection; raise UpstreamError if there is none in time.

        Of several that are idle it is the one that is prepared at the least cost.
        """
        deadline = self._clock.monotonic() + timeout
        while True:
            connection = self._pop_idle(cost_of) or self._wait(deadline)
            if self._check(connection):
                return connection

    def give_back(self, connection: UpstreamConnection) -> None:
        """End a lease; a connection with an open transaction is rolled back first."""
        if connection.closed or self._closed or connection not in self._open:
            self.discard(connection)
        elif connection.in_transaction:
            gevent.spawn(self._roll_back, connection)
        elif self._waiters:
            self._waiters.popleft().set(connection)
        else:
            self._idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """End a lease by closing the connection."""
        connection.close()
        self._open.discard(connection)
        if self._waiters:
            self._dial_more()

    def warm_up(self) -> None:
        """Keep a few connections open, and close those that are idle for long."""
        now = self._clock.monotonic()
        while len(self._idle) > WARM_CONNECTIONS and now - self._idle[0].answered_at > IDLE_LIMIT:
            self.discard(self._idle.popleft())
        for _ in range(WARM_CONNECTIONS - self.size):
            self._dial_more()

    def close(self) -> None:
        """Close everything."""
        self._closed = True
        for connection in list(self._open):
            self.discard(connection)
        self._idle.clear()
        self._fail_waiters(UpstreamError("the pool is closed"))

    def _pop_idle(self, cost_of: StateCost) -> UpstreamConnection | None:
        self._idle = deque(connection for connection in self._idle if not connection.closed)
        if not self._idle:
            return None
        # Of equal ones the last used is the least likely to have gone silent.
        chosen = min(reversed(self._idle), key=lambda connection: cost_of(connection.state))
        self._idle.remove(chosen)
        return chosen

    def _wait(self, deadline: timedelta) -> UpstreamConnection:
        waiter: AsyncResult = AsyncResult()
        self._waiters.append(waiter)
        self._dial_more()
        left = (deadline - self._clock.monotonic()).total_seconds()
        try:
            return waiter.get(timeout=max(left, 0.0))
        except gevent.Timeout as error:
            raise UpstreamError("no free connection in time") from error
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _check(self, connection: UpstreamConnection) -> bool:
        if self._clock.monotonic() - connection.answered_at < CHECK_AFTER:
            return True
        texts = [lines.BEGIN_READ_ONLY_TEXT, lines.ROLLBACK_TEXT]
        try:
            connection.ask_together(texts, CHECK_TIMEOUT)
        except UpstreamError as error:
            log_event("upstream_check_failed", member=self.member.id, reason=error)
            self.discard(connection)
            return False
        return True

    def _roll_back(self, connection: UpstreamConnection) -> None:
        try:
            answer = connection.ask(lines.OWN_ID, lines.ROLLBACK_TEXT, CONTROL_TIMEOUT)
        except UpstreamError as error:
            log_event("upstream_rollback_failed", member=self.member.id, reason=error)
            self.discard(connection)
            return
        connection.in_transaction = False
        if answer.succeeded:
            self.give_back(connection)
        else:
            self.discard(connection)

    def _dial_more(self) -> None:
        now = self._clock.monotonic()
        if self._closed or self._dialing >= MAX_DIALS or self.size >= self.limit:
            return
        self._dialing += 1
        gevent.spawn(self._dial, max(self._dial_after - now, timedelta()))

    def _dial(self, pause: timedelta) -> None:
        gevent.sleep(pause.total_seconds())
        try:
            connection = UpstreamConnection.dial(self.member, DIAL_TIMEOUT, self._clock)
        except UpstreamError as error:
            self._dialing -= 1
            self._note_failure(error)
            return
        self._dialing -= 1
        self.dialed += 1
        self.refused, self.failing_since = False, None
        self._backoff = FIRST_BACKOFF
        self._open.add(connection)
        self.give_back(connection)
        if self._waiters:
            self._dial_more()

    def _note_failure(self, error: UpstreamError) -> None:
        now = self._clock.monotonic()
        log_event("upstream_dial_failed", member=self.member.id, reason=error, open=len(self._open))
        full = (
            isinstance(error, RefusedByMemberError)
            and error.answer.code is AnswerCode.TOO_MANY_CONNECTIONS
        )
        if not full:
            self.refused = error.refused
            self.failing_since = self.failing_since or now
        self._dial_after = now + self._backoff
        self._backoff = min(self._backoff * 2, LONGEST_BACKOFF)
        if not self._open and not self._dialing:
            self._fail_waiters(error)
        elif self._waiters:
            self._dial_more()

    def _fail_waiters(self, error: UpstreamError) -> None:
        while self._waiters:
            self._waiters.popleft().set_exception(error)
