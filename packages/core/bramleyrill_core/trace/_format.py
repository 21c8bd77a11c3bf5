"""Parser for the lines of a trace file."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import frozen


class TraceError(ValueError):
    """A line of a trace is invalid or cannot be replayed."""


@frozen
class Line:
    """One line: its number, its verb, the words after the verb, and the JSON object at the end."""

    number: int
    verb: str
    words: tuple[str, ...]
    fields: dict[str, Any]


_VERBS = frozenset(["at", "tick", "expect", "never", "rule", "guards", "on"])


def parse_lines(source: Iterable[str]) -> Iterator[Line]:
    """Yield the parsed lines of a trace, without empty lines and comments, which start with `#`.

    Raise TraceError for an invalid line. The verbs are:

    - `on VM...` or `on all` selects the VMs for the next lines;
    - `at MS TYPE JSON` handles a message at the given time;
    - `tick MS` ticks at the given time, `tick MS every STEP` every STEP ms until then;
    - `expect TYPE JSON` and `never TYPE JSON` check the effects since the last `at`;
    - `rule off NAME` switches off a safety rule;
    - `guards NAME` names a rule without which the trace fails.
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
