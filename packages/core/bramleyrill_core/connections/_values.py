"""Connections and waiters of a pool, and the actions that the decision asks the pool for."""

from collections.abc import Hashable
from datetime import timedelta
from enum import Enum, auto
from typing import NamedTuple

from attrs import define


class Use(Enum):
    """What a connection is used for.

    A TRANSACTION has a statement in progress; a RESTING one waits for its caller's next statement.
    """

    IDLE = auto()
    STATEMENT = auto()
    TRANSACTION = auto()
    RESTING = auto()


@define(eq=False)
class PooledConnection:
    """An open connection of one team.

    `key` is the pool's own object for it. `since` is the start of its present use, `leased_at`
    the time at which the present or last lease began.
    """

    key: Hashable
    team: str
    since: timedelta
    leased_at: timedelta
    use: Use = Use.IDLE


@define(eq=False)
class Waiter:
    """A statement that waits for a connection of its team; any team's serves if that is None.

    No connection is dialed for it before `dial_at`, or `busy_dial_at` if statements that wait would
    leave slots of the member unused. `blocked_since` is the time since which one
    would have been dialed if there had been room, or None.
    """

    key: Hashable
    team: str | None
    dial_at: timedelta
    busy_dial_at: timedelta
    blocked_since: timedelta | None = None


class Assign(NamedTuple):
    """Give the connection to the waiter."""

    waiter: Hashable
    connection: Hashable


class Dial(NamedTuple):
    """Open a connection in the name of the team, after `delay`."""

    team: str
    delay: timedelta


class Close(NamedTuple):
    """Close an idle connection, which is no longer part of the pool."""

    connection: Hashable


Action = Assign | Dial | Close


@define
class ConnectionCounts:
    """Totals since the start of a pool.

    `requested` counts the statements that asked for a connection. `replaced` counts the idle
    connections that were closed to make room for another team's, `reached_limit` the dials that
    the member refused for too many connections.
    """

    requested: int = 0
    dialed: int = 0
    replaced: int = 0
    reached_limit: int = 0

    def __add__(self, other: "ConnectionCounts") -> "ConnectionCounts":
        """Return the sums of the totals."""
        return ConnectionCounts(
            self.requested + other.requested,
            self.dialed + other.dialed,
            self.replaced + other.replaced,
            self.reached_limit + other.reached_limit,
        )
