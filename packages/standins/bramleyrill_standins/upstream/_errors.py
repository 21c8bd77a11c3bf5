"""Errors of a member, with their SQLSTATE."""

import sqlite3


class SqlError(Exception):
    """An error with its SQLSTATE; a `fatal` one ends the session."""

    def __init__(self, sqlstate: str, message: str, fatal: bool = False) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate
        self.message = message
        self.fatal = fatal


_SQLSTATES = (
    ("UNIQUE constraint", "23505"),
    ("NOT NULL constraint", "23502"),
    ("FOREIGN KEY constraint", "23503"),
    ("CHECK constraint", "23514"),
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("no such function", "42883"),
    ("already exists", "42P07"),
    ("syntax error", "42601"),
    ("unrecognized token", "42601"),
    ("incomplete input", "42601"),
)


def from_sqlite(problem: sqlite3.Error) -> SqlError:
    """Return the PostgreSQL error that corresponds to an error of sqlite."""
    message = str(problem)
    for part, sqlstate in _SQLSTATES:
        if part in message:
            return SqlError(sqlstate, message)
    return SqlError("XX000", message)
