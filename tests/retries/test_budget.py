"""Tests of the retry rule."""

import unittest

from bramleyrill_base import ErrorKind
from bramleyrill_core.retries import count_request, may_retry

from tests.worlds import build_world, ms

SERVICE = "kintsugi/pieces"
UNREACHABLE = ErrorKind.NOT_RUN_UNREACHABLE


class RetryTest(unittest.TestCase):
    def setUp(self):
        self.world = build_world()

    def test_what_may_not_be_repeated_is_never_sent_twice(self):
        """Guards against a booking that is made twice because a write was sent again."""
        for kind in ErrorKind:
            self.assertFalse(may_retry(self.world, SERVICE, kind, False, True), kind)
        self.assertFalse(may_retry(self.world, SERVICE, ErrorKind.OUTCOME_UNKNOWN, False, False))
        self.assertTrue(may_retry(self.world, SERVICE, UNREACHABLE, False, False))
        self.assertTrue(may_retry(self.world, SERVICE, ErrorKind.OUTCOME_UNKNOWN, True, True))

    def test_budget_is_a_tenth_of_the_requests_plus_ten(self):
        """Guards against retries that multiply the load, and a budget that never refills."""
        for _ in range(100):
            count_request(self.world, SERVICE)
        allowed = [may_retry(self.world, SERVICE, UNREACHABLE, True, True) for _ in range(30)]
        self.assertEqual(sum(allowed), 20)
        self.world.clock.advance(ms(11_000))
        allowed = [may_retry(self.world, SERVICE, UNREACHABLE, True, True) for _ in range(30)]
        self.assertEqual(sum(allowed), 10)

    def test_overload_is_not_retried(self):
        """Guards against an overload that the proxies prolong by their own retries."""
        refused = ErrorKind.NOT_RUN_OVERLOADED
        self.assertFalse(may_retry(self.world, SERVICE, refused, True, False))
