"""The fraction that a VM owns: never too large, whatever it hears and misses."""

import unittest
from datetime import timedelta

from bramleyrill_core.limits import VmCount
from bramleyrill_core.limits._vm_count import ABSENCE, COUNTED_DELAY, SILENCE

SECOND = timedelta(seconds=1)
START = 100 * SECOND


class VmCountTest(unittest.TestCase):
    def setUp(self):
        self.count = VmCount("a")
        self.now = START

    def fraction_after(self, duration):
        self.now += duration
        return self.count.fraction(self.now)

    def test_vm_without_a_listing_owns_nothing(self):
        self.count.hear(["a", "b"], self.now)
        self.assertEqual(self.fraction_after(ABSENCE), 0)

    def test_restarted_vm_is_counted_already(self):
        self.count.list_fresh(["a", "b"], True, self.now)
        self.assertEqual(self.count.fraction(self.now), 1 / 2)

    def test_new_vm_waits_until_all_others_count_it(self):
        self.count.list_fresh(["a", "b", "c"], False, self.now)
        self.count.confirm("b", self.now)
        self.assertEqual(self.fraction_after(COUNTED_DELAY), 0)
        self.count.confirm("c", self.now)
        self.assertEqual(self.fraction_after(COUNTED_DELAY - SECOND), 0)
        self.assertEqual(self.fraction_after(SECOND), 1 / 3)

    def test_new_vm_does_not_wait_for_lost_ones_forever(self):
        self.count.list_fresh(["a", "b"], False, self.now)
        self.assertEqual(self.fraction_after(SILENCE + SECOND), 0)
        self.assertEqual(self.fraction_after(COUNTED_DELAY), 1 / 2)

    def test_only_vm_owns_all(self):
        self.count.list_fresh(["a"], False, self.now)
        self.assertEqual(self.fraction_after(COUNTED_DELAY), 1)

    def test_vm_that_is_heard_of_counts_at_once(self):
        self.count.list_fresh(["a", "b"], True, self.now)
        self.count.hear(["c", "d"], self.now)
        self.assertEqual(self.count.fraction(self.now), 1 / 4)

    def test_count_falls_only_after_a_long_absence(self):
        """A VM that restarts is absent for seconds, and others would use its fraction."""
        self.count.list_fresh(["a", "b"], True, self.now)
        while self.now < START + ABSENCE:
            self.now += 30 * SECOND
            self.count.list_stale(["a"], self.now)
            self.assertEqual(self.count.total, 2)
        self.count.list_stale(["a"], self.now + 31 * SECOND)
        self.assertEqual(self.count.total, 1)

    def test_cut_does_not_lower_the_count(self):
        """A VM without listings cannot know which others use a fraction."""
        self.count.list_fresh(["a", "b"], True, self.now)
        self.now += 10 * ABSENCE
        self.assertEqual(self.count.fraction(self.now), 1 / 2)
        self.count.list_stale(["a"], self.now)
        self.assertEqual(self.count.fraction(self.now), 1 / 2)
