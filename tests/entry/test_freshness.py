"""Choice of the log position that a bounded read requires; an error here causes stale reads."""

import unittest
from datetime import timedelta

from bramleyrill_core import Mark
from bramleyrill_core.freshness import STALENESS_MARGIN, ProofHistory, ProofTable

MS = timedelta(milliseconds=1)


class RequiredMarkTest(unittest.TestCase):
    def setUp(self):
        self.history = ProofHistory()
        for at, position in ((1000, 10), (1500, 20), (2000, 30)):
            self.history.record(Mark(1, position), at * MS)

    def test_oldest_young_enough_proof_is_taken(self):
        """Requiring a newer position than needed would exclude lagging replicas."""
        self.assertEqual(self.history.required_mark(2400 * MS, 1000 * MS), Mark(1, 20))

    def test_proof_older_than_allowed_is_not_taken(self):
        """A position proved before the allowed age may lack commits that the read must see."""
        self.assertEqual(
            self.history.required_mark(2450 * MS + STALENESS_MARGIN, 1000 * MS), Mark(1, 30)
        )
        self.assertIsNone(self.history.required_mark(3100 * MS, 1000 * MS))

    def test_margin_is_kept(self):
        """The margin covers the time between the choice of the position and the run of the read."""
        limit = 1000 * MS + 1000 * MS
        self.assertEqual(
            self.history.required_mark(limit - STALENESS_MARGIN, 1000 * MS), Mark(1, 10)
        )
        self.assertEqual(
            self.history.required_mark(limit - STALENESS_MARGIN + MS, 1000 * MS), Mark(1, 20)
        )

    def test_answer_that_comes_late_does_not_replace_a_newer_proof(self):
        """Answers on different links may arrive out of order."""
        self.history.record(Mark(1, 25), 1700 * MS)
        self.assertEqual(self.history.newest.mark, Mark(1, 30))

    def test_position_of_an_earlier_log_is_ignored(self):
        """A late answer of a replaced primary must not lower the position."""
        self.history.record(Mark(2, 28), 2100 * MS)
        self.history.record(Mark(1, 31), 2200 * MS)
        self.assertEqual(self.history.newest.mark, Mark(2, 28))

    def test_time_on_the_network_makes_a_proof_older(self):
        """An answer delayed by a partition must not count as fresh when it arrives."""
        table = ProofTable()
        table.record_remote("pieces", Mark(1, 5), asked_at=1000 * MS, age=200 * MS)
        self.assertEqual(table.history_of("pieces").age(5000 * MS), 4200 * MS)
