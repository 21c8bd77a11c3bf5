"""Choice of the classes that are below their guaranteed floors."""

from collections.abc import Iterable

from bramleyrill_core.admission._classes import ClassState


def classes_below_floor(
    states: Iterable[ClassState], now_s: float, slots: float
) -> list[ClassState]:
    """Return the classes that are below a floor, the furthest below last.

    The floor may be that of their fleet, their service or their own.
    """
    below_floor = []
    for state in states:
        deficits_s = []
        for account in state.accounts:
            account.accrue(now_s, slots)
            deficits_s.append(max(0.0, account.deficit_s(slots)))
        if any(deficits_s):
            below_floor.append((deficits_s, -state.rank, state.key, state))
    return [item[-1] for item in sorted(below_floor)]


def keep_furthest_below_floor(states: list[ClassState], slots: float) -> list[ClassState]:
    """Keep the classes of the fleet, then service, then rank furthest below its floor."""
    for level in range(max(len(state.accounts) for state in states)):
        max_deficit_s, below_floor = 0.0, []
        for state in states:
            if level < len(state.accounts):
                deficit_s = state.accounts[level].deficit_s(slots)
                if deficit_s > max_deficit_s:
                    max_deficit_s, below_floor = deficit_s, [state]
                elif below_floor and deficit_s == max_deficit_s:
                    below_floor.append(state)
        states = below_floor or states
        if len(states) == 1:
            break
    return states
