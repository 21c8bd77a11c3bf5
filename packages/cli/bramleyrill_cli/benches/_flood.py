"""`bench flood`: service by rank under overload, compared with a first-come-first-served queue."""

from bramleyrill_core import Rank
from bramleyrill_core.admission import FloodPlan, format_flood_results, simulate_flood

from bramleyrill_cli._app import bench

LOAD_MULTIPLES = (2.0, 10.0, 50.0)


@bench.command
def flood(*, seed: int = 1) -> int:
    """Simulate an overload of one member, for each rank and several load levels.

    Feeds the same arrivals to the daemon's queue and to a first-come-first-served queue. Prints
    for each rank how many requests were offered, served and refused, and the lowest share that
    the rank got in any 10 s window.

    Parameters
    ----------
    seed
        Random seed of arrivals and service times; the same seed gives the same results.
    """
    for rank in (Rank.LEAST_URGENT, Rank.EVERYDAY, Rank.URGENT):
        for multiple in LOAD_MULTIPLES:
            plan = FloodPlan(multiple=multiple, flooded=rank, seed=seed)
            print("\n".join(format_flood_results(plan, simulate_flood(plan))), flush=True)
    return 0
