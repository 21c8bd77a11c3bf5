"""Read fields of the protocol messages that the proxy inspects."""

import struct

from bramleyrill_base import ErrorKind

from bramleyrill_wire.postgres._frames import FrameError

_LENGTH = struct.Struct("!i")
_SHORT = struct.Struct("!H")


def _read_cstring(data: bytes, start: int) -> tuple[str, int]:
    end = data.find(b"\x00", start)
    if end < 0:
        raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "a string has no end")
    try:
        return data[start:end].decode(), end + 1
    except UnicodeDecodeError:
        raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "a string is not UTF-8") from None


def read_query(frame: bytes) -> str:
    """Return the text of a Query frame; raise FrameError if it is malformed."""
    text, end = _read_cstring(frame, 5)
    if end != len(frame):
        raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "a query has bytes after its text")
    return text


def read_parse(frame: bytes) -> tuple[str, str]:
    """Return the statement name and SQL text of a Parse frame."""
    name, end = _read_cstring(frame, 5)
    text, _ = _read_cstring(frame, end)
    return name, text


def read_bind(frame: bytes) -> tuple[str, str]:
    """Return the portal name and statement name of a Bind frame."""
    portal, end = _read_cstring(frame, 5)
    statement, _ = _read_cstring(frame, end)
    return portal, statement


def read_target(frame: bytes) -> tuple[bytes, str]:
    """Return target type (b"S" statement, b"P" portal) and name of a Describe or Close frame."""
    return frame[5:6], _read_cstring(frame, 6)[0]


def read_portal(frame: bytes) -> str:
    """Return the portal name of an Execute frame."""
    return _read_cstring(frame, 5)[0]


def read_tag(frame: bytes) -> str:
    """Return the command tag of a CommandComplete frame."""
    return _read_cstring(frame, 5)[0]


def read_parameter(frame: bytes) -> tuple[str, str]:
    """Return the name and value of a ParameterStatus frame."""
    name, end = _read_cstring(frame, 5)
    return name, _read_cstring(frame, end)[0]


def read_key_data(frame: bytes) -> tuple[int, int]:
    """Return the process ID and secret key of a BackendKeyData frame."""
    if len(frame) != 13:
        raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "a key is not of 8 bytes")
    return struct.unpack_from("!II", frame, 5)


def read_fields(frame: bytes) -> dict[str, str]:
    """Return the fields of an ErrorResponse or NoticeResponse by one-letter field type."""
    fields = {}
    position = 5
    while position < len(frame) and frame[position]:
        code = chr(frame[position])
        end = frame.find(b"\x00", position + 1)
        if end < 0:
            raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "a field has no end")
        fields[code] = frame[position + 1 : end].decode(errors="replace")
        position = end + 1
    return fields


def read_row(frame: bytes) -> list[bytes | None]:
    """Return the values of a DataRow frame, with None for NULL."""
    values: list[bytes | None] = []
    try:
        (count,) = _SHORT.unpack_from(frame, 5)
        position = 7
        for _ in range(count):
            (length,) = _LENGTH.unpack_from(frame, position)
            position += 4
            if length < 0:
                values.append(None)
                continue
            values.append(frame[position : position + length])
            position += length
    except struct.error:
        position = len(frame) + 1
    if position > len(frame):
        raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "a row is cut short")
    return values


def read_sasl_initial(frame: bytes) -> tuple[str, bytes]:
    """Return the mechanism and data of a SASLInitialResponse frame."""
    mechanism, end = _read_cstring(frame, 5)
    if end + 4 > len(frame):
        raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "a SASL response is cut short")
    return mechanism, frame[end + 4 :]


def read_password(frame: bytes) -> str:
    """Return the password of a PasswordMessage frame."""
    return _read_cstring(frame, 5)[0]
