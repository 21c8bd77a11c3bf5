"""Tables of one member, in an in-memory sqlite database."""

import re
import sqlite3
from collections.abc import Callable
from typing import Any

from attrs import frozen

from bramleyrill_standins.upstream._errors import SqlError, from_sqlite
from bramleyrill_standins.upstream._log import Entry, Write
from bramleyrill_standins.upstream._sql import Kind, Statement, parse

BOOL, BYTEA, INT8, TEXT, FLOAT8 = 16, 17, 20, 25, 701
_OID_BY_TYPE = {int: INT8, float: FLOAT8, bytes: BYTEA, bool: BOOL}
_OID_BY_DECLARED = (("INT", INT8), ("SERIAL", INT8), ("BOOL", BOOL), ("BYTEA", BYTEA))
_OID_BY_DECLARED += (("DOUBLE", FLOAT8), ("REAL", FLOAT8), ("FLOAT", FLOAT8))
_BOOLEAN_FUNCTIONS = frozenset(
    (
        "pg_try_advisory_lock",
        "pg_try_advisory_lock_shared",
        "pg_advisory_unlock",
        "pg_advisory_unlock_shared",
        "pg_terminate_backend",
        "granted",
    )
)
_INTEGER_NAMES = frozenset(
    ("term", "position", "last_term", "count", "pid", "classid", "objid", "pg_backend_pid")
)
_CALL = re.compile(r"^(\w+)\s*\(.*\)$", re.S)
_NAME = re.compile(r"^[\w]+$")


@frozen
class Result:
    """Result of a statement: columns as (name, type OID), rows and the command tag."""

    columns: tuple[tuple[str, int], ...]
    rows: list[tuple[Any, ...]]
    tag: str


class Store:
    """Run translated statements; a session sees committed data and its own buffered writes."""

    def __init__(self) -> None:
        self._functions: list[tuple[str, int, Callable]] = []
        self._oid_by_column: dict[str, int] = {}
        self._open()

    def _open(self) -> None:
        self._db = sqlite3.connect(":memory:", isolation_level=None, cached_statements=512)
        self._db.execute("PRAGMA foreign_keys = ON")
        self._db.execute(
            "CREATE TEMP TABLE pg_locks (locktype, database, classid, objid, objsubid, pid,"
            " mode, granted)"
        )
        self._db.execute(
            "CREATE TEMP TABLE pg_stat_activity (pid, usename, application_name, state)"
        )
        for name, arity, function in self._functions:
            self._db.create_function(name, arity, function)

    def add_function(self, name: str, arity: int, function: Callable) -> None:
        """Make a Python function callable from statements."""
        self._functions.append((name, arity, function))
        self._db.create_function(name, arity, function)

    def fill_view(self, view: str, rows: list[tuple[Any, ...]]) -> None:
        """Replace the rows of a system view."""
        self._db.execute(f"DELETE FROM {view}")
        if rows:
            placeholders = ", ".join("?" * len(rows[0]))
            self._db.executemany(f"INSERT INTO {view} VALUES ({placeholders})", rows)

    def run(
        self, statement: Statement, parameters: dict[str, Any], buffered: list[Write]
    ) -> Result:
        """Run one statement after the buffered writes of its transaction, then roll all back."""
        if not buffered and statement.kind is Kind.READ:
            return self._execute(statement, parameters)
        self._db.execute("BEGIN")
        try:
            self._replay(buffered)
            return self._execute(statement, parameters)
        finally:
            self._db.execute("ROLLBACK")

    def commit(self, writes: list[Write]) -> Result | None:
        """Commit the writes, all or none, and return the result of the last one."""
        result = None
        self._db.execute("BEGIN")
        try:
            for sql, values in writes:
                result = self._execute(parse(sql), values)
            self._db.execute("COMMIT")
        except BaseException:
            self._db.execute("ROLLBACK")
            raise
        self._update_column_oids(writes)
        return result

    def rebuild(self, entries: list[Entry]) -> None:
        """Rebuild the tables from the log entries."""
        self._db.close()
        self._open()
        for entry in entries:
            self.commit(list(entry.writes))

    def describe(self, statement: Statement, buffered: list[Write]) -> tuple[tuple[str, int], ...]:
        """Return the columns that a statement yields, without lasting effects."""
        nulls = {str(number): None for number in range(1, statement.parameter_count + 1)}
        self._db.execute("BEGIN")
        try:
            self._replay(buffered)
            return self._execute(statement, nulls).columns
        except SqlError as problem:
            # NULL parameters may violate a constraint, which says nothing about the columns.
            if problem.sqlstate.startswith("23"):
                return ()
            raise
        finally:
            self._db.execute("ROLLBACK")

    def _replay(self, buffered: list[Write]) -> None:
        for sql, values in buffered:
            self._execute(parse(sql), values)
        self._update_column_oids(buffered)

    def _execute(self, statement: Statement, parameters: dict[str, Any]) -> Result:
        try:
            cursor = self._db.execute(statement.translated, parameters)
            rows = cursor.fetchall() if cursor.description else []
        except sqlite3.Error as problem:
            raise from_sqlite(problem) from None
        names = [column[0] for column in cursor.description or ()]
        columns = tuple(self._column(name, index, rows) for index, name in enumerate(names))
        return Result(columns, rows, _command_tag(statement, cursor.rowcount, len(rows)))

    def _column(self, name: str, index: int, rows: list[tuple[Any, ...]]) -> tuple[str, int]:
        call = _CALL.match(name)
        if call:
            name = call.group(1)
        if name in _BOOLEAN_FUNCTIONS:
            return name, BOOL
        if name in _INTEGER_NAMES:
            return name, INT8
        oid = self._oid_by_column.get(name.lower())
        if oid is None:
            value = next((row[index] for row in rows if row[index] is not None), "")
            oid = _OID_BY_TYPE.get(type(value), TEXT)
        return name if _NAME.match(name) else "?column?", oid

    def _update_column_oids(self, writes: list[Write]) -> None:
        if not any(parse(sql).word in ("create", "alter", "drop") for sql, _ in writes):
            return
        self._oid_by_column.clear()
        tables = self._db.execute("SELECT name FROM main.sqlite_master WHERE type = 'table'")
        for (table,) in tables.fetchall():
            for row in self._db.execute(f'PRAGMA table_info("{table}")').fetchall():
                declared = row[2].upper()
                for part, oid in _OID_BY_DECLARED:
                    if part in declared:
                        self._oid_by_column[row[1].lower()] = oid
                        break
                else:
                    self._oid_by_column[row[1].lower()] = TEXT


def _command_tag(statement: Statement, changed: int, returned: int) -> str:
    if statement.kind is Kind.READ:
        return f"SELECT {returned}"
    if statement.word == "insert":
        return f"INSERT 0 {max(changed, returned)}"
    if statement.word in ("update", "delete"):
        return f"{statement.word.upper()} {max(changed, returned)}"
    if statement.word == "truncate":
        return "TRUNCATE TABLE"
    words = statement.sql.split()
    return " ".join(words[:2]).upper()
