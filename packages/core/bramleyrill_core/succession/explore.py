"""Explore the change of primary exhaustively within bounds, optionally without some rules."""

import argparse
import gc
import sys
import time
from collections import deque

from attrs import define, frozen

from bramleyrill_core._rules import Rules
from bramleyrill_core.succession._model import Bounds, State, first_state, steps, violation


@frozen
class Exploration:
    """Result: number of states, depth reached, and whether all states in bounds were visited.

    `failure` is None or the violated guarantee, and `path` are the steps that lead to it.
    """

    states: int
    depth: int
    complete: bool
    failure: str | None = None
    path: tuple[str, ...] = ()


@define
class _Visited:
    came_from: dict[State, tuple[State, str] | None]

    def path(self, state: State) -> tuple[str, ...]:
        """Return the names of the steps from the first state to `state`."""
        names = []
        while (origin := self.came_from[state]) is not None:
            state, name = origin
            names.append(name)
        return tuple(reversed(names))


def explore(bounds: Bounds, max_depth: int, max_states: int = 10_000_000) -> Exploration:
    """Visit the states within `max_depth` steps breadth-first, until a guarantee is violated."""
    start = first_state(bounds)
    visited = _Visited({start: None})
    queue = deque([(start, 0)])
    depth = 0
    while queue:
        state, depth = queue.popleft()
        if depth >= max_depth or len(visited.came_from) >= max_states:
            return Exploration(len(visited.came_from), depth, False)
        for name, next_state in steps(state, bounds):
            if next_state in visited.came_from:
                continue
            visited.came_from[next_state] = (state, name)
            failure = violation(next_state)
            if failure is not None:
                path = visited.path(next_state)
                return Exploration(len(visited.came_from), depth + 1, False, failure, path)
            queue.append((next_state, depth + 1))
    return Exploration(len(visited.came_from), depth, True)


def main(arguments: list[str]) -> int:
    """Explore within the bounds of the command line; return 1 if a guarantee is violated."""
    parser = argparse.ArgumentParser(prog="python -m bramleyrill_core.succession.explore")
    parser.add_argument("--proxies", type=int, default=1)
    parser.add_argument("--supervisors", type=int, default=2)
    parser.add_argument("--terms", type=int, default=3, help="highest term")
    parser.add_argument("--entries", type=int, default=0, help="entries in a log")
    parser.add_argument("--depth", type=int, default=12, help="steps from the healthy group")
    parser.add_argument("--states", type=int, default=10_000_000, help="stop after this many")
    parser.add_argument("--rule-off", action="append", default=[], metavar="NAME")
    options = parser.parse_args(arguments)
    rules = Rules()
    for name in options.rule_off:
        rules.switch_off(name)
    bounds = Bounds(options.proxies, options.supervisors, options.terms, options.entries, rules)
    # Nothing is freed before the end, so garbage collection would only cost time.
    gc.disable()
    started = time.perf_counter()
    exploration = explore(bounds, options.depth, options.states)
    print(
        f"states={exploration.states} depth={exploration.depth} complete={exploration.complete} "
        f"depth_bound={options.depth} seconds={time.perf_counter() - started:.1f}"
    )
    if exploration.failure is not None:
        print(f"broken: {exploration.failure}")
        print("\n".join(f"  {number}. {name}" for number, name in enumerate(exploration.path, 1)))
    return 0 if exploration.failure is None else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
