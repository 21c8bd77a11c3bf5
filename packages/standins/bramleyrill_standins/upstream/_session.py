"""State and statements of one session on a member."""

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from bramleyrill_standins.upstream._errors import SqlError
from bramleyrill_standins.upstream._log import Write
from bramleyrill_standins.upstream._sql import Kind, Statement
from bramleyrill_standins.upstream._store import TEXT, Result

if TYPE_CHECKING:
    from bramleyrill_standins.upstream._member import Member

_SET = re.compile(
    r"(?:set\s+(?:session\s+|(?P<local>local\s+))?(?P<name>[\w.]+|time\s+zone)\s*(?:=|\bto\b)?"
    r"\s*(?P<value>.*)|reset\s+(?P<reset>[\w.]+))",
    re.I | re.S,
)
_SHOW = re.compile(r"show\s+([\w.]+|time\s+zone|transaction\s+isolation\s+level)", re.I)
_SAVEPOINT = re.compile(
    r'(savepoint|release(?:\s+savepoint)?|rollback\s+to(?:\s+savepoint)?)\s+"?(\w+)', re.I
)
DEFAULTS = {
    "server_version": "15.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "datestyle": "ISO, MDY",
    "timezone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "search_path": "public",
    "statement_timeout": "0",
    "transaction_isolation": "read committed",
    "application_name": "",
}


class Session:
    """Run statements one after another, inside or outside of a transaction block.

    `status` is PostgreSQL's transaction status: `I`, `T` or `E`; `explicit` is set within a
    transaction block. An implicit transaction spans the statements of one simple query, or all
    extended-protocol messages up to a Sync. `pause` waits for a number of seconds and raises
    SqlError if the session is canceled or terminated meanwhile.
    """

    def __init__(
        self,
        member: "Member",
        pid: int,
        settings: dict[str, str],
        pause: Callable[[float], None],
    ) -> None:
        self.member = member
        self.pid = pid
        self.pause = pause
        self.database = settings.get("database", "")
        self.defaults = {**DEFAULTS, **settings}
        self.settings = dict(self.defaults)
        self.explicit = False
        self.failed = False
        self.prepared: dict[str, Any] = {}
        self._transaction_term = 0
        self._buffered: list[Write] = []
        self._entry_ids: list[str] = []
        self._savepoints: list[tuple[str, int]] = []
        self._settings_before_block: dict[str, str] | None = None
        self._local_settings: dict[str, str] = {}

    @property
    def status(self) -> bytes:
        """Return the transaction status for ReadyForQuery."""
        if not self.explicit:
            return b"I"
        return b"E" if self.failed else b"T"

    @property
    def has_writes(self) -> bool:
        """Return whether the open transaction has writes."""
        return bool(self._buffered)

    def run(self, statement: Statement, parameters: dict[str, Any], alone: bool = False) -> Result:
        """Run one statement; outside of a transaction block, `alone` commits it at once."""
        kind = statement.kind
        if self.failed and self.explicit and not _ends_block(statement):
            raise SqlError("25P02", "current transaction is aborted, commands ignored until end")
        try:
            if kind in (Kind.READ, Kind.WRITE):
                result = self._run_on_tables(statement, parameters, alone)
            else:
                result = self._run_control(statement)
            if alone and not self.explicit:
                self.commit_implicit()
        except SqlError:
            self.fail()
            raise
        return result

    def describe(self, statement: Statement) -> tuple[tuple[str, int], ...]:
        """Return the columns that a statement would yield now."""
        return self.member.describe(statement, self._buffered)

    def fail(self) -> None:
        """Handle an error: roll back an implicit transaction, or mark the block as failed."""
        if self.explicit:
            self.failed = True
        else:
            self._end_transaction()

    def commit_implicit(self) -> None:
        """Commit the writes of the implicit transaction, if any."""
        if not self.explicit and self._buffered:
            self._commit()

    def close(self) -> None:
        """Roll back the open transaction and release all advisory locks."""
        self._end_transaction()
        self.member.locks.release_all(self.pid)

    def _run_on_tables(
        self, statement: Statement, parameters: dict[str, Any], alone: bool
    ) -> Result:
        if statement.kind is Kind.WRITE:
            self._check_writable()
            if alone and not self.explicit and not self._buffered:
                return self.member.run_statement(
                    self, statement, parameters, [], commit=self._check_writable
                )
        result = self.member.run_statement(self, statement, parameters, self._buffered)
        if statement.kind is Kind.WRITE:
            self._check_writable()
            self._buffered.append((statement.sql, parameters))
            if statement.entry_id:
                self._entry_ids.append(statement.entry_id)
        return result

    def _check_writable(self) -> None:
        log = self.member.log
        if log.role != "primary":
            if self._buffered:
                self.member.counters.fence_aborts += 1
            raise SqlError("25006", f"cannot write on a {log.role} member at term {log.term}")
        if not self._buffered:
            self._transaction_term = log.term
        elif self._transaction_term != log.term:
            self.member.counters.fence_aborts += 1
            raise SqlError(
                "25006", f"the transaction is of term {self._transaction_term}, now {log.term}"
            )

    def _run_control(self, statement: Statement) -> Result:
        kind = statement.kind
        if kind is Kind.BEGIN:
            return self._begin()
        if kind is Kind.COMMIT:
            return self._commit_block()
        if kind is Kind.ROLLBACK and not _SAVEPOINT.search(statement.sql):
            self._end_transaction()
            return _command_result("ROLLBACK")
        if kind in (Kind.SAVEPOINT, Kind.ROLLBACK):
            return self._run_savepoint(statement)
        if kind is Kind.SETTING:
            return self._set(statement)
        if kind is Kind.SHOW:
            return self._show(statement)
        if kind is Kind.DISCARD:
            return self._discard()
        if kind is Kind.DEALLOCATE:
            return self._deallocate(statement)
        raise SqlError("0A000", f"{statement.word.upper()} is not supported by the stand-in")

    def _begin(self) -> Result:
        if not self.explicit:
            self.explicit = True
            self._settings_before_block = dict(self.settings)
        return _command_result("BEGIN")

    def _commit_block(self) -> Result:
        if self.failed:
            self._end_transaction()
            return _command_result("ROLLBACK")
        if self._buffered:
            self._commit()
        self._settings_before_block = None
        self._end_transaction()
        return _command_result("COMMIT")

    def _commit(self) -> None:
        try:
            self._check_writable()
            self.member.commit(self._buffered, self._entry_ids)
        finally:
            self._end_transaction()

    def _end_transaction(self) -> None:
        if self._settings_before_block is not None:
            self.settings = self._settings_before_block
        for name, value in self._local_settings.items():
            self.settings[name] = value
        self._local_settings = {}
        self.explicit = self.failed = False
        self._buffered = []
        self._entry_ids = []
        self._savepoints = []
        self._settings_before_block = None

    def _run_savepoint(self, statement: Statement) -> Result:
        match = _SAVEPOINT.search(statement.sql)
        if match is None or not self.explicit:
            raise SqlError("25P01", "savepoints need a transaction block")
        action, name = match.group(1).lower(), match.group(2)
        if action == "savepoint":
            self._savepoints.append((name, len(self._buffered)))
            return _command_result("SAVEPOINT")
        names = [entry[0] for entry in self._savepoints]
        if name not in names:
            raise SqlError("3B001", f'savepoint "{name}" does not exist')
        index = len(names) - 1 - names[::-1].index(name)
        if action.startswith("release"):
            del self._savepoints[index:]
            return _command_result("RELEASE")
        self.failed = False
        del self._buffered[self._savepoints[index][1] :]
        del self._savepoints[index + 1 :]
        return _command_result("ROLLBACK")

    def _set(self, statement: Statement) -> Result:
        match = _SET.match(statement.sql.strip())
        if match is None:
            raise SqlError("42601", "cannot parse the SET statement")
        if match.group("reset"):
            name = match.group("reset").lower()
            if name == "all":
                self.settings = dict(self.defaults)
            elif name in self.defaults:
                self.settings[name] = self.defaults[name]
            else:
                self.settings.pop(name, None)
            return _command_result("RESET")
        name = match.group("name").lower().replace("time zone", "timezone")
        if match.group("local"):
            self._local_settings.setdefault(name, self.settings.get(name, ""))
        value = match.group("value").strip()
        if value.startswith("'") and value.endswith("'"):
            value = value[1:-1].replace("''", "'")
        self.settings[name] = value
        return _command_result("SET")

    def _show(self, statement: Statement) -> Result:
        match = _SHOW.match(statement.sql.strip())
        name = match.group(1).lower() if match else ""
        name = {"time zone": "timezone"}.get(name, name)
        if name not in self.settings:
            raise SqlError("42704", f'unrecognized configuration parameter "{name}"')
        return Result(((name, TEXT),), [(self.settings[name],)], "SHOW")

    def _discard(self) -> Result:
        if self.explicit:
            raise SqlError("25001", "DISCARD ALL cannot run inside a transaction block")
        self.settings = dict(self.defaults)
        self.prepared.clear()
        self.member.locks.release_all(self.pid)
        return _command_result("DISCARD ALL")

    def _deallocate(self, statement: Statement) -> Result:
        name = statement.sql.split()[-1].strip('"')
        if name.lower() == "all":
            self.prepared.clear()
        elif self.prepared.pop(name, None) is None:
            raise SqlError("26000", f'prepared statement "{name}" does not exist')
        return _command_result("DEALLOCATE")


def _ends_block(statement: Statement) -> bool:
    return statement.kind in (Kind.COMMIT, Kind.ROLLBACK)


def _command_result(tag: str) -> Result:
    return Result((), [], tag)
