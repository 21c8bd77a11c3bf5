"""Choice of the classes that are below their guaranteed floors, or whose teams are in excess."""

from collections.abc import Iterable

from bramleyrill_core.admission._classes import ClassState
from bramleyrill_core.admission._team_ledger import TeamLedger, TeamUse

# Requests of mean length, per unit of weight, by which the next team of a class may be ahead of the
# first one of all classes without losing its rank; plain requests for a weight below 1, since a few
# of a small team are no flood. Among teams closer than this the rank decides.
MAX_LEAD_REQUESTS = 12


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


def within_share(states: list[ClassState], ledger: TeamLedger) -> list[ClassState]:
    """Return the classes whose next team is not far beyond its share, compared with all that wait.

    Urgent work beyond a team's share would otherwise use up the slots of others' everyday work,
    and on-time work beyond it those of others' late work. Advances the virtual clock.
    """
    places: list[tuple[float, TeamUse | None]] = []
    for state in states:
        fair = state.fair
        share = fair.next_share(state.mean_s) if fair is not None and fair.is_by_ledger else None
        use = share.use if share is not None else None
        places.append((ledger.key_of(use) if use is not None else ledger.virtual_time, use))
    first_key, first_use = min(places, key=lambda place: place[0])
    if first_use is not None:
        ledger.advance_to(first_use.tag)
    return [
        state
        for state, (key, use) in zip(states, places, strict=True)
        if use is None
        or (key - first_key) * min(use.weight, 1.0) <= MAX_LEAD_REQUESTS * state.mean_s
    ]
