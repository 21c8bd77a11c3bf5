"""Advisory locks of the holder at a member.

The control connection has the exclusive holder lock, and each pooled connection a share of the pool
lock. So only one VM at a time can hold a member, and a new holder can check that all pooled
connections of the previous one are closed.
"""

from datetime import timedelta

from bramleyrill_base import log_event
from bramleyrill_core import MemberId

from bramleyrill_daemon._upstream import UpstreamConnection, UpstreamLogin

# Keys of the advisory locks. Callers share the key space with the proxy, so these are far from the
# small numbers that applications usually choose.
HOLDER_LOCK_KEY = 1_651_666_285  # exclusive, control connection
POOL_LOCK_KEY = 1_651_666_286  # shared, pooled connections

CALL_TIMEOUT = timedelta(seconds=1)
DIAL_TIMEOUT = timedelta(seconds=2)

_PIDS_SQL = "SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND classid = 0 AND objid = {key}"
HOLDER_PIDS_SQL = _PIDS_SQL.format(key=HOLDER_LOCK_KEY)
POOL_PIDS_SQL = _PIDS_SQL.format(key=POOL_LOCK_KEY)
ACQUIRE_POOL_LOCK_SHARED = f"SELECT pg_try_advisory_lock_shared({POOL_LOCK_KEY})"


class LockHeldError(Exception):
    """Another holder has the holder lock, or pooled connections of it are still open."""


def _is_true(rows: list[list[str | None]]) -> bool:
    return bool(rows) and rows[0][0] in ("t", "true", "1")


def _parse_pids(rows: list[list[str | None]]) -> set[int]:
    return {int(row[0]) for row in rows if row and row[0]}


def acquire_holder_lock(login: UpstreamLogin, member: MemberId, evict: bool) -> UpstreamConnection:
    """Acquire the holder lock on a new control connection and return the connection.

    No pooled connection of an earlier holder is open afterwards; `evict` terminates the backends
    of the earlier holder. Raise OSError or UpstreamError if the member cannot be asked,
    LockHeldError if another holder has a lock.
    """
    connection = UpstreamConnection.dial(login, DIAL_TIMEOUT)
    try:
        _acquire_locks(connection, member, evict)
    except BaseException:
        connection.close()
        raise
    return connection


def _acquire_locks(connection: UpstreamConnection, member: MemberId, evict: bool) -> None:
    def query(sql: str) -> list[list[str | None]]:
        return connection.query(sql, CALL_TIMEOUT)

    acquire_holder_sql = f"SELECT pg_try_advisory_lock({HOLDER_LOCK_KEY})"
    if not _is_true(query(acquire_holder_sql)):
        if not evict:
            raise LockHeldError("another holder has the holder lock")
        _terminate_backends(connection, member, HOLDER_PIDS_SQL)
        if not _is_true(query(acquire_holder_sql)):
            raise LockHeldError("the holder lock is still taken after the eviction")
    acquire_pool_sql = f"SELECT pg_try_advisory_lock({POOL_LOCK_KEY})"
    if not _is_true(query(acquire_pool_sql)):
        # This connection has the holder lock, so the pool lock belongs to a holder that lost its
        # control connection and must close its pool. Only a dead one is evicted.
        if not evict:
            raise LockHeldError("pooled connections of another holder are still open")
        _terminate_backends(connection, member, POOL_PIDS_SQL)
        if not _is_true(query(acquire_pool_sql)):
            raise LockHeldError(
                "pooled connections of another holder are still open after the eviction"
            )
    query(f"SELECT pg_advisory_unlock({POOL_LOCK_KEY})")


def _terminate_backends(connection: UpstreamConnection, member: MemberId, pids_sql: str) -> None:
    for pid in _parse_pids(connection.query(pids_sql, CALL_TIMEOUT)) - {connection.pid}:
        log_event("holder_evicted", member=member, pid=pid)
        connection.query(f"SELECT pg_terminate_backend({pid})", CALL_TIMEOUT)


def still_holds_lock(connection: UpstreamConnection) -> bool:
    """Return whether a control connection still has the holder lock.

    Raise OSError or UpstreamError if the connection is lost.
    """
    return connection.pid in _parse_pids(connection.query(HOLDER_PIDS_SQL, CALL_TIMEOUT))


def join_pool(connection: UpstreamConnection, holder_pid: int) -> bool:
    """Acquire the pool lock, then return whether `holder_pid` still has the holder lock.

    With this order, a new holder either finds the pool lock taken, or has the holder lock before
    the check and makes it fail.
    """
    if not _is_true(connection.query(ACQUIRE_POOL_LOCK_SHARED, CALL_TIMEOUT)):
        return False
    return _parse_pids(connection.query(HOLDER_PIDS_SQL, CALL_TIMEOUT)) == {holder_pid}


def reset_connection(connection: UpstreamConnection, rollback: bool, holder_pid: int) -> bool:
    """Reset the session of a connection; return whether the connection may be used again.

    DISCARD ALL releases advisory locks, so the pool lock is acquired and the holder lock checked
    again.
    """
    if rollback:
        connection.query("ROLLBACK", CALL_TIMEOUT)
    connection.query("DISCARD ALL", CALL_TIMEOUT)
    return join_pool(connection, holder_pid)
