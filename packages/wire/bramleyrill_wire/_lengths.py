"""Check of the lengths in an encoded struct, before it is decoded.

The decoder believes them: it allocates as many bytes and reads as many elements as a string or a
list announces, also if the frame is shorter. One damaged length took seconds and all memory.
"""

import struct
from collections.abc import Callable

# Frames nest structs and lists; the decoder would follow any depth.
MAX_DEPTH = 16
# Bytes that a value of a simple type takes: bool, byte, double and the integers.
_SIZE_BY_TYPE = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
_STRING, _STRUCT, _MAP, _SET, _LIST = 11, 12, 13, 14, 15
_FIELD_HEADER_BYTES = 3
_read_int = struct.Struct("!i").unpack_from


def check_lengths(body: bytes) -> None:
    """Raise ValueError if a string or container of an encoded struct exceeds the body.

    Example: `check_lengths(body)`, then decode the body.
    """
    try:
        end = _skip_struct(body, 0, 0)
    except (IndexError, struct.error) as error:
        raise ValueError("the struct does not end") from error
    if end > len(body):
        raise ValueError("the struct does not end")


def _skip_struct(body: bytes, position: int, depth: int) -> int:
    while kind := body[position]:
        position += _FIELD_HEADER_BYTES
        size = _SIZE_BY_TYPE.get(kind)
        if size is not None:
            position += size
        elif kind == _STRING:
            position = _skip_string(body, position)
        else:
            position = _skip_nested(body, position, kind, depth + 1)
    return position + 1


def _skip_string(body: bytes, position: int) -> int:
    (length,) = _read_int(body, position)
    end = position + 4 + length
    if length < 0 or end > len(body):
        raise ValueError("a string exceeds the struct")
    return end


def _skip_nested(body: bytes, position: int, kind: int, depth: int) -> int:
    skip = _nested_by_type.get(kind)
    if skip is None:
        raise ValueError(f"a field has the unknown type {kind}")
    if depth > MAX_DEPTH:
        raise ValueError("the struct is nested too deeply")
    return skip(body, position, depth)


def _skip_list(body: bytes, position: int, depth: int) -> int:
    return _skip_elements(body, position + 1, (body[position],), depth)


def _skip_map(body: bytes, position: int, depth: int) -> int:
    return _skip_elements(body, position + 2, (body[position], body[position + 1]), depth)


def _skip_elements(body: bytes, position: int, kinds: tuple[int, ...], depth: int) -> int:
    (count,) = _read_int(body, position)
    position += 4
    # Each element takes at least a byte.
    if not 0 <= count * len(kinds) <= len(body) - position:
        raise ValueError("a container exceeds the struct")
    for _ in range(count):
        for kind in kinds:
            position = _skip_value(body, position, kind, depth)
    return position


def _skip_value(body: bytes, position: int, kind: int, depth: int) -> int:
    size = _SIZE_BY_TYPE.get(kind)
    if size is not None:
        return position + size
    if kind == _STRING:
        return _skip_string(body, position)
    return _skip_nested(body, position, kind, depth + 1)


_nested_by_type: dict[int, Callable[[bytes, int, int], int]] = {
    _STRUCT: _skip_struct,
    _MAP: _skip_map,
    _SET: _skip_list,
    _LIST: _skip_list,
}
