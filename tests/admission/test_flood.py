"""Tests of admission by rank in simulated floods with fixed seeds."""

import unittest

from bramleyrill_core import Rank
from bramleyrill_core.admission import FloodPlan, simulate_flood

URGENT, EVERYDAY, LEAST = Rank


def plan(flooded, multiple, **fields):
    times = {"flood_to_s": 17.0, "end_s": 20.0} | fields
    return FloodPlan(flooded=flooded, multiple=multiple, **times)


def simulate(flooded, multiple, queue="by_rank", options=None, **fields):
    chosen = plan(flooded, multiple, **fields)
    return simulate_flood(chosen, (queue,), **(options or {}))[queue]


class FloodTest(unittest.TestCase):
    def test_urgent_work_passes_a_flood_of_the_least_urgent(self):
        """Guards against a flood of browsing requests that delays an engineer's urgent work."""
        for multiple in (2, 10, 50):
            result = simulate(LEAST, multiple)
            self.assertGreaterEqual(result.ranks[URGENT].share_within_target, 0.99, multiple)
            for rank in Rank:
                self.assertGreaterEqual(result.ranks[rank].min_floor_ratio, 1.0, (multiple, rank))
            self.assertGreaterEqual(result.utilization, 0.95, multiple)
            self.assertLessEqual(result.max_in_flight, 2)

    def test_urgent_work_fails_without_ranks(self):
        """Shows that urgent work passes because of priority by rank, not of spare capacity."""
        for result in (
            simulate(LEAST, 10, options={"urgent_first": False, "floors": False}),
            simulate(LEAST, 10, queue="first_come"),
        ):
            self.assertLess(result.ranks[URGENT].share_within_target, 0.9)

    def test_floors_hold_in_a_flood_of_the_most_urgent(self):
        """Guards against a flood of urgent requests that starves the lower ranks."""
        for multiple in (2, 50):
            result = simulate(URGENT, multiple)
            for rank in Rank:
                self.assertGreaterEqual(result.ranks[rank].min_floor_ratio, 1.0, (multiple, rank))
        without = simulate(URGENT, 10, options={"floors": False})
        self.assertLess(without.ranks[LEAST].min_floor_ratio, 0.5)

    def test_service_recovers_when_the_flood_ends(self):
        """Guards against a queue that stays full of late requests after the flood."""
        result = simulate(URGENT, 10, end_s=25.0)
        for rank in Rank:
            self.assertGreaterEqual(result.ranks[rank].within_target_after_flood, 0.9, rank)
        first_come = simulate(URGENT, 10, queue="first_come", end_s=25.0)
        self.assertLess(first_come.ranks[URGENT].within_target_after_flood, 0.6)

    def test_flooded_rank_is_refused_early_rather_than_served_late(self):
        """Guards against a standing queue that serves every request after its target."""
        result = simulate(URGENT, 10).ranks[URGENT]
        self.assertGreater(result.within_target, 0.5 * result.served)
        self.assertGreater(result.refused_at_once, 20 * result.expired)

    def test_slow_member_keeps_its_slots_in_use(self):
        """Guards against a limit that falls when a member is slow for reasons other than load."""
        for factor in (2, 5):
            times = {"slow_from_s": 10.0, "slow_to_s": 25.0, "flood_to_s": 35.0, "end_s": 36.0}
            result = simulate(LEAST, 2, slow_factor=factor, **times)
            self.assertGreaterEqual(result.utilization, 0.95, factor)
            for rank in Rank:
                self.assertGreaterEqual(result.ranks[rank].min_floor_ratio, 0.99, (factor, rank))

    def test_limit_falls_at_a_member_that_thrashes(self):
        """Guards against full use of the slots while statements slow each other down."""
        fields = {"slots": 5, "contended_above": 2, "load_scale": 0.15}
        by_limit = simulate(LEAST, 10, **fields)
        fixed = simulate(LEAST, 10, options={"adaptive": False}, **fields)
        self.assertGreater(by_limit.statements_per_s, 1.3 * fixed.statements_per_s)
        self.assertLessEqual(by_limit.max_in_flight, 5)

    def test_same_seed_gives_the_same_result(self):
        """Guards against simulation results that cannot be reproduced."""
        self.assertEqual(simulate(LEAST, 2), simulate(LEAST, 2))


if __name__ == "__main__":
    unittest.main()
