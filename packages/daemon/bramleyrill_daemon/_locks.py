"""The holder's locks at a member: E of its control connection, S of each pooled connection."""

from datetime import timedelta

from bramleyrill_base import log_event
from bramleyrill_core import MemberId

from bramleyrill_daemon._upstream import UpstreamConnection, UpstreamLogin

# Keys of the advisory locks. Callers share the key space with the proxy; these are far from the
# small numbers that applications choose.
HOLDER_LOCK_KEY = 1_651_666_285  # E, exclusive
POOL_LOCK_KEY = 1_651_666_286  # S, shared by pooled connections

CALL_TIMEOUT = timedelta(seconds=1)
DIAL_TIMEOUT = timedelta(seconds=2)

_PIDS_SQL = "SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND classid = 0 AND objid = {key}"
HOLDER_PIDS_SQL = _PIDS_SQL.format(key=HOLDER_LOCK_KEY)
POOL_PIDS_SQL = _PIDS_SQL.format(key=POOL_LOCK_KEY)
ACQUIRE_POOL_LOCK_SHARED = f"SELECT pg_try_advisory_lock_shared({POOL_LOCK_KEY})"


class LockHeldError(Exception):
    """Another holder has the lock, or connections of it are left."""


def _is_true(rows: list[list[str | None]]) -> bool:
    return bool(rows) and rows[0][0] in ("t", "true", "1")


def _parse_pids(rows: list[list[str | None]]) -> set[int]:
    return {int(row[0]) for row in rows if row and row[0]}


def acquire_holder_lock(login: UpstreamLogin, member: MemberId, evict: bool) -> UpstreamConnection:
    """Take E on a new control connection and prove that no pool of an earlier holder is left.

    `evict` ends the backends of the earlier holder. Raise OSError or UpstreamError when the
    member cannot be asked, LockHeldError when another holder has the locks.
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
            raise LockHeldError("another holder has the lock")
        _terminate_backends(connection, member, HOLDER_PIDS_SQL)
        if not _is_true(query(acquire_holder_sql)):
            raise LockHeldError("the lock was not released")
    acquire_pool_sql = f"SELECT pg_try_advisory_lock({POOL_LOCK_KEY})"
    if not _is_true(query(acquire_pool_sql)):
        # E is ours, so whoever holds S belongs to a holder that has lost its control connection
        # and must close its pool; only a dead one is not waited for.
        if not evict:
            raise LockHeldError("connections of another holder are left")
        _terminate_backends(connection, member, POOL_PIDS_SQL)
        if not _is_true(query(acquire_pool_sql)):
            raise LockHeldError("connections of another holder were not closed")
    query(f"SELECT pg_advisory_unlock({POOL_LOCK_KEY})")


def _terminate_backends(connection: UpstreamConnection, member: MemberId, pids_sql: str) -> None:
    for pid in _parse_pids(connection.query(pids_sql, CALL_TIMEOUT)) - {connection.pid}:
        log_event("holder_evicted", member=member, pid=pid)
        connection.query(f"SELECT pg_terminate_backend({pid})", CALL_TIMEOUT)


def still_holds_lock(connection: UpstreamConnection) -> bool:
    """Tell whether a control connection still has E; raise OSError if it is lost."""
    return connection.pid in _parse_pids(connection.query(HOLDER_PIDS_SQL, CALL_TIMEOUT))


def join_pool(connection: UpstreamConnection, holder_pid: int) -> bool:
    """Take S on a pooled connection, then check that E is still held by `holder_pid`.

    In this order a new holder either finds S taken, or has E before the check.
    """
    if not _is_true(connection.query(ACQUIRE_POOL_LOCK_SHARED, CALL_TIMEOUT)):
        return False
    return _parse_pids(connection.query(HOLDER_PIDS_SQL, CALL_TIMEOUT)) == {holder_pid}


def reset_connection(connection: UpstreamConnection, rollback: bool, holder_pid: int) -> bool:
    """Make a connection as new; tell whether it may be used again.

    DISCARD ALL releases advisory locks, so S is taken again and E checked once more.
    """
    if rollback:
        connection.query("ROLLBACK", CALL_TIMEOUT)
    connection.query("DISCARD ALL", CALL_TIMEOUT)
    return join_pool(connection, holder_pid)
