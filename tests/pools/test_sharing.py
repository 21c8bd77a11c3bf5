"""Tests of the simulation of three strategies for sharing connections."""

import unittest

from bramleyrill_core.pools import SharingPlan, compare_sharing


class SharingTest(unittest.TestCase):
    def test_holder_keeps_slots_and_serves_what_the_others_lose(self):
        """Guards against a change of the admission queue that makes a fixed split serve more."""
        results = compare_sharing(SharingPlan(skew=0.8))
        holder, split = results["holder"], results["split"]
        self.assertEqual(holder.max_statements, 2)
        self.assertGreater(split.max_statements, 2)
        self.assertGreater(holder.served, split.served)
        self.assertLess(holder.p99_s, split.p99_s)
        self.assertGreaterEqual(holder.urgent_within_target, 0.99)

    def test_holder_needs_no_platform(self):
        """Guards against a holder that needs the platform to be up."""
        results = compare_sharing(SharingPlan(outage=(5.0, 25.0), end_s=30.0))
        self.assertEqual(results["holder"].platform_calls, 0)
        self.assertEqual(results["holder"].served, results["holder"].offered)
        self.assertLess(results["leases"].served, results["leases"].offered)

    def test_no_strategy_exceeds_the_connections(self):
        """Guards against a simulation that compares strategies under unequal limits."""
        for name, result in compare_sharing(SharingPlan(loads=(0.25, 0.25, 1.5), end_s=15)).items():
            self.assertLessEqual(result.max_connections, 12, name)


if __name__ == "__main__":
    unittest.main()
