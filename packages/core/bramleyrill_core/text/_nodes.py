"""Readers for YAML nodes, which collect all errors with their positions."""

import difflib
import re
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import Enum
from typing import Any, TypeVar

import yaml
from yaml.nodes import MappingNode, Node, ScalarNode

from bramleyrill_core.text._errors import TextError

E = TypeVar("E", bound=Enum)

_DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)\Z")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_TRUE = frozenset({"true", "yes", "on"})
_FALSE = frozenset({"false", "no", "off"})


class ErrorCollector:
    """Collects the errors of a text while it is parsed."""

    def __init__(self) -> None:
        self.collected: list[TextError] = []

    def add(self, node: Node, path: str, message: str, advice: str = "") -> None:
        """Record an error at the start of `node`."""
        position = node.start_mark
        self.collected.append(
            TextError(position.line + 1, position.column + 1, path, message, advice)
        )


def compose(source: str, errors: ErrorCollector) -> Node | None:
    """Return the node graph of a YAML document, or None with the syntax error recorded."""
    try:
        # CSafeLoader uses libyaml; the pure Python parser took 3.4 s for a text of 1,800 databases.
        return yaml.compose(source, Loader=yaml.CSafeLoader)
    except yaml.MarkedYAMLError as error:
        position = error.problem_mark or error.context_mark
        line, column = (position.line + 1, position.column + 1) if position else (1, 1)
        message = f"not valid YAML: {error.problem or error.context}"
        errors.collected.append(
            TextError(line, column, "", message, "check indentation and quotes")
        )
    except (yaml.YAMLError, ValueError) as error:
        errors.collected.append(TextError(1, 1, "", f"not valid YAML: {error}"))
    return None


class Section:
    """Reader of one mapping; `close` reports the keys that were never read as errors."""

    def __init__(self, node: Node | None, path: str, errors: ErrorCollector) -> None:
        self.node = node
        self.path = path
        self.errors = errors
        self.nodes_by_key: dict[str, Node] = {}
        self._key_nodes: dict[str, Node] = {}
        self._read_keys: set[str] = set()
        if node is None:
            return
        if not isinstance(node, MappingNode):
            errors.add(node, path, "a mapping is expected", "write `key: value` lines below it")
            return
        for key, value in node.value:
            self._add_key(key, value)

    def _add_key(self, key: Node, value: Node) -> None:
        name = str(key.value)
        if name in self.nodes_by_key:
            self.errors.add(
                key, self._path_of(name), "the key appears twice", "remove one of the two"
            )
            return
        self.nodes_by_key[name] = value
        self._key_nodes[name] = key

    def _path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def fail(self, key: str, message: str, advice: str = "") -> None:
        """Record an error at the value of `key`, or at the mapping if the key is missing."""
        node = self.nodes_by_key.get(key, self.node)
        if node is not None:
            self.errors.add(node, self._path_of(key), message, advice)

    def section(self, key: str, required: bool = False) -> "Section":
        """Return the reader of the mapping under `key`; an empty one if the key is missing."""
        node = self._node(key, required)
        return Section(node, self._path_of(key), self.errors)

    def sections(self) -> Iterable[tuple[str, "Section"]]:
        """Yield each key with the reader of the mapping under it."""
        for key, node in self.nodes_by_key.items():
            self._read_keys.add(key)
            yield key, Section(node, self._path_of(key), self.errors)

    def _node(self, key: str, required: bool) -> Node | None:
        self._read_keys.add(key)
        node = self.nodes_by_key.get(key)
        if node is None and required and self.node is not None:
            self.errors.add(self.node, self.path, f"`{key}` is missing", f"add `{key}: ...`")
        return node

    def _scalar(
        self, key: str, default: Any, required: bool, read: Callable[[str], Any], expected: str
    ) -> Any:
        node = self._node(key, required)
        if node is None:
            return default
        if not isinstance(node, ScalarNode):
            self.errors.add(
                node, self._path_of(key), "a single value is expected", f"write {expected}"
            )
            return default
        try:
            return read(str(node.value))
        except (ValueError, KeyError):
            excerpt = str(node.value)[:40]
            self.errors.add(
                node, self._path_of(key), f"{excerpt!r} is not valid", f"write {expected}"
            )
            return default

    def text(self, key: str, default: str = "", required: bool = False) -> str:
        """Return the string under `key`."""
        return self._scalar(key, default, required, str, "a string")

    def integer(self, key: str, default: int, minimum: int = 0, required: bool = False) -> int:
        """Return the whole number under `key`; a number below `minimum` is an error."""

        def read(value: str) -> int:
            number = int(value)
            if number < minimum:
                raise ValueError
            return number

        return self._scalar(key, default, required, read, f"a whole number from {minimum} up")

    def share(self, key: str, default: float, required: bool = False) -> float:
        """Return the number from 0 to 1 under `key`."""

        def read(value: str) -> float:
            number = float(value)
            if not 0.0 <= number <= 1.0:
                raise ValueError
            return number

        return self._scalar(key, default, required, read, "a number from 0 to 1")

    def flag(self, key: str, default: bool) -> bool:
        """Return the boolean under `key`."""

        def read(value: str) -> bool:
            lowercase = value.lower()
            if lowercase not in _TRUE | _FALSE:
                raise ValueError
            return lowercase in _TRUE

        return self._scalar(key, default, False, read, "true or false")

    def duration(
        self,
        key: str,
        default: timedelta,
        required: bool = False,
        minimum: timedelta = timedelta(),
    ) -> timedelta:
        """Return the duration under `key`, such as `250ms`, `1.5s`, `2m` or `1h`."""

        def read(value: str) -> timedelta:
            duration = parse_duration(value)
            if duration < minimum:
                raise ValueError
            return duration

        minimum_ms = minimum / timedelta(milliseconds=1)
        expected = f"a duration such as 250ms or 2s, at least {minimum_ms:g}ms"
        return self._scalar(key, default, required, read, expected)

    def choice(self, key: str, enum_type: type[E], default: E, required: bool = False) -> E:
        """Return the member of `enum_type` under `key`, written as its name in lower case."""
        members_by_name = {member.name.lower(): member for member in enum_type}
        expected = "one of " + ", ".join(members_by_name)
        return self._scalar(key, default, required, members_by_name.__getitem__, expected)

    def close(self) -> None:
        """Record an error for each key that was never read."""
        for key, node in self._key_nodes.items():
            if key not in self._read_keys:
                close_matches = difflib.get_close_matches(key, sorted(self._read_keys), n=1)
                known_keys = ", ".join(sorted(self._read_keys))
                advice = (
                    f"did you mean `{close_matches[0]}`?"
                    if close_matches
                    else f"known here: {known_keys}"
                )
                self.errors.add(node, self._path_of(key), "this setting is not known", advice)


def parse_duration(value: str) -> timedelta:
    """Parse a duration such as `250ms`; raise ValueError if `value` is not a duration."""
    match = _DURATION.match(value.strip())
    if match is None:
        raise ValueError(f"not a duration: {value!r}")
    return timedelta(seconds=float(match[1]) * _SECONDS_BY_UNIT[match[2]])
