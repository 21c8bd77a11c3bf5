"""Decoding of parameters and encoding of result values, in text and binary format."""

import struct
from typing import Any

from bramleyrill_standins.upstream._errors import SqlError
from bramleyrill_standins.upstream._store import BOOL, BYTEA, FLOAT8, INT8

_BINARY_INTEGERS = {21: "!h", 23: "!i", INT8: "!q", 26: "!I"}
_BINARY_FLOATS = {700: "!f", FLOAT8: "!d"}
_INTEGERS = frozenset((20, 21, 23))
_FLOATS = frozenset((700, 701))


def decode_parameters(
    body: bytes, offset: int, oids: tuple[int, ...]
) -> tuple[dict[str, Any], tuple[int, ...]]:
    """Return the parameters, keyed by number, and the result formats of a Bind message."""
    formats, offset = _read_int16s(body, offset)
    (count,) = struct.unpack_from("!h", body, offset)
    offset += 2
    parameters = {}
    for index in range(count):
        (size,) = struct.unpack_from("!i", body, offset)
        offset += 4
        value = None
        if size >= 0:
            oid = oids[index] if index < len(oids) else 0
            value = _decode(body[offset : offset + size], oid, _format(formats, index))
            offset += size
        parameters[str(index + 1)] = value
    return parameters, _read_int16s(body, offset)[0]


def _read_int16s(body: bytes, offset: int) -> tuple[tuple[int, ...], int]:
    (count,) = struct.unpack_from("!h", body, offset)
    return struct.unpack_from(f"!{count}h", body, offset + 2), offset + 2 + 2 * count


def _format(formats: tuple[int, ...], index: int) -> int:
    if not formats:
        return 0
    return formats[0] if len(formats) == 1 else formats[index]


def _decode(data: bytes, oid: int, binary: int) -> Any:
    if binary:
        if oid in _BINARY_INTEGERS:
            return struct.unpack(_BINARY_INTEGERS[oid], data)[0]
        if oid in _BINARY_FLOATS:
            return struct.unpack(_BINARY_FLOATS[oid], data)[0]
        if oid == BOOL:
            return data[0]
        return data if oid == BYTEA else data.decode()
    try:
        value = data.decode()
        if oid in _INTEGERS:
            return int(value)
        if oid in _FLOATS:
            return float(value)
    except ValueError:
        raise SqlError("22P02", "invalid input syntax for a parameter") from None
    if oid == BOOL:
        return int(value in ("t", "true", "1", "on"))
    if oid == BYTEA and value.startswith("\\x"):
        return bytes.fromhex(value[2:])
    return value


def encode_row(
    row: tuple[Any, ...], columns: tuple[tuple[str, int], ...], formats: tuple[int, ...]
) -> list[bytes | None]:
    """Return the values of a row in the formats that the caller requested."""
    return [
        _encode(value, columns[index][1], _format(formats, index))
        for index, value in enumerate(row)
    ]


def _encode(value: Any, oid: int, binary: int) -> bytes | None:
    if value is None:
        return None
    if oid == BOOL:
        true = value in (1, True, "t", "true")
        return (b"\x01" if true else b"\x00") if binary else (b"t" if true else b"f")
    if binary and oid == INT8:
        return struct.pack("!q", int(value))
    if binary and oid == FLOAT8:
        return struct.pack("!d", float(value))
    if isinstance(value, bytes):
        return value if binary else b"\\x" + value.hex().encode()
    return str(value).encode()
