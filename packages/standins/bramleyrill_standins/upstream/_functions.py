"""SQL functions of a member: control of the group, advisory locks and backends."""

import re
from typing import TYPE_CHECKING, Any

from bramleyrill_standins.upstream._errors import SqlError
from bramleyrill_standins.upstream._log import STATUS_COLUMNS
from bramleyrill_standins.upstream._sql import Statement, parse
from bramleyrill_standins.upstream._store import BOOL, INT8, TEXT, Result

if TYPE_CHECKING:
    from bramleyrill_standins.upstream._member import Member
    from bramleyrill_standins.upstream._session import Session

_CALL = re.compile(r"\bgroup_(status|fence|promote|follow)\s*\(([^()]*)\)", re.I)
_ONLY_CALL = re.compile(r"\s*select\s+(?:\*\s+from\s+)?group_\w+\s*\([^()]*\)\s*;?\s*", re.I)
_SIDE_EFFECT = re.compile(r"\b(pg_terminate_backend|pg_(?:try_)?advisory_\w+)\s*\(", re.I)
_STATUS_TYPES = tuple(
    (name, INT8 if name in ("term", "position", "last_term") else TEXT) for name in STATUS_COLUMNS
)
# Long enough for a handshake with a responsive leader, short compared with the permit wait.
FOLLOW_WAIT_S = 0.3


def register_functions(member: "Member") -> None:
    """Register the functions that return without waiting in the member's store."""
    store, locks = member.store, member.locks

    def current() -> int:
        return member.current_pid

    store.add_function("pg_backend_pid", 0, current)
    store.add_function("pg_try_advisory_lock", 1, lambda key: locks.try_lock(current(), int(key)))
    store.add_function(
        "pg_try_advisory_lock_shared", 1, lambda key: locks.try_lock(current(), int(key), True)
    )
    store.add_function("pg_advisory_unlock", 1, lambda key: locks.unlock(current(), int(key)))
    store.add_function(
        "pg_advisory_unlock_shared", 1, lambda key: locks.unlock(current(), int(key), True)
    )
    store.add_function("pg_advisory_unlock_all", 0, lambda: locks.release_all(current()))
    store.add_function("pg_terminate_backend", 1, lambda pid: member.terminate(int(pid)))
    store.add_function("pg_sleep", 1, lambda seconds: "")
    store.add_function("version", 0, lambda: "PostgreSQL 15.0 (bramleyrill stand-in)")
    store.add_function("current_database", 0, lambda: member.current_database)
    store.add_function("pg_is_in_recovery", 0, lambda: member.log.role != "primary")
    store.add_function("repeat", 2, lambda part, times: part * int(times))
    store.add_function("current_setting", 1, lambda name: member.current_settings.get(name.lower()))
    store.add_function("now", 0, member.now)


def run_group_call(
    member: "Member", session: "Session", statement: Statement, parameters: dict[str, Any]
) -> Result | Statement:
    """Run the `group_...` call of a statement.

    Returns the status row if the statement is only the call. Otherwise returns the statement with
    the row in place of the call. A statement without such a call is returned unchanged.
    """
    call = _CALL.search(statement.sql)
    if call is None:
        return statement
    arguments = [_argument(part, parameters) for part in call.group(2).split(",") if part.strip()]
    _call(member, session, call.group(1).lower(), arguments)
    row = member.log.status()
    if _ONLY_CALL.fullmatch(statement.sql):
        return Result(_STATUS_TYPES, [row], "SELECT 1")
    columns = ", ".join(
        f"{value!r} AS {name}" for value, name in zip(row, STATUS_COLUMNS, strict=True)
    )
    start, end = call.span()
    return parse(f"{statement.sql[:start]}(SELECT {columns}) AS group_row{statement.sql[end:]}")


def columns_without_running(statement: Statement) -> tuple[tuple[str, int], ...] | None:
    """Return the columns of a statement whose side effects forbid running it for a Describe.

    Returns None for all other statements.
    """
    if _CALL.search(statement.sql):
        return _STATUS_TYPES
    call = _SIDE_EFFECT.search(statement.sql)
    return ((call.group(1).lower(), BOOL),) if call else None


def _call(member: "Member", session: "Session", name: str, arguments: list[Any]) -> None:
    expected = {"status": 0, "fence": 1, "promote": 1, "follow": 2}[name]
    if len(arguments) != expected:
        raise SqlError("42883", f"group_{name} takes {expected} arguments")
    if name == "fence":
        member.fence(int(arguments[0]))
    elif name == "promote":
        member.promote(int(arguments[0]))
    elif name == "follow":
        member.follow(int(arguments[0]), str(arguments[1]))
        waited = 0.0
        while member.log.follow_pending and waited < FOLLOW_WAIT_S:
            session.pause(0.01)
            waited += 0.01


def _argument(part: str, parameters: dict[str, Any]) -> Any:
    part = part.strip().partition("::")[0]
    if part.startswith("$"):
        return parameters[part[1:]]
    return part[1:-1] if part.startswith("'") else part
