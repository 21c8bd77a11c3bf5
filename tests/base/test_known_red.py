"""Tests of the nose2 plugin that collects test outcomes."""

import types
import unittest

from tests.known_red import is_good


class OutcomeTest(unittest.TestCase):
    """Guards against a failed subtest that counts as passed, and the reverse."""

    def is_good_outcome(self, outcome, expected=True, exc_info=None):
        return is_good(types.SimpleNamespace(outcome=outcome, expected=expected, exc_info=exc_info))

    def test_each_outcome(self):
        self.assertTrue(self.is_good_outcome("passed"))
        self.assertFalse(self.is_good_outcome("passed", expected=False))
        self.assertFalse(self.is_good_outcome("failed", expected=False))
        self.assertTrue(self.is_good_outcome("failed", expected=True))
        self.assertFalse(self.is_good_outcome("error", expected=False))
        self.assertTrue(self.is_good_outcome("subtest"))
        self.assertFalse(self.is_good_outcome("subtest", exc_info=(ValueError, ValueError(), None)))
        self.assertTrue(self.is_good_outcome("skipped"))
