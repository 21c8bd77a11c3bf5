"""Leases of pooled connections, on the hot path."""

from datetime import timedelta

from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._core import handles
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import MemberId
from bramleyrill_core._world import World
from bramleyrill_core.pools._leaving import accepts_new_work
from bramleyrill_core.pools._messages import (
    CloseConnection,
    ConnectionId,
    ConnectionLeased,
    ConnectionRefused,
    ConnectionReturned,
    ConnectionWanted,
)
from bramleyrill_core.pools._tables import Connection, Pool, PoolState, PoolTables

# Of a member's connections, one is the holder's control connection and three are for the probes
# of the holders of its group.
RESERVED_CONNECTIONS = 4
# Idle connections kept, for each slot: a burst must not wait for dials.
WARM_PER_SLOT = 2
_LOCK_HINT = timedelta(milliseconds=100)


def pooled_limit(pool: Pool) -> int:
    """Return how many pooled connections the member allows this VM."""
    return pool.limits.connections - RESERVED_CONNECTIONS


def lease(world: World, member: MemberId) -> Result[ConnectionId, Problem]:
    """Return an idle connection to `member`, which is the caller's alone until it is given back.

    Without one it fails as not run, and the pool dials one more at the next tick if the limit
    allows: NOT_RUN_UNREACHABLE while this VM does not hold the member, NOT_RUN_DRAINING when the
    member is leaving, NOT_RUN_OVERLOADED when all connections are in use.
    """
    tables = world.tables(PoolTables)
    pool = tables.pools.by_id.get(member)
    if pool is None or pool.state is not PoolState.OPEN:
        return Failure(Problem(ErrorKind.NOT_RUN_UNREACHABLE, "not the holder", _LOCK_HINT))
    if not accepts_new_work(world, member):
        return Failure(Problem(ErrorKind.NOT_RUN_DRAINING, "member is leaving"))
    while pool.idle:
        connection = tables.connections.by_id.get(pool.idle.pop())
        if connection is not None and connection.closing_at is None:
            connection.leased = True
            return Success(connection.id)
    pool.wanted += 1
    return Failure(Problem(ErrorKind.NOT_RUN_OVERLOADED, "no connection", pool.limits.dial))


def release_connection(world: World, connection: ConnectionId, clean: bool) -> list[Effect]:
    """Take back a leased connection; one that is not provably clean is closed, not reused."""
    tables = world.tables(PoolTables)
    row = tables.connections.by_id.get(connection)
    if row is None or not row.leased:
        return []
    row.leased = row.idle_transaction = False
    pool = tables.pools.by_id[row.member]
    reusable = clean or not world.rules.on("close_unclean")
    if reusable and pool.state is PoolState.OPEN:
        row.idle_since = world.clock.monotonic()
        pool.idle.append(connection)
        return []
    return close(world, row)


@handles(ConnectionWanted)
def note_wanted(world: World, message: ConnectionWanted) -> list[Effect]:
    """Lease a connection."""
    result = lease(world, message.member)
    if isinstance(result, Success):
        return [ConnectionLeased(message.member, result.unwrap())]
    return [ConnectionRefused(message.member, result.failure().kind)]


@handles(ConnectionReturned)
def note_returned(world: World, message: ConnectionReturned) -> list[Effect]:
    """Take back a leased connection."""
    return release_connection(world, message.connection, message.clean)


def set_transaction_idle(world: World, connection: ConnectionId, idle: bool) -> None:
    """Note that a leased connection has no statement in flight, or has one again."""
    row = world.tables(PoolTables).connections.by_id.get(connection)
    if row is not None:
        row.idle_transaction = idle


def close(world: World, row: Connection) -> list[Effect]:
    """Close a connection; it counts until the shell reports that it is gone."""
    if row.closing_at is not None:
        return []
    row.closing_at = world.clock.monotonic()
    return [CloseConnection(row.id)]
