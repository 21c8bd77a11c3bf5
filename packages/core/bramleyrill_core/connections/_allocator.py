"""Which connection a waiting statement gets, and when one is dialed or closed for it.

The load this answers: many teams share few connections and slots of a member, and a connection
serves one team only. A new one takes time of a slot, so it is dialed only if none of the team's own
is expected to come free sooner.
"""

from collections import Counter
from collections.abc import Callable, Hashable
from datetime import timedelta
from typing import Any

from bramleyrill_base import Clock

from bramleyrill_core.connections._demand import DemandTable
from bramleyrill_core.connections._limit import DialBackoff, LearnedLimit
from bramleyrill_core.connections._policies import DEFAULT_POLICY, PoolView, connection_policies
from bramleyrill_core.connections._values import (
    Action,
    Assign,
    Close,
    ConnectionCounts,
    Dial,
    PooledConnection,
    Use,
    Waiter,
)

# Each dial occupies one of the member's slots for a while. A member with more slots bears more
# dials at once, up to this part of them.
MIN_CONCURRENT_DIALS = 2
MAX_DIAL_SLOT_SHARE = 0.5
# Assumed duration of a dial until one was measured, and the weight of each in the mean.
EXPECTED_DIAL_S = 0.01
_DIAL_WEIGHT = 0.1
# While there is room for another connection, a statement whose team has one in use waits for it
# this many times the duration of a dial: the statement would lose it once, and the other users of
# the slot once.
NEW_CONNECTION_COST = 2
# Once another team's connection would be closed, it waits for this many at least; that team loses a
# dial too.
REPLACED_CONNECTION_COST = 3
# Idle connections of teams are closed after this long without use.
TEAM_MAX_IDLE_TIME = timedelta(minutes=5)
# A resting transaction is offered for rollback once a statement of another caller was blocked for
# this long.
MIN_BLOCKED = timedelta(milliseconds=200)

# Returns the cost of preparing a connection for the next statement.
ConnectionCost = Callable[[Any], int]


def no_cost(_connection: Any) -> int:
    """Return 0: all connections are equally suitable."""
    return 0


class ConnectionAllocator:
    """The connections of one member at one VM, by team, and the statements that wait for one.

    Connections and waiters are named by keys of the caller. Methods return actions, which the
    caller must carry out in order. After `Dial` it reports `record_dialed` or `record_failure`.
    Statements without a team (the team "") are those of deployments without teams.

    Example:

        actions = allocator.request("waiter", "acme")     # [Dial("acme", 0)]
        actions = allocator.record_dialed("acme", socket, took)  # [Assign("waiter", socket)]
        actions = allocator.release(socket)
    """

    def __init__(self, limit: int, slots: int, clock: Clock, policy: str = DEFAULT_POLICY) -> None:
        self.limit = LearnedLimit(limit)
        self.demand = DemandTable()
        self.counts = ConnectionCounts()
        self._slots = slots
        self._clock = clock
        self._policy = connection_policies.get(policy)
        self._team_dials = max(int(slots * MAX_DIAL_SLOT_SHARE), MIN_CONCURRENT_DIALS)
        self._backoff = DialBackoff()
        self._by_key: dict[Hashable, PooledConnection] = {}
        # Idle connections of each team, the most recently used one last.
        self._idle_by_team: dict[str, list[PooledConnection]] = {}
        self._dials_by_team: Counter[str] = Counter()
        self._held_by_team: Counter[str] = Counter()
        self._waiters: dict[Hashable, Waiter] = {}
        self._dial_s = EXPECTED_DIAL_S
        self._has_teams = False
        self._draining = False

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._by_key)

    @property
    def dial_count(self) -> int:
        """Return the number of dials in progress."""
        return self._dials_by_team.total()

    @property
    def has_teams(self) -> bool:
        """Return whether any statement came with a team."""
        return self._has_teams

    @property
    def waiting(self) -> int:
        """Return the number of statements that wait for a connection."""
        return len(self._waiters)

    def idle(self) -> list[PooledConnection]:
        """Return the idle connections, the longest idle one first."""
        idle = [connection for each in self._idle_by_team.values() for connection in each]
        return sorted(idle, key=lambda connection: connection.since)

    # Statements.

    def request(
        self,
        waiter: Hashable,
        team: str | None,
        cost_of: ConnectionCost = no_cost,
        patience: timedelta = timedelta(),
    ) -> list[Action]:
        """Take an idle connection of a team, or wait for one.

        See `take` and `wait`; the result is an `Assign` for an idle one.
        """
        key = self.take(team, cost_of)
        return [Assign(waiter, key)] if key is not None else self.wait(waiter, team, patience)

    def take(self, team: str | None, cost_of: ConnectionCost = no_cost) -> Any:
        """Lease an idle connection of a team and return its key; None if there is none.

        With the team None, for the proxy's own use, any team's serves. Among several the one with
        the lowest `cost_of` its key is taken.
        """
        now = self._clock.monotonic()
        if team is not None:
            self._has_teams = self._has_teams or bool(team)
            self.counts.requested += 1
            if self._has_teams:
                self.demand.count_request(team, now)
        connection = self._take_idle(team, cost_of)
        if connection is None:
            return None
        self._lease(connection, now)
        return connection.key

    def wait(
        self, waiter: Hashable, team: str | None, patience: timedelta = timedelta()
    ) -> list[Action]:
        """Wait for a connection of a team, after `take` found none idle.

        `patience` is how long the statement can well wait for one in use before another team's is
        closed for it.
        """
        now = self._clock.monotonic()
        shortest, longest = self._dial_delays(team, patience, now)
        self._waiters[waiter] = Waiter(waiter, team, now + longest, now + shortest)
        return self.plan()

    def withdraw(self, waiter: Hashable) -> None:
        """Remove a statement that no longer waits."""
        self._waiters.pop(waiter, None)

    def withdraw_all(self) -> list[Hashable]:
        """Remove and return the keys of all waiting statements."""
        keys = list(self._waiters)
        self._waiters.clear()
        return keys

    def dial_at(self, waiter: Hashable) -> timedelta | None:
        """Return when to call `plan` for a statement that waits for a connection in use."""
        entry = self._waiters.get(waiter)
        return None if entry is None else entry.dial_at

    def is_blocked(self, waiter: Hashable) -> bool:
        """Return whether a statement waits only because all connections are in use."""
        entry = self._waiters.get(waiter)
        return entry is not None and entry.blocked_since is not None

    def set_use(self, key: Hashable, use: Use) -> None:
        """Record that a leased connection is used for a transaction, or that this one rests."""
        connection = self._by_key.get(key)
        if connection is not None and connection.use is not use:
            connection.use, connection.since = use, self._clock.monotonic()

    def release(self, key: Hashable) -> list[Action]:
        """Return a leased connection, for a waiting statement of its team or to be idle."""
        now = self._clock.monotonic()
        connection = self._by_key[key]
        self.demand.record_hold(connection.team, now - connection.leased_at)
        return self._offer(connection, now)

    def remove(self, key: Hashable) -> list[Action]:
        """Remove a connection that was closed."""
        connection = self._by_key.pop(key, None)
        if connection is None:
            return []
        self._held_by_team[connection.team] -= 1
        if connection.use is Use.IDLE:
            self._idle_by_team[connection.team].remove(connection)
        return self.plan()

    # Dials.

    def record_dialed(self, team: str, key: Hashable, took: timedelta) -> list[Action]:
        """Add a dialed connection."""
        now = self._clock.monotonic()
        self._end_dial(team)
        self._dial_s += _DIAL_WEIGHT * (took.total_seconds() - self._dial_s)
        self._backoff.record_success()
        self.counts.dialed += 1
        connection = PooledConnection(key, team, now, now)
        self._by_key[key] = connection
        self._held_by_team[team] += 1
        return self._offer(connection, now)

    def record_failure(self, team: str, limit_reached: bool) -> None:
        """Record a failed dial; the next ones are delayed.

        `limit_reached` is True if the member refused it for too many connections. Call `plan`
        afterwards, unless the waiting statements are refused.
        """
        now = self._clock.monotonic()
        self._end_dial(team)
        self._backoff.record_failure(now)
        if limit_reached:
            self.counts.reached_limit += 1
            # Without teams there is nothing to exchange, and any free connection is of use.
            if self._has_teams:
                self.limit.record_refusal(self.open_count, now)

    def warm_up(self, connections: int) -> list[Action]:
        """Dial until this many are open, for deployments without teams.

        With teams it is not known whose statement comes next, so connections are dialed on demand.
        """
        now = self._clock.monotonic()
        missing = 0 if self._has_teams or self._draining else connections - self._size()
        possible = min(self._max_dials() - self.dial_count, self.limit.value(now) - self._size())
        return [self._start_dial("", now) for _ in range(min(missing, possible))]

    def plan(self) -> list[Action]:
        """Return the dials that the waiting statements need now, and the closes that make room."""
        actions: list[Action] = []
        if not self._waiters:
            return actions
        now = self._clock.monotonic()
        busy = self._is_busy()
        unclaimed_dials = self._dials_by_team.copy()
        for waiter in self._waiters.values():
            team = waiter.team or ""
            if unclaimed_dials[team] > 0:
                unclaimed_dials[team] -= 1
                waiter.blocked_since = None
                continue
            if now < (waiter.busy_dial_at if busy else waiter.dial_at):
                continue
            if self.dial_count >= self._max_dials():
                break
            view = PoolView(self._held_by_team, self.demand, self.limit.value(now), now)
            if self._has_teams and not self._policy.may_dial(team, view):
                continue
            if not self._make_room(view, actions):
                if waiter.blocked_since is None:
                    waiter.blocked_since = now
                continue
            waiter.blocked_since = None
            actions.append(self._start_dial(team, now))
        return actions

    # Upkeep.

    def drain(self) -> list[Close]:
        """Keep no idle connections from now on, as another VM takes over the member.

        They count against the member's limit, and the other VM could open none. Statements that
        are still run here get a connection each.
        """
        self._draining = True
        return [self._close(connection) for connection in self.idle()]

    def close_expired(self, max_idle: timedelta = TEAM_MAX_IDLE_TIME, keep: int = 0) -> list[Close]:
        """Close connections that were idle for longer, but keep the `keep` last used ones."""
        now = self._clock.monotonic()
        idle = self.idle()
        expired = [
            connection
            for connection in idle[: max(len(idle) - keep, 0)]
            if now - connection.since > max_idle
        ]
        self.demand.forget_unused({team for team, held in self._held_by_team.items() if held}, now)
        self._held_by_team = +self._held_by_team
        return [self._close(connection) for connection in expired]

    def reclaimable(self, min_rest: timedelta) -> list[Hashable]:
        """Return connections of transactions that rest for `min_rest` and blocked statements need.

        At most one for each blocked statement: those of the teams that hold the most connections
        come first, among them those that have rested for longest.
        """
        now = self._clock.monotonic()
        blocked = [
            waiter
            for waiter in self._waiters.values()
            if waiter.blocked_since is not None and now - waiter.blocked_since >= MIN_BLOCKED
        ]
        if not blocked:
            return []
        resting = [
            connection
            for connection in self._by_key.values()
            if connection.use is Use.RESTING and now - connection.since >= min_rest
        ]
        resting.sort(key=lambda each: (-self._held_by_team[each.team], each.since))
        return [connection.key for connection in resting[: len(blocked)]]

    # Helpers.

    def _size(self) -> int:
        return self.open_count + self.dial_count

    def _max_dials(self) -> int:
        return self._team_dials if self._has_teams else MIN_CONCURRENT_DIALS

    def _is_busy(self) -> bool:
        """Return whether the member's slots would all be used if no statement waited."""
        running = sum(
            connection.use in (Use.STATEMENT, Use.TRANSACTION)
            for connection in self._by_key.values()
        )
        return running + len(self._waiters) >= self._slots

    def _dial_delays(
        self, team: str | None, patience: timedelta, now: timedelta
    ) -> tuple[timedelta, timedelta]:
        """Return how long a new waiter waits for a connection in use before one is dialed.

        The first is for a busy member, the second for others. At most one waits for each connection
        in use, so that a team whose load rises gets more.
        """
        usable = self.open_count if team is None else self._held_by_team[team]
        ahead = sum(waiter.team == team for waiter in self._waiters.values())
        if not self._has_teams or ahead >= usable - self._dials_by_team[team or ""]:
            return timedelta(), timedelta()
        if self._size() < self.limit.value(now):
            delay = timedelta(seconds=NEW_CONNECTION_COST * self._dial_s)
            return delay, delay
        delay = timedelta(seconds=REPLACED_CONNECTION_COST * self._dial_s)
        return delay, max(patience, delay)

    def _take_idle(self, team: str | None, cost_of: ConnectionCost) -> PooledConnection | None:
        idle = self.idle() if team is None else self._idle_by_team.get(team)
        if not idle:
            return None
        # Among equal costs, the most recently used connection is the least likely to be dead.
        chosen = min(reversed(idle), key=lambda connection: cost_of(connection.key))
        self._idle_by_team[chosen.team].remove(chosen)
        return chosen

    def _lease(self, connection: PooledConnection, now: timedelta) -> None:
        connection.use = Use.STATEMENT
        connection.since = connection.leased_at = now

    def _offer(self, connection: PooledConnection, now: timedelta) -> list[Action]:
        """Give a free connection to the first statement that may use it, or make it idle."""
        for waiter in self._waiters.values():
            if waiter.team is None or waiter.team == connection.team:
                del self._waiters[waiter.key]
                self._lease(connection, now)
                return [Assign(waiter.key, connection.key), *self.plan()]
        connection.use, connection.since = Use.IDLE, now
        self._idle_by_team.setdefault(connection.team, []).append(connection)
        if self._draining:
            return [self._close(connection), *self.plan()]
        return self.plan()

    def _make_room(self, view: PoolView, actions: list[Action]) -> bool:
        """Close idle connections if the limit is reached; return whether there is room."""
        excess = self._size() + 1 - view.limit
        idle = self.idle()
        if excess > len(idle):
            return False
        for _ in range(excess):
            victim = self._policy.choose_victim(idle, view)
            idle.remove(victim)
            actions.append(self._close(victim))
            self.counts.replaced += 1
        return True

    def _close(self, connection: PooledConnection) -> Close:
        del self._by_key[connection.key]
        self._held_by_team[connection.team] -= 1
        self._idle_by_team[connection.team].remove(connection)
        return Close(connection.key)

    def _start_dial(self, team: str, now: timedelta) -> Dial:
        self._dials_by_team[team] += 1
        self._held_by_team[team] += 1
        return Dial(team, self._backoff.delay(now))

    def _end_dial(self, team: str) -> None:
        self._dials_by_team[team] -= 1
        self._held_by_team[team] -= 1
