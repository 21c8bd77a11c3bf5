"""Explore the change of primary exhaustively within bounds, or show how a rule's absence fails."""

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
    """States seen, depth reached, whether all states within the bounds were seen, the failure.

    `failure` is None or the broken promise, and `path` the steps that lead to it.
    """

    states: int
    depth: int
    complete: bool
    failure: str | None = None
    path: tuple[str, ...] = ()


@define
class _Seen:
    came_from: dict[State, tuple[State, str] | None]

    def path(self, state: State) -> tuple[str, ...]:
        names = []
        while (origin := self.came_from[state]) is not None:
            state, name = origin
            names.append(name)
        return tuple(reversed(names))


def explore(bounds: Bounds, max_depth: int, max_states: int = 10_000_000) -> Exploration:
    """Visit every state within `max_depth` steps, nearest first, until a promise is broken."""
    start = first_state(bounds)
    seen = _Seen({start: None})
    queue = deque([(start, 0)])
    depth = 0
    while queue:
        state, depth = queue.popleft()
        if depth >= max_depth or len(seen.came_from) >= max_states:
            return Exploration(len(seen.came_from), depth, False)
        for name, following in steps(state, bounds):
            if following in seen.came_from:
                continue
            seen.came_from[following] = (state, name)
            broken = violation(following)
            if broken is not None:
                path = seen.path(following)
                return Exploration(len(seen.came_from), depth + 1, False, broken, path)
            queue.append((following, depth + 1))
    return Exploration(len(seen.came_from), depth, True)


def main(arguments: list[str]) -> int:
    """Explore within the bounds of the command line; return 1 if a promise is broken."""
    parser = argparse.ArgumentParser(prog="python -m bramleyrill_core.succession.explore")
    parser.add_argument("--proxies", type=int, default=1)
    parser.add_argument("--supervisors", type=int, default=2)
    parser.add_argument("--terms", type=int, default=3, help="highest term")
    parser.add_argument("--entries", type=int, default=0, help="entries in a log")
    parser.add_argument("--depth", type=int, default=12, help="steps from the healthy group")
    parser.add_argument("--states", type=int, default=10_000_000, help="stop after as many")
    parser.add_argument("--rule-off", action="append", default=[], metavar="NAME")
    options = parser.parse_args(arguments)
    rules = Rules()
    for name in options.rule_off:
        rules.switch_off(name)
    bounds = Bounds(options.proxies, options.supervisors, options.terms, options.entries, rules)
    # Nothing is freed before the end, so that collecting cycles only takes time.
    gc.disable()
    started = time.perf_counter()
    found = explore(bounds, options.depth, options.states)
    print(
        f"states={found.states} depth={found.depth} complete={found.complete} "
        f"depth_bound={options.depth} seconds={time.perf_counter() - started:.1f}"
    )
    if found.failure is not None:
        print(f"broken: {found.failure}")
        print("\n".join(f"  {number}. {name}" for number, name in enumerate(found.path, 1)))
    return 0 if found.failure is None else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
