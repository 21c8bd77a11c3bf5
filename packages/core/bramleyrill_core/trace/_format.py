"""The lines of a trace file."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import frozen


class TraceError(ValueError):
    """A line that does not follow the format."""


@frozen
class Line:
    """One line: its number, its first word, the words behind it, the JSON object at its end."""

    number: int
    verb: str
    words: tuple[str, ...]
    fields: dict[str, Any]


_VERBS = frozenset(["at", "tick", "expect", "never", "rule", "guards", "on"])


def parse_lines(source: Iterable[str]) -> Iterator[Line]:
    """Yield the lines of a trace; comments start with `#` at the start of a line.

    Verbs: `on VM...` (or `all`) chooses the VMs that the next lines concern; `at MS TYPE JSON`;
    `tick MS` or `tick MS every STEP`, which ticks from the present time up to MS; `expect TYPE
    JSON`; `never TYPE JSON`; `rule off NAME`; `guards NAME`.
    """
    for number, raw in enumerate(source, 1):
        text = raw.strip()
        if not text or text.startswith("#"):
            continue
        head, brace, tail = text.partition("{")
        words = head.split()
        if not words or words[0] not in _VERBS:
            raise TraceError(f"line {number}: no such verb; known: {', '.join(sorted(_VERBS))}")
        try:
            fields = json.loads(brace + tail) if brace else {}
        except json.JSONDecodeError as error:
            raise TraceError(f"line {number}: {error}") from None
        yield Line(number, words[0], tuple(words[1:]), fields)
