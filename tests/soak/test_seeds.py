"""A short soak with a fixed seed, and the seeds that ever failed."""

import unittest

from bramleyrill_soak import soak

SHORT_S = 6.0
SEED = 1


class SoakTest(unittest.TestCase):
    def check(self, seed, duration_s):
        report = soak(seed, duration_s)
        self.assertEqual([str(breach) for breach in report.breaches], [], report.faults)
        self.assertGreater(report.served, 0)

    def test_short_run(self):
        """Guards the promises under overlapping faults, in a time that every check affords."""
        self.check(SEED, SHORT_S)

    def test_replica_that_lags_while_callers_reconnect(self):
        """Seed 17 failed: the check asked an own-writes read for a write of an earlier session.

        The promise holds within a session; beyond it the database's staleness bound applies.
        """
        self.check(17, SHORT_S)
