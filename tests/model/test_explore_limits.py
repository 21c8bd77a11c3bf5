"""Exploration of lends and grants between hubs, and the breaches that it must find."""

import unittest

from bramleyrill_core.limits.explore import LOCK_STEPS, Breach, UnsafeError, explore


class ExploreLimitsTest(unittest.TestCase):
    def test_no_history_passes_the_limit(self):
        self.assertGreater(explore(), 10_000)

    def assert_found(self, **breach):
        with self.assertRaises(UnsafeError):
            explore(Breach(**breach))

    def test_lock_that_ends_before_the_last_grant_is_found(self):
        self.assert_found(lock_steps=LOCK_STEPS - 1)

    def test_restarted_lender_that_lends_at_once_is_found(self):
        self.assert_found(waits_after_restart=False)

    def test_lend_that_counts_from_its_arrival_is_found(self):
        """A late message would let a hub use what was lent to another meanwhile."""
        self.assert_found(counts_from_stamp=False)

    def test_grant_that_is_taken_twice_is_found(self):
        self.assert_found(numbers_grants=False)

    def test_hub_that_does_not_count_granted_tokens_is_found(self):
        self.assert_found(counts_outstanding=False)
