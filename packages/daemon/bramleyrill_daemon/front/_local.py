"""Statements that the proxy answers without an upstream."""

import re

from attrs import frozen
from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import StatementClass, World
from bramleyrill_core.sessions import ClassifiedStatement, Session, apply_setting, issue_token
from bramleyrill_wire import postgres as pg
from returns.result import Failure

SETTING_PREFIX = "bramleyrill."
_SHOW_SUBSTRING = "bramleyrill"

_SHOW = re.compile(r"\s*SHOW\s+(bramleyrill\.\w+)\s*;?\s*$", re.IGNORECASE)
_DEALLOCATE = re.compile(r'\s*DEALLOCATE\s+(?:PREPARE\s+)?("[^"]+"|\w+)\s*;?\s*$', re.IGNORECASE)
# Settings that drivers send on their own, with a check of the value. They are accepted and
# ignored, as the proxy offers only these values.
_ACCEPTED_SETTINGS = {
    "application_name": lambda _: True,
    "client_encoding": lambda value: value.upper().replace("-", "") in ("UTF8", "UNICODE"),
}


@frozen
class LocalStatement:
    """A SET (with `value`) or SHOW (without) of a setting of the proxy, or a DEALLOCATE.

    `deallocates` is the prepared statement that DEALLOCATE names, or "" for all.
    """

    name: str = ""
    value: str | None = None
    deallocates: str | None = None

    @property
    def tag(self) -> str:
        """Return the command tag for CommandComplete."""
        if self.deallocates is not None:
            return "DEALLOCATE" if self.deallocates else "DEALLOCATE ALL"
        return "SHOW" if self.value is None else "SET"


def read_local(sql: str, statement: ClassifiedStatement) -> LocalStatement | None:
    """Return the local statement, or None if an upstream must run it."""
    if statement.kind is StatementClass.SET and statement.setting is not None:
        name, value = statement.setting
        if name.startswith(SETTING_PREFIX) or (
            name in _ACCEPTED_SETTINGS and _ACCEPTED_SETTINGS[name](value)
        ):
            return LocalStatement(name, value)
    elif (
        statement.kind is StatementClass.READ
        and _SHOW_SUBSTRING in sql.lower()
        and (match := _SHOW.match(sql))
    ):
        return LocalStatement(match[1].lower())
    elif statement.kind is StatementClass.WRITE and (match := _DEALLOCATE.match(sql)):
        word = match[1]
        if word.upper() == "ALL":
            return LocalStatement(deallocates="")
        return LocalStatement(deallocates=word[1:-1] if word[0] == '"' else word.lower())
    return None


def refuse_setting(statement: ClassifiedStatement, in_transaction: bool) -> Problem | None:
    """Return the problem of a SET outside a transaction, or None for any other statement.

    Its setting would be lost when the connection returns to the pool.
    """
    if statement.kind is not StatementClass.SET or in_transaction:
        return None
    name = statement.setting[0] if statement.setting else "this form of SET"
    detail = f"{name} outside of a transaction: its connection is shared; use SET LOCAL in one"
    return Problem(ErrorKind.NOT_SUPPORTED, detail)


def run_local(world: World, session: Session, local: LocalStatement) -> bytes | Problem:
    """Execute the statement and return the frames of its result, without CommandComplete.

    For DEALLOCATE the caller updates the prepared statements.
    """
    if local.deallocates is not None:
        return b""
    if local.value is None:
        value = _read_setting(world, session, local.name)
        if value is None:
            return Problem(ErrorKind.BAD_SETTING, f"no setting named {local.name!r}")
        return pg.data_row([value.encode()])
    if not local.name.startswith(SETTING_PREFIX):
        return b""
    result = apply_setting(world, session, local.name, local.value)
    return result.failure() if isinstance(result, Failure) else b""


def describe_local(local: LocalStatement) -> bytes:
    """Return the frame that describes the statement's result."""
    if local.value is None and local.deallocates is None:
        return pg.row_description([(local.name, pg.TEXT_OID)])
    return pg.NO_DATA


def _read_setting(world: World, session: Session, name: str) -> str | None:
    if name == "bramleyrill.rank":
        return session.rank.name.lower()
    if name == "bramleyrill.age":
        return str(round(session.age.total_seconds() * 1000))
    if name == "bramleyrill.repeatable":
        return "on" if session.repeatable else "off"
    if name == "bramleyrill.token":
        if session.mark is None:
            return ""
        return issue_token(world, session.database, session.mark)
    return None
