"""Test that a request that waits for a connection lets other greenlets run.

Guards against a loop without a wait: when a VM released a member to another VM under load, its
process used a whole core for seconds, ticks were 900 ms late and callers lost their connections.
"""

import unittest
from datetime import timedelta
from types import SimpleNamespace

from bramleyrill_base import ErrorKind, Problem, SystemClock
from bramleyrill_daemon._holder import HolderTransaction

WAIT = timedelta(milliseconds=300)
# A wait in steps of a few milliseconds makes far fewer calls, a loop without a wait far more.
MAX_CALLS = 300


class ReleasedPoolTest(unittest.TestCase):
    def test_lease_that_is_refused_at_once_is_not_repeated_without_a_wait(self):
        calls = []

        def lease(member, deadline):
            calls.append(member)
            if len(calls) > MAX_CALLS:
                raise AssertionError("asked for a connection in a loop without a wait")
            return Problem(ErrorKind.NOT_RUN_UNREACHABLE, member)

        now = SystemClock().monotonic
        permits = SimpleNamespace(now=now, wait_for_permit=lambda member, deadline: None)
        route = SimpleNamespace(member="f/s/d/m", at_primary=True)
        request = SimpleNamespace(alters_session=False)
        pools = SimpleNamespace(acquire=lease, acquire_idle=lambda member: lease(member, None))
        transaction = HolderTransaction(SimpleNamespace(), pools, permits, route, request)
        self.assertIsNotNone(transaction._acquire_connection(now() + WAIT))
