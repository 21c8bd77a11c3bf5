"""Readers of YAML nodes that collect every error with its place."""

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


class Errors:
    """Collect errors while a text is read."""

    def __init__(self) -> None:
        self.found: list[TextError] = []

    def add(self, node: Node, path: str, message: str, advice: str = "") -> None:
        """Record an error at the start of `node`."""
        mark = node.start_mark
        self.found.append(TextError(mark.line + 1, mark.column + 1, path, message, advice))


def compose(source: str, errors: Errors) -> Node | None:
    """Return the node graph of a YAML document, or None with the syntax error recorded."""
    try:
        # libyaml's parser: one in pure Python took 3.4 s for a text of 1,800 databases.
        return yaml.compose(source, Loader=yaml.CSafeLoader)
    except yaml.MarkedYAMLError as problem:
        mark = problem.problem_mark or problem.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        message = f"not valid YAML: {problem.problem or problem.context}"
        errors.found.append(TextError(line, column, "", message, "check indentation and quotes"))
    except (yaml.YAMLError, ValueError) as problem:
        errors.found.append(TextError(1, 1, "", f"not valid YAML: {problem}"))
    return None


class Section:
    """Read one mapping; keys that were never asked for are errors when it is closed."""

    def __init__(self, node: Node | None, path: str, errors: Errors) -> None:
        self.node = node
        self.path = path
        self.errors = errors
        self.nodes_by_key: dict[str, Node] = {}
        self._keys: dict[str, Node] = {}
        self._asked: set[str] = set()
        if node is None:
            return
        if not isinstance(node, MappingNode):
            errors.add(node, path, "a mapping is expected", "write `key: value` lines below it")
            return
        for key, value in node.value:
            self._take(key, value)

    def _take(self, key: Node, value: Node) -> None:
        name = str(key.value)
        if name in self.nodes_by_key:
            self.errors.add(key, self._at(name), "the key stands twice", "remove one of the two")
            return
        self.nodes_by_key[name] = value
        self._keys[name] = key

    def _at(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def fail(self, key: str, message: str, advice: str = "") -> None:
        """Record an error at the value of `key`, or at the section if it has none."""
        node = self.nodes_by_key.get(key, self.node)
        if node is not None:
            self.errors.add(node, self._at(key), message, advice)

    def section(self, key: str, required: bool = False) -> "Section":
        """Return the mapping under `key`; an empty one if it is missing."""
        node = self._node(key, required)
        return Section(node, self._at(key), self.errors)

    def sections(self) -> Iterable[tuple[str, "Section"]]:
        """Yield every key with the mapping under it."""
        for key, node in self.nodes_by_key.items():
            self._asked.add(key)
            yield key, Section(node, self._at(key), self.errors)

    def _node(self, key: str, required: bool) -> Node | None:
        self._asked.add(key)
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
            self.errors.add(node, self._at(key), "a single value is expected", f"write {expected}")
            return default
        try:
            return read(str(node.value))
        except (ValueError, KeyError):
            shown = str(node.value)[:40]
            self.errors.add(node, self._at(key), f"{shown!r} is not valid", f"write {expected}")
            return default

    def text(self, key: str, default: str = "", required: bool = False) -> str:
        """Return a string."""
        return self._scalar(key, default, required, str, "a string")

    def integer(self, key: str, default: int, least: int = 0, required: bool = False) -> int:
        """Return a whole number of at least `least`."""

        def read(value: str) -> int:
            number = int(value)
            if number < least:
                raise ValueError
            return number

        return self._scalar(key, default, required, read, f"a whole number from {least} up")

    def share(self, key: str, default: float, required: bool = False) -> float:
        """Return a number from 0 to 1."""

        def read(value: str) -> float:
            number = float(value)
            if not 0.0 <= number <= 1.0:
                raise ValueError
            return number

        return self._scalar(key, default, required, read, "a number from 0 to 1")

    def flag(self, key: str, default: bool) -> bool:
        """Return true or false."""

        def read(value: str) -> bool:
            lowered = value.lower()
            if lowered not in _TRUE | _FALSE:
                raise ValueError
            return lowered in _TRUE

        return self._scalar(key, default, False, read, "true or false")

    def duration(
        self,
        key: str,
        default: timedelta,
        required: bool = False,
        least: timedelta = timedelta(),
    ) -> timedelta:
        """Return a duration such as `250ms`, `1.5s`, `2m` or `1h`."""

        def read(value: str) -> timedelta:
            duration = parse_duration(value)
            if duration < least:
                raise ValueError
            return duration

        least_ms = least / timedelta(milliseconds=1)
        expected = f"a duration such as 250ms or 2s, at least {least_ms:g}ms"
        return self._scalar(key, default, required, read, expected)

    def choice(self, key: str, kind: type[E], default: E, required: bool = False) -> E:
        """Return a member of an enum, written as its name in lower case."""
        names = {member.name.lower(): member for member in kind}
        expected = "one of " + ", ".join(names)
        return self._scalar(key, default, required, names.__getitem__, expected)

    def close(self) -> None:
        """Record an error for each key that was never asked for."""
        for key, node in self._keys.items():
            if key not in self._asked:
                near = difflib.get_close_matches(key, sorted(self._asked), n=1)
                known = ", ".join(sorted(self._asked))
                advice = f"did you mean `{near[0]}`?" if near else f"known here: {known}"
                self.errors.add(node, self._at(key), "this setting is not known", advice)


def parse_duration(value: str) -> timedelta:
    """Return the duration that `value` writes, such as `250ms`; raise ValueError if it is none."""
    match = _DURATION.match(value.strip())
    if match is None:
        raise ValueError(f"not a duration: {value!r}")
    return timedelta(seconds=float(match[1]) * _SECONDS_BY_UNIT[match[2]])
