"""Exploration of a change of primary under permits, and the breaches that it must find."""

import unittest

from bramleyrill_core.permits.explore import WAIT_STEPS, Breach, UnsafeError, explore


class ExploreTest(unittest.TestCase):
    def test_no_write_is_acknowledged_after_the_promotion(self):
        self.assertGreater(explore(), 1000)

    def test_shorter_wait_is_found(self):
        with self.assertRaises(UnsafeError):
            explore(Breach(wait_steps=WAIT_STEPS - 1))

    def test_missing_fence_is_found(self):
        """A holder that cannot reach the store gets new permits from the replicas."""
        with self.assertRaises(UnsafeError):
            explore(Breach(fences=False))

    def test_missing_record_is_found(self):
        """A holder that cannot reach the replicas gets new permits from the store."""
        with self.assertRaises(UnsafeError):
            explore(Breach(writes_record=False))

    def test_clock_that_stops_in_a_suspension_is_found(self):
        with self.assertRaises(UnsafeError):
            explore(Breach(clock_counts_suspension=False))
