"""Connection pool for one member; connections are dialed in the background."""

from collections import Counter, deque
from collections.abc import Callable
from datetime import timedelta

import gevent
from attrs import frozen
from bramleyrill_base import Clock, log_event
from bramleyrill_core.catalog import MemberEntry
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
# Limited because each dial occupies one of the member's slots for a while.
MAX_CONCURRENT_DIALS = 2
# Idle connections beyond WARM_CONNECTIONS are closed after this long without use.
MAX_IDLE_TIME = timedelta(seconds=20)
WARM_CONNECTIONS = 2
# Delay after a failed dial; doubled after each further one, up to the maximum.
INITIAL_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(seconds=1)

# Returns the cost of preparing a connection in this state for the next statement.
StateCost = Callable[[ConnectionState], int]


def _no_cost(_state: ConnectionState) -> int:
    return 0


@frozen(eq=False)
class _Waiter:
    """A lease that waits for a connection of `team`, or of any team if it is None."""

    team: str | None
    connection: AsyncResult

    def accepts(self, team: str) -> bool:
        return self.team is None or self.team == team


class UpstreamPool:
    """Connections to one member, at most `limit`; each belongs to one team, or to none.

    `refused` is True if the last dial found the machine up but nothing listening.
    `failing_since` is the time of the first failed dial since the last successful one, or None.
    A dial that the member refuses for too many connections changes neither. `dialed` counts the
    successful dials.
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
        self._dialing_by_team: Counter[str] = Counter()
        self._waiters: deque[_Waiter] = deque()
        self._backoff = INITIAL_BACKOFF
        self._next_dial_at = timedelta()
        self._closed = False

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being dialed."""
        return len(self._open) + self._dialing_by_team.total()

    def lease(
        self, timeout: timedelta, cost_of: StateCost = _no_cost, team: str | None = ""
    ) -> UpstreamConnection:
        """Return a working connection of a team; raise UpstreamError if there is none in time.

        `team` is None for work of the proxy itself, which may use any connection. Prefers the idle
        connection with the lowest `cost_of` its state.
        """
        deadline = self._clock.monotonic() + timeout
        while True:
            connection = self._pop_idle(cost_of, team) or self._wait_for_connection(deadline, team)
            if self._is_alive(connection):
                return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Return a leased connection; an open transaction on it is rolled back first."""
        if connection.closed or self._closed or connection not in self._open:
            self.discard(connection)
        elif connection.in_transaction:
            gevent.spawn(self._roll_back, connection)
        elif not self._give_to_waiter(connection):
            self._idle.append(connection)
            if self._waiters:
                self._start_dial()

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a leased connection and remove it from the pool."""
        connection.close()
        self._open.discard(connection)
        if self._waiters:
            self._start_dial()

    def maintain_connections(self, warm: int = WARM_CONNECTIONS) -> None:
        """Dial until `warm` connections are open, and close surplus ones that are idle for long."""
        now = self._clock.monotonic()
        while len(self._idle) > warm and now - self._idle[0].last_answer_at > MAX_IDLE_TIME:
            self.discard(self._idle.popleft())
        for _ in range(warm - self.size):
            self._start_dial("")

    def close_idle(self, unused_for: timedelta) -> None:
        """Close the idle connections that were not used for this long."""
        oldest_use = self._clock.monotonic() - unused_for
        for connection in [idle for idle in self._idle if idle.last_answer_at < oldest_use]:
            self._idle.remove(connection)
            self.discard(connection)

    def close(self) -> None:
        """Close all connections and fail the leases that wait for one."""
        self._closed = True
        for connection in list(self._open):
            self.discard(connection)
        self._idle.clear()
        self._fail_waiters(UpstreamError("the pool is closed"))

    def _pop_idle(self, cost_of: StateCost, team: str | None) -> UpstreamConnection | None:
        self._idle = deque(connection for connection in self._idle if not connection.closed)
        usable = [item for item in reversed(self._idle) if team is None or item.team == team]
        if not usable:
            return None
        # Among equal costs, the most recently used connection is the least likely to be dead.
        chosen = min(usable, key=lambda connection: cost_of(connection.state))
        self._idle.remove(chosen)
        return chosen

    def _give_to_waiter(self, connection: UpstreamConnection) -> bool:
        """Give a connection to the first lease that may use it; return whether there is one."""
        for waiter in self._waiters:
            if waiter.accepts(connection.team):
                self._waiters.remove(waiter)
                waiter.connection.set(connection)
                return True
        return False

    def _wait_for_connection(self, deadline: timedelta, team: str | None) -> UpstreamConnection:
        waiter = _Waiter(team, AsyncResult())
        self._waiters.append(waiter)
        self._start_dial()
        remaining = (deadline - self._clock.monotonic()).total_seconds()
        try:
            return waiter.connection.get(timeout=max(remaining, 0.0))
        except gevent.Timeout as error:
            raise UpstreamError("no free connection in time") from error
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _is_alive(self, connection: UpstreamConnection) -> bool:
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

    def _start_dial(self, team: str | None = None) -> None:
        """Dial for a team, or for the first lease that waits without a dial of its own."""
        now = self._clock.monotonic()
        if self._closed or self._dialing_by_team.total() >= MAX_CONCURRENT_DIALS:
            return
        if team is None:
            team = self._next_team_to_dial()
        if team is None or not self._make_room():
            return
        self._dialing_by_team[team] += 1
        gevent.spawn(self._dial, team, max(self._next_dial_at - now, timedelta()))

    def _next_team_to_dial(self) -> str | None:
        """Return the team of the first waiting lease for which no dial is in progress."""
        dialing = Counter(self._dialing_by_team)
        for waiter in self._waiters:
            team = waiter.team or ""
            if not dialing[team]:
                return team
            dialing[team] -= 1
        return None

    def _make_room(self) -> bool:
        """Return whether another connection may be opened, after closing an idle one if needed."""
        if self.size < self.limit:
            return True
        if not self._idle:
            return False
        unused_longest = self._idle.popleft()
        self._open.discard(unused_longest)
        unused_longest.close()
        return True

    def _dial(self, team: str, pause: timedelta) -> None:
        gevent.sleep(pause.total_seconds())
        try:
            connection = UpstreamConnection.dial(self.member, DIAL_TIMEOUT, self._clock, team)
        except UpstreamError as error:
            self._dialing_by_team[team] -= 1
            self._handle_dial_failure(error)
            return
        self._dialing_by_team[team] -= 1
        self.dialed += 1
        self.refused, self.failing_since = False, None
        self._backoff = INITIAL_BACKOFF
        self._open.add(connection)
        self.release(connection)
        if self._waiters:
            self._start_dial()

    def _handle_dial_failure(self, error: UpstreamError) -> None:
        now = self._clock.monotonic()
        log_event("upstream_dial_failed", member=self.member.id, reason=error, open=len(self._open))
        limit_reached = (
            isinstance(error, RefusedByMemberError)
            and error.answer.code is AnswerCode.TOO_MANY_CONNECTIONS
        )
        if not limit_reached:
            self.refused = error.refused
            self.failing_since = self.failing_since or now
        self._next_dial_at = now + self._backoff
        self._backoff = min(self._backoff * 2, MAX_BACKOFF)
        if not self._open and not self._dialing_by_team.total():
            self._fail_waiters(error)
        elif self._waiters:
            self._start_dial()

    def _fail_waiters(self, error: UpstreamError) -> None:
        while self._waiters:
            self._waiters.popleft().connection.set_exception(error)
