"""Replay of traces: one core a VM, one clock for all."""

import importlib
import pkgutil
from collections.abc import Callable, Iterable
from datetime import timedelta
from pathlib import Path
from typing import Any

from attrs import define, field

import bramleyrill_core
from bramleyrill_core._core import Core
from bramleyrill_core._messages import Effect
from bramleyrill_core.trace._codec import decode, encode
from bramleyrill_core.trace._format import Line, TraceError, parse_lines
from bramleyrill_core.trace._requests import RequestTables  # noqa: F401 (registers messages)
from bramleyrill_core.trace._worlds import VM_NAMES, build_cores

# Every subsystem registers its messages and systems when it is imported.
for _module in pkgutil.iter_modules(bramleyrill_core.__path__):
    if _module.ispkg and _module.name != "trace":
        importlib.import_module(f"bramleyrill_core.{_module.name}")


@define(repr=False)
class ReplayResult:
    """Outcome of one file: what was missed, the rules it guards, lines and effects counted."""

    name: str
    misses: list[str] = field(factory=list)
    guards: list[str] = field(factory=list)
    events: int = 0
    checks: int = 0

    @property
    def passed(self) -> bool:
        """Tell whether every stated outcome was met, and at least one was stated."""
        return not self.misses and self.checks > 0

    def __str__(self) -> str:
        if self.passed:
            return f"ok {self.name}: {self.events} events, {self.checks} outcomes"
        return f"MISSED {self.name}: {'; '.join(self.misses) or 'no outcome is stated'}"


@define
class _Run:
    cores: dict[str, Core]
    result: ReplayResult
    current: list[str]
    since_at: dict[str, list[Effect]] = field(factory=dict)

    def move_to(self, milliseconds: str) -> None:
        for core in self.cores.values():
            core.world.clock.advance_to(timedelta(milliseconds=float(milliseconds)))


def replay(paths: Iterable[str | Path], rules_off: Iterable[str] = ()) -> list[ReplayResult]:
    """Replay trace files and return one result for each.

    A file that cannot be read or parsed counts as missed. `rules_off` names rules to switch off
    in addition to those in the files.
    """
    results = []
    for path in paths:
        try:
            lines = Path(path).read_text(encoding="utf-8").splitlines()
        except (OSError, UnicodeDecodeError) as error:
            results.append(ReplayResult(Path(path).name, [f"cannot be read: {error.strerror}"]))
            continue
        results.append(replay_lines(Path(path).name, lines, rules_off))
    return results


def replay_lines(name: str, lines: Iterable[str], rules_off: Iterable[str] = ()) -> ReplayResult:
    """Replay the lines of one trace."""
    run = _Run(build_cores(), ReplayResult(name), [VM_NAMES[0]])
    for rule in rules_off:
        _switch_off(run, rule)
    try:
        for line in parse_lines(lines):
            _VERBS[line.verb](run, line)
    except TraceError as error:
        run.result.misses.append(str(error))
    return run.result


def _at(run: _Run, line: Line) -> None:
    try:
        milliseconds, kind = line.words
        message = decode(kind, line.fields)
        run.move_to(milliseconds)
        run.since_at = {vm: run.cores[vm].handle(message) for vm in run.current}
    except Exception as error:
        # cattrs raises groups of many kinds; whatever it is, the line is at fault.
        raise TraceError(f"line {line.number}: {error!r}") from error
    run.result.events += 1


def _tick(run: _Run, line: Line) -> None:
    words = line.words
    now = run.cores[VM_NAMES[0]].world.clock.monotonic() / timedelta(milliseconds=1)
    times = [float(words[0])]
    if len(words) == 3 and words[1] == "every":
        count = int((times[0] - now) // float(words[2]))
        steps = [now + float(words[2]) * (n + 1) for n in range(count)]
        times = steps if steps and steps[-1] == times[0] else steps + times
    for time in times:
        run.move_to(str(time))
        for vm in run.current:
            run.since_at.setdefault(vm, []).extend(run.cores[vm].tick())
    run.result.events += 1


def _matches(wanted: Any, found: Any) -> bool:
    if isinstance(wanted, dict) and isinstance(found, dict):
        return all(key in found and _matches(value, found[key]) for key, value in wanted.items())
    return wanted == found


def _found(run: _Run, line: Line) -> bool:
    run.result.checks += 1
    return any(
        type(effect).__name__ == line.words[0] and _matches(line.fields, encode(effect))
        for vm in run.current
        for effect in run.since_at.get(vm, ())
    )


def _expect(run: _Run, line: Line) -> None:
    if not _found(run, line):
        run.result.misses.append(f"line {line.number}: no {line.words[0]} {line.fields}")


def _never(run: _Run, line: Line) -> None:
    if _found(run, line):
        run.result.misses.append(f"line {line.number}: {line.words[0]} {line.fields}")


def _switch_off(run: _Run, rule: str) -> None:
    for core in run.cores.values():
        core.world.rules.switch_off(rule)


def _rule(run: _Run, line: Line) -> None:
    _switch_off(run, line.words[-1])


def _guards(run: _Run, line: Line) -> None:
    run.result.guards.extend(line.words)


def _on(run: _Run, line: Line) -> None:
    names = list(VM_NAMES) if line.words == ("all",) else list(line.words)
    unknown = [name for name in names if name not in run.cores]
    if unknown:
        raise TraceError(f"line {line.number}: no VM {unknown[0]}; known: {', '.join(VM_NAMES)}")
    run.current = names


_VERBS: dict[str, Callable[[_Run, Line], None]] = {
    "at": _at,
    "tick": _tick,
    "expect": _expect,
    "never": _never,
    "rule": _rule,
    "guards": _guards,
    "on": _on,
}
