"""`bench flood`: service by rank in a flood, beside first come, first served."""

from bramleyrill_core import Rank
from bramleyrill_core.admission import FloodPlan, format_flood_results, simulate_flood

from bramleyrill_cli._app import bench

MULTIPLES = (2.0, 10.0, 50.0)


@bench.command
def flood(*, seed: int = 1) -> int:
    """Flood one member in simulated time, once for each rank and size of flood.

    Runs the queue that the daemon runs and a first-come-first-served queue on the same arrivals.
    Prints per rank what was offered, served and refused, and the least share that the rank kept
    in any window of 10 s.

    Parameters
    ----------
    seed
        Seed of arrivals and service times; the same seed gives the same figures.
    """
    for rank in (Rank.LEAST_URGENT, Rank.EVERYDAY, Rank.URGENT):
        for multiple in MULTIPLES:
            plan = FloodPlan(multiple=multiple, flooded=rank, seed=seed)
            print("\n".join(format_flood_results(plan, simulate_flood(plan))), flush=True)
    return 0
