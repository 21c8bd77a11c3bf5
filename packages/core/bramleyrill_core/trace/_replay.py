"""Replay of traces, with one core for each VM and the same time on all of them."""

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

# Import all subsystems, since each registers its messages and systems on import.
for _module in pkgutil.iter_modules(bramleyrill_core.__path__):
    if _module.ispkg and _module.name != "trace":
        importlib.import_module(f"bramleyrill_core.{_module.name}")


@define(repr=False)
class ReplayResult:
    """Result of one trace: its failures, the rules it guards, and its events and checks."""

    name: str
    failures: list[str] = field(factory=list)
    guards: list[str] = field(factory=list)
    events: int = 0
    checks: int = 0

    @property
    def passed(self) -> bool:
        """Return whether all checks of the trace succeeded and it has at least one."""
        return not self.failures and self.checks > 0

    def __str__(self) -> str:
        if self.passed:
            return f"ok {self.name}: {self.events} events, {self.checks} outcomes"
        return f"MISSED {self.name}: {'; '.join(self.failures) or 'no outcome is stated'}"


@define
class _Run:
    cores: dict[str, Core]
    result: ReplayResult
    current_vms: list[str]
    effects_by_vm: dict[str, list[Effect]] = field(factory=dict)

    def advance_to(self, milliseconds: str) -> None:
        for core in self.cores.values():
            core.world.clock.advance_to(timedelta(milliseconds=float(milliseconds)))


def replay(paths: Iterable[str | Path], rules_off: Iterable[str] = ()) -> list[ReplayResult]:
    """Replay trace files and return a result for each.

    A file that cannot be read or parsed counts as failed. `rules_off` names safety rules to switch
    off in addition to those in the files.
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
    """Replay the lines of the trace `name`; see `replay`."""
    run = _Run(build_cores(), ReplayResult(name), [VM_NAMES[0]])
    for rule in rules_off:
        _switch_off(run, rule)
    try:
        for line in parse_lines(lines):
            _VERB_HANDLERS[line.verb](run, line)
    except TraceError as error:
        run.result.failures.append(str(error))
    return run.result


def _handle_at(run: _Run, line: Line) -> None:
    try:
        milliseconds, message_name = line.words
        message = decode(message_name, line.fields)
        run.advance_to(milliseconds)
        run.effects_by_vm = {vm: run.cores[vm].handle(message) for vm in run.current_vms}
    except Exception as error:
        # cattrs raises many types of exception groups; any of them means that the line is invalid.
        raise TraceError(f"line {line.number}: {error!r}") from error
    run.result.events += 1


def _handle_tick(run: _Run, line: Line) -> None:
    words = line.words
    now = run.cores[VM_NAMES[0]].world.clock.monotonic() / timedelta(milliseconds=1)
    times = [float(words[0])]
    if len(words) == 3 and words[1] == "every":
        count = int((times[0] - now) // float(words[2]))
        steps = [now + float(words[2]) * (n + 1) for n in range(count)]
        times = steps if steps and steps[-1] == times[0] else steps + times
    for time in times:
        run.advance_to(str(time))
        for vm in run.current_vms:
            run.effects_by_vm.setdefault(vm, []).extend(run.cores[vm].tick())
    run.result.events += 1


def _matches(expected: Any, actual: Any) -> bool:
    if isinstance(expected, dict) and isinstance(actual, dict):
        return all(
            key in actual and _matches(value, actual[key]) for key, value in expected.items()
        )
    return expected == actual


def _check_emitted(run: _Run, line: Line) -> bool:
    run.result.checks += 1
    return any(
        type(effect).__name__ == line.words[0] and _matches(line.fields, encode(effect))
        for vm in run.current_vms
        for effect in run.effects_by_vm.get(vm, ())
    )


def _check_expect(run: _Run, line: Line) -> None:
    if not _check_emitted(run, line):
        run.result.failures.append(f"line {line.number}: no {line.words[0]} {line.fields}")


def _check_never(run: _Run, line: Line) -> None:
    if _check_emitted(run, line):
        run.result.failures.append(f"line {line.number}: {line.words[0]} {line.fields}")


def _switch_off(run: _Run, rule: str) -> None:
    for core in run.cores.values():
        core.world.rules.switch_off(rule)


def _handle_rule(run: _Run, line: Line) -> None:
    _switch_off(run, line.words[-1])


def _handle_guards(run: _Run, line: Line) -> None:
    run.result.guards.extend(line.words)


def _select_vms(run: _Run, line: Line) -> None:
    names = list(VM_NAMES) if line.words == ("all",) else list(line.words)
    unknown = [name for name in names if name not in run.cores]
    if unknown:
        raise TraceError(f"line {line.number}: no VM {unknown[0]}; known: {', '.join(VM_NAMES)}")
    run.current_vms = names


_VERB_HANDLERS: dict[str, Callable[[_Run, Line], None]] = {
    "at": _handle_at,
    "tick": _handle_tick,
    "expect": _check_expect,
    "never": _check_never,
    "rule": _handle_rule,
    "guards": _handle_guards,
    "on": _select_vms,
}
