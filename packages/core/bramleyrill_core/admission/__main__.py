"""Simulate floods and print the results: `python -m bramleyrill_core.admission [SEED]`.

With `teams` as the first argument, the floods are those of teams: `... admission teams [SEED]`.
"""

import sys

from bramleyrill_core._values import Rank
from bramleyrill_core.admission import FloodPlan, format_flood_results, simulate_flood
from bramleyrill_core.admission._team_plays import format_team_plays

SLOW = {"slow_from_s": 10.0, "slow_to_s": 25.0}
THRASHING = {"slots": 5, "contended_above": 2, "load_scale": 0.15, "multiple": 10.0}


def main(seed: int) -> None:
    """Simulate a flood of each rank, then of a slow member, then of one that thrashes."""
    plans = [
        FloodPlan(multiple=multiple, flooded=rank, seed=seed)
        for rank in Rank
        for multiple in (2.0, 10.0, 50.0)
    ]
    for plan in plans:
        print("\n".join(format_flood_results(plan, simulate_flood(plan))), flush=True)
    for factor in (2.0, 5.0):
        print(f"member {factor:g} times slower from 10 s to 25 s:")
        plan = FloodPlan(slow_factor=factor, seed=seed, **SLOW)
        print("\n".join(format_flood_results(plan, simulate_flood(plan))), flush=True)
    for adaptive in (True, False):
        print(f"member that thrashes above 2 statements, adaptive limit: {adaptive}")
        plan = FloodPlan(seed=seed, **THRASHING)
        print(
            "\n".join(format_flood_results(plan, simulate_flood(plan, adaptive=adaptive))),
            flush=True,
        )


if __name__ == "__main__":
    by_teams = sys.argv[1:2] == ["teams"]
    seeds = [int(word) for word in sys.argv[2 if by_teams else 1 :]]
    seed = seeds[0] if seeds else 1
    if by_teams:
        print("\n".join(format_team_plays(seed)))
    else:
        main(seed)
