"""Build the protocol messages that the proxy itself sends."""

import struct
from collections.abc import Iterable, Sequence

_LENGTH = struct.Struct("!I")
_SHORT = struct.Struct("!H")
_TWO_INTS = struct.Struct("!II")

SYNC = b"S\x00\x00\x00\x04"
FLUSH = b"H\x00\x00\x00\x04"
TERMINATE = b"X\x00\x00\x00\x04"
EMPTY_QUERY = b"I\x00\x00\x00\x04"
PARSE_COMPLETE = b"1\x00\x00\x00\x04"
BIND_COMPLETE = b"2\x00\x00\x00\x04"
CLOSE_COMPLETE = b"3\x00\x00\x00\x04"
NO_PARAMETERS = b"t\x00\x00\x00\x06\x00\x00"
NO_DATA = b"n\x00\x00\x00\x04"
AUTHENTICATION_OK = b"R\x00\x00\x00\x08\x00\x00\x00\x00"
AUTHENTICATION_CLEARTEXT = b"R\x00\x00\x00\x08\x00\x00\x00\x03"
READY_SIZE = 6  # length of a ReadyForQuery frame in bytes

TEXT_OID = 25

_READY_BY_STATUS = {status: b"Z\x00\x00\x00\x05" + status for status in (b"I", b"T", b"E")}


def frame(kind: bytes, payload: bytes) -> bytes:
    """Return a frame whose type byte is `kind`."""
    return kind + _LENGTH.pack(len(payload) + 4) + payload


def _cstring(text: str | bytes) -> bytes:
    raw = text.encode() if isinstance(text, str) else text
    # A zero byte inside the text would end the field early and corrupt the rest of the frame.
    return raw.replace(b"\x00", b"") + b"\x00"


def authentication_sasl(mechanisms: Sequence[str] = ("SCRAM-SHA-256",)) -> bytes:
    """Return AuthenticationSASL, which offers `mechanisms`."""
    return frame(b"R", _LENGTH.pack(10) + b"".join(map(_cstring, mechanisms)) + b"\x00")


def authentication_sasl_continue(data: bytes) -> bytes:
    """Return AuthenticationSASLContinue with the server's first message."""
    return frame(b"R", _LENGTH.pack(11) + data)


def authentication_sasl_final(data: bytes) -> bytes:
    """Return AuthenticationSASLFinal with the server's last message."""
    return frame(b"R", _LENGTH.pack(12) + data)


def parameter_status(name: str, value: str) -> bytes:
    """Return ParameterStatus."""
    return frame(b"S", _cstring(name) + _cstring(value))


def backend_key_data(pid: int, secret: int) -> bytes:
    """Return BackendKeyData; `pid` and `secret` are unsigned 32-bit numbers."""
    return frame(b"K", _TWO_INTS.pack(pid, secret))


def error_response(
    sqlstate: str,
    message: str,
    detail: str = "",
    hint: str = "",
    severity: str = "ERROR",
) -> bytes:
    """Return ErrorResponse; severity FATAL tells the client that the connection is closed."""
    return frame(b"E", _notice_fields(severity, sqlstate, message, detail, hint))


def notice_response(
    sqlstate: str, message: str, detail: str = "", hint: str = "", severity: str = "NOTICE"
) -> bytes:
    """Return NoticeResponse."""
    return frame(b"N", _notice_fields(severity, sqlstate, message, detail, hint))


def _notice_fields(severity: str, sqlstate: str, message: str, detail: str, hint: str) -> bytes:
    pairs = ((b"S", severity), (b"V", severity), (b"C", sqlstate), (b"M", message))
    optional = ((b"D", detail), (b"H", hint))
    parts = [code + _cstring(value) for code, value in pairs]
    parts += [code + _cstring(value) for code, value in optional if value]
    return b"".join(parts) + b"\x00"


def ready_for_query(status: bytes) -> bytes:
    """Return ReadyForQuery; `status` is b"I", b"T" or b"E"."""
    return _READY_BY_STATUS[status]


def command_complete(tag: str) -> bytes:
    """Return CommandComplete with its tag, such as `INSERT 0 1`."""
    return frame(b"C", _cstring(tag))


def row_description(columns: Iterable[tuple[str, int]]) -> bytes:
    """Return RowDescription of columns `(name, type OID)` in text format."""
    described = [
        _cstring(name) + struct.pack("!IHIhih", 0, 0, oid, -1, -1, 0) for name, oid in columns
    ]
    return frame(b"T", _SHORT.pack(len(described)) + b"".join(described))


def data_row(values: Sequence[bytes | None]) -> bytes:
    """Return DataRow; None stands for NULL."""
    parts = [
        b"\xff\xff\xff\xff" if value is None else _LENGTH.pack(len(value)) + value
        for value in values
    ]
    return frame(b"D", _SHORT.pack(len(parts)) + b"".join(parts))


def query(sql: str) -> bytes:
    """Return a simple Query."""
    return frame(b"Q", _cstring(sql))


def parse(name: str, sql: str, types: Sequence[int] = ()) -> bytes:
    """Return Parse, which prepares `sql` as `name`; `types` holds parameter type OIDs."""
    oids = b"".join(map(_LENGTH.pack, types))
    return frame(b"P", _cstring(name) + _cstring(sql) + _SHORT.pack(len(types)) + oids)


def bind(portal: str, statement: str, values: Sequence[bytes | None] = ()) -> bytes:
    """Return Bind with parameters and results in text format."""
    parts = [
        b"\xff\xff\xff\xff" if value is None else _LENGTH.pack(len(value)) + value
        for value in values
    ]
    head = _cstring(portal) + _cstring(statement) + b"\x00\x00"
    return frame(b"B", head + _SHORT.pack(len(parts)) + b"".join(parts) + b"\x00\x00")


def describe(kind: bytes, name: str) -> bytes:
    """Return Describe of a statement (b"S") or portal (b"P")."""
    return frame(b"D", kind + _cstring(name))


def execute(portal: str, max_rows: int = 0) -> bytes:
    """Return Execute of a portal; a `max_rows` of 0 means no limit."""
    return frame(b"E", _cstring(portal) + _LENGTH.pack(max_rows))


def close(kind: bytes, name: str) -> bytes:
    """Return Close of a statement (b"S") or portal (b"P")."""
    return frame(b"C", kind + _cstring(name))


def password_message(data: bytes) -> bytes:
    """Return PasswordMessage or SASLResponse, which have the same format."""
    return frame(b"p", data)


def sasl_initial_response(mechanism: str, data: bytes) -> bytes:
    """Return SASLInitialResponse."""
    return frame(b"p", _cstring(mechanism) + _LENGTH.pack(len(data)) + data)
