"""JSON documents that hold the values of several writers.

One value that the parser cannot read, because it is nested too deeply, has a number with too many
digits or bytes that are no UTF-8, must not make the whole document unreadable.
"""

import json
import re
from collections.abc import Collection
from typing import Any

# The fields around the values; a document that is nested more deeply around them is malformed.
MAX_DEPTH = 8
_SPACE = re.compile(r"[ \t\r\n]*+")
_STRING = re.compile(r'"(?:[^"\\]++|\\.)*+"', re.DOTALL)
_SCALAR = re.compile(r"[^\s,\]}]++")
# What may follow a value up to the next one.
_REST = re.compile(r"[^,\]}]*+")
# What a skipped value consists of: strings, brackets, and anything between them.
_TOKEN = re.compile(r'"(?:[^"\\]++|\\.)*+"|[\[{]|[\]}]|[^"\[\]{}]++', re.DOTALL)
# The characters that stand for bytes that are no UTF-8.
_UNDECODED = re.compile("[\udc80-\udcff]")
_decoder = json.JSONDecoder()


class UnreadableValue:
    """Stands for a value that cannot be read; it equals nothing and has no fields."""


UNREADABLE = UnreadableValue()


def read_json(data: bytes, opaque: Collection[str] = (), opaque_items: bool = False) -> Any:
    """Return the value of a JSON document; raise ValueError if it is malformed.

    The fields named in `opaque` have values of other writers, and with `opaque_items` so have the
    items of a document that is a list. Such a value becomes UNREADABLE if it cannot be read, and
    the rest of the document is returned as it is.

    Example: `read_json(b'{"name": "a", "spec": "\xff"}', {"spec"})["spec"] is UNREADABLE`.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = data.decode("utf-8", "surrogateescape")
        return _TolerantReader(text, opaque, opaque_items).read()


class _TolerantReader:
    """Read a document value by value. Methods return a value and the position after it."""

    def __init__(self, text: str, opaque: Collection[str], opaque_items: bool) -> None:
        self._text = text
        self._opaque = opaque
        self._opaque_items = opaque_items

    def read(self) -> Any:
        """Return the value of the whole text; raise ValueError if it is malformed."""
        value, end = self._value(self._skip_space(0), 0)
        if self._skip_space(end) != len(self._text):
            raise ValueError("text after the JSON value")
        return value

    def _value(self, start: int, depth: int) -> tuple[Any, int]:
        first = self._text[start : start + 1]
        is_container = first in ("{", "[") and depth < MAX_DEPTH
        try:
            value, end = _decoder.raw_decode(self._text, start)
        except (ValueError, RecursionError) as error:
            if not is_container:
                raise ValueError(f"malformed JSON at character {start}") from error
        else:
            if not is_container or not _UNDECODED.search(self._text, start, end):
                return value, end
        return self._object(start, depth) if first == "{" else self._array(start, depth)

    def _opaque_value(self, start: int) -> tuple[Any, int]:
        try:
            value, end = _decoder.raw_decode(self._text, start)
        except (ValueError, RecursionError):
            value, end = UNREADABLE, self._skip_value(start)
        rest = _REST.match(self._text, end)
        if rest[0].strip() or _UNDECODED.search(self._text, start, end):
            return UNREADABLE, rest.end()
        return value, end

    def _object(self, start: int, depth: int) -> tuple[dict[str, Any], int]:
        fields: dict[str, Any] = {}
        position = self._skip_space(start + 1)
        if self._is_at(position, "}"):
            return fields, position + 1
        while True:
            string = _STRING.match(self._text, position)
            if string is None:
                raise ValueError(f"no field name at character {position}")
            name, position = _decoder.raw_decode(self._text, position)
            position = self._skip_space(self._after(":", self._skip_space(position)))
            is_opaque = name in self._opaque
            fields[name], position = (
                self._opaque_value(position) if is_opaque else self._value(position, depth + 1)
            )
            position = self._skip_space(position)
            if self._is_at(position, "}"):
                return fields, position + 1
            position = self._skip_space(self._after(",", position))

    def _array(self, start: int, depth: int) -> tuple[list[Any], int]:
        items: list[Any] = []
        position = self._skip_space(start + 1)
        if self._is_at(position, "]"):
            return items, position + 1
        while True:
            is_opaque = self._opaque_items and not depth
            item, position = (
                self._opaque_value(position) if is_opaque else self._value(position, depth + 1)
            )
            items.append(item)
            position = self._skip_space(position)
            if self._is_at(position, "]"):
                return items, position + 1
            position = self._skip_space(self._after(",", position))

    def _skip_value(self, start: int) -> int:
        """Return the position after a value that is not read."""
        first = self._text[start : start + 1]
        if first not in ("{", "["):
            scalar = (_STRING if first == '"' else _SCALAR).match(self._text, start)
            if scalar is None:
                raise ValueError(f"no value at character {start}")
            return scalar.end()
        depth = 0
        for token in _TOKEN.finditer(self._text, start):
            if token[0] in ("{", "["):
                depth += 1
            elif token[0] in ("}", "]"):
                depth -= 1
            if not depth:
                return token.end()
        raise ValueError(f"the value at character {start} does not end")

    def _skip_space(self, position: int) -> int:
        return _SPACE.match(self._text, position).end()

    def _is_at(self, position: int, character: str) -> bool:
        return self._text.startswith(character, position)

    def _after(self, character: str, position: int) -> int:
        if not self._is_at(position, character):
            raise ValueError(f"{character!r} expected at character {position}")
        return position + 1
