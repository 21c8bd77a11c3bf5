"""Choice of the resting transactions that are ended for callers that wait for a slot.

Answers the load of a team whose callers rest in many transactions while others wait for the
connections that these hold.
"""

from collections.abc import Callable, Hashable, Iterable
from datetime import timedelta

from attrs import frozen

from bramleyrill_core.admission._team_ledger import MIN_WEIGHT


@frozen
class RestingTransaction:
    """An open transaction without a statement in progress, and since how long."""

    key: Hashable
    team: str
    idle_for: timedelta


def resting_to_end(
    resting: Iterable[RestingTransaction],
    waiting_by_team: dict[str, int],
    held_by_team: dict[str, int],
    idle_limit: timedelta,
    weight_of: Callable[[str], float],
) -> list[Hashable]:
    """Return the keys of the transactions to roll back now, at most one for each that waits.

    Only those that rested for `idle_limit` are ended. The team that holds the most for its weight
    gives one up first, its longest resting one, and never for a team that holds more than itself.
    `held_by_team` counts the open transactions of each team.

    Example: with 40 resting transactions of one team and 2 waiting ones of another, the 2 that
    rested longest are returned, provided that they rested for the limit.
    """
    waiting = [team for team, count in waiting_by_team.items() for _ in range(count)]
    if not waiting:
        return []
    ripe_by_team: dict[str, list[RestingTransaction]] = {}
    for item in sorted(resting, key=lambda item: item.idle_for):
        if item.idle_for >= idle_limit:
            ripe_by_team.setdefault(item.team, []).append(item)
    held = dict(held_by_team)

    def share_of(team: str) -> float:
        return held.get(team, 0) / max(weight_of(team), MIN_WEIGHT)

    ended: list[Hashable] = []
    while waiting and ripe_by_team:
        waiter = min(waiting, key=share_of)
        giver = max(ripe_by_team, key=share_of)
        if giver != waiter and share_of(giver) < share_of(waiter):
            break
        waiting.remove(waiter)
        ended.append(ripe_by_team[giver].pop().key)
        if not ripe_by_team[giver]:
            del ripe_by_team[giver]
        held[giver] = held.get(giver, 1) - 1
        held[waiter] = held.get(waiter, 0) + 1
    return ended
