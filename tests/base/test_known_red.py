"""Tests of the collection of outcomes."""

import types
import unittest

from tests.known_red import is_good


class OutcomeTest(unittest.TestCase):
    """Guards against a failed sub-test that counts as passed, and the other way round."""

    def good(self, outcome, expected=True, exc_info=None):
        return is_good(types.SimpleNamespace(outcome=outcome, expected=expected, exc_info=exc_info))

    def test_each_outcome(self):
        self.assertTrue(self.good("passed"))
        self.assertFalse(self.good("passed", expected=False))
        self.assertFalse(self.good("failed", expected=False))
        self.assertTrue(self.good("failed", expected=True))
        self.assertFalse(self.good("error", expected=False))
        self.assertTrue(self.good("subtest"))
        self.assertFalse(self.good("subtest", exc_info=(ValueError, ValueError(), None)))
        self.assertTrue(self.good("skipped"))
