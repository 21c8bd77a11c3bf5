"""Extended query protocol: prepared statements and portals of one session."""

import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from attrs import define
from bramleyrill_wire import postgres

from bramleyrill_standins.upstream import _frames as frames
from bramleyrill_standins.upstream._errors import SqlError
from bramleyrill_standins.upstream._session import Session
from bramleyrill_standins.upstream._sql import Kind, Statement, parse, split
from bramleyrill_standins.upstream._store import TEXT, Result
from bramleyrill_standins.upstream._values import decode_parameters

if TYPE_CHECKING:
    from bramleyrill_standins.upstream._member import Member

EXTENDED_KINDS = frozenset((b"P", b"B", b"D", b"E", b"C"))


@define
class Prepared:
    """A prepared statement and the type OIDs of its parameters."""

    statement: Statement
    oids: tuple[int, ...]


@define
class Portal:
    """A bound statement; `result` is set once it has run, `sent` is the number of rows sent."""

    prepared: Prepared
    parameters: dict[str, Any]
    formats: tuple[int, ...]
    result: Result | None = None
    sent: int = 0


class ExtendedQuery:
    """Handle Parse, Bind, Describe, Execute and Close messages.

    `append` buffers frames for the caller; `send_rows` does so for rows of a result in the given
    formats.
    """

    def __init__(
        self,
        member: "Member",
        session: Session,
        append: Callable[[bytes], None],
        send_rows: Callable[[Result, list, tuple[int, ...]], None],
    ) -> None:
        self._member = member
        self._session = session
        self._append = append
        self._send_rows = send_rows
        self._prepared: dict[str, Prepared] = session.prepared
        self._portals: dict[str, Portal] = {}
        self._handlers = {
            b"P": self._parse,
            b"B": self._bind,
            b"D": self._describe,
            b"E": self._execute,
            b"C": self._close_named,
        }

    def handle(self, kind: bytes, body: bytes) -> None:
        """Handle one message; raise SqlError if its answer is an error."""
        self._handlers[kind](body)

    def close_portals(self) -> None:
        """Drop all portals, which end with their transaction."""
        self._portals.clear()

    def _parse(self, body: bytes) -> None:
        name, offset = frames.read_cstring(body)
        sql, offset = frames.read_cstring(body, offset)
        (count,) = struct.unpack_from("!h", body, offset)
        oids = struct.unpack_from(f"!{count}i", body, offset + 2)
        parts = split(sql)
        if len(parts) > 1:
            raise SqlError("42601", "cannot insert multiple commands into a prepared statement")
        if name and name in self._prepared:
            raise SqlError("42P05", f'prepared statement "{name}" already exists')
        self._prepared[name] = Prepared(parse(parts[0] if parts else ""), oids)
        self._append(postgres.PARSE_COMPLETE)

    def _bind(self, body: bytes) -> None:
        portal, offset = frames.read_cstring(body)
        name, offset = frames.read_cstring(body, offset)
        prepared = self._find(self._prepared, name, "26000", "prepared statement")
        parameters, formats = decode_parameters(body, offset, prepared.oids)
        expected = prepared.statement.parameter_count
        if len(parameters) < expected:
            raise SqlError("08P01", f"bind supplies {len(parameters)} parameters, not {expected}")
        self._portals[portal] = Portal(prepared, parameters, formats)
        self._append(postgres.BIND_COMPLETE)

    def _describe(self, body: bytes) -> None:
        name, _ = frames.read_cstring(body, 1)
        if body[:1] == b"P":
            portal = self._find(self._portals, name, "34000", "portal")
            columns = ()
            if portal.prepared.statement.returns_rows:
                columns = self._result_of(portal).columns
            self._append(self._columns_frame(columns, portal.formats))
            return
        prepared = self._find(self._prepared, name, "26000", "prepared statement")
        count = prepared.statement.parameter_count
        oids = [oid or TEXT for oid in prepared.oids] + [TEXT] * (count - len(prepared.oids))
        self._append(postgres.frame(b"t", struct.pack(f"!h{len(oids)}i", len(oids), *oids)))
        columns = self._session.describe(prepared.statement)
        self._append(self._columns_frame(columns, ()))

    def _columns_frame(
        self, columns: tuple[tuple[str, int], ...], formats: tuple[int, ...]
    ) -> bytes:
        if not columns:
            return postgres.NO_DATA
        return frames.row_description(columns, formats)

    def _execute(self, body: bytes) -> None:
        name, offset = frames.read_cstring(body)
        (limit,) = struct.unpack_from("!i", body, offset)
        portal = self._find(self._portals, name, "34000", "portal")
        if portal.prepared.statement.kind is Kind.EMPTY:
            self._append(postgres.EMPTY_QUERY)
            return
        result = self._result_of(portal)
        end = portal.sent + limit if limit > 0 else len(result.rows)
        self._send_rows(result, result.rows[portal.sent : end], portal.formats)
        portal.sent = min(end, len(result.rows))
        if portal.sent < len(result.rows):
            self._append(postgres.frame(b"s"))
        else:
            self._append(postgres.command_complete(result.tag))

    def _result_of(self, portal: Portal) -> Result:
        if portal.result is None:
            portal.result = self._session.run(portal.prepared.statement, portal.parameters)
        return portal.result

    def _close_named(self, body: bytes) -> None:
        name, _ = frames.read_cstring(body, 1)
        (self._portals if body[:1] == b"P" else self._prepared).pop(name, None)
        self._append(postgres.CLOSE_COMPLETE)

    def _find(self, table: dict[str, Any], name: str, sqlstate: str, what: str) -> Any:
        if name not in table:
            raise SqlError(sqlstate, f'{what} "{name}" does not exist')
        return table[name]
