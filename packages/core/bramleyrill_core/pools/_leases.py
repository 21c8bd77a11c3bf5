"""Leases of pooled connections; this code is on the hot path."""

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

# Connections of a member that are not pooled: the control connection of its holder, and three for
# the probes by the holders of its group.
RESERVED_CONNECTIONS = 4
# Connections kept idle per slot, so that a burst does not wait for dials.
WARM_CONNECTIONS_PER_SLOT = 2
_NOT_HOLDER_RETRY_HINT = timedelta(milliseconds=100)


def pooled_limit(pool: Pool) -> int:
    """Return the maximum number of pooled connections to the member."""
    return pool.limits.connections - RESERVED_CONNECTIONS


def lease(world: World, member: MemberId) -> Result[ConnectionId, Problem]:
    """Lease an idle connection to `member` for exclusive use until `release_connection`.

    Fail with NOT_RUN_UNREACHABLE if this VM does not hold the member, with NOT_RUN_DRAINING if
    the member is leaving, and with NOT_RUN_OVERLOADED if no connection is idle. In the last case
    the pool opens one more connection at the next tick if its limit allows.
    """
    tables = world.tables(PoolTables)
    pool = tables.pools.by_id.get(member)
    if pool is None or pool.state is not PoolState.OPEN:
        return Failure(
            Problem(ErrorKind.NOT_RUN_UNREACHABLE, "not the holder", _NOT_HOLDER_RETRY_HINT)
        )
    if not accepts_new_work(world, member):
        return Failure(Problem(ErrorKind.NOT_RUN_DRAINING, "member is leaving"))
    while pool.idle:
        connection = tables.connections.by_id.get(pool.idle.pop())
        if connection is not None and connection.closing_at is None:
            connection.leased = True
            return Success(connection.id)
    pool.unmet_leases += 1
    return Failure(Problem(ErrorKind.NOT_RUN_OVERLOADED, "no connection", pool.limits.dial))


def release_connection(world: World, connection: ConnectionId, clean: bool) -> list[Effect]:
    """End the lease of a connection.

    It is reused only if it is known to be `clean`, which means that it has no open transaction and
    no changed session state, and that it still has lock S. Otherwise it is closed.
    """
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
def handle_connection_wanted(world: World, message: ConnectionWanted) -> list[Effect]:
    """Lease a connection and report the result."""
    result = lease(world, message.member)
    if isinstance(result, Success):
        return [ConnectionLeased(message.member, result.unwrap())]
    return [ConnectionRefused(message.member, result.failure().kind)]


@handles(ConnectionReturned)
def handle_connection_returned(world: World, message: ConnectionReturned) -> list[Effect]:
    """End the lease of a connection."""
    return release_connection(world, message.connection, message.clean)


def set_transaction_idle(world: World, connection: ConnectionId, idle: bool) -> None:
    """Set whether a leased connection is in a transaction without a statement in flight."""
    row = world.tables(PoolTables).connections.by_id.get(connection)
    if row is not None:
        row.idle_transaction = idle


def close(world: World, row: Connection) -> list[Effect]:
    """Start to close a connection.

    It counts against the limit until the shell reports `ConnectionLost`.
    """
    if row.closing_at is not None:
        return []
    row.closing_at = world.clock.monotonic()
    return [CloseConnection(row.id)]
