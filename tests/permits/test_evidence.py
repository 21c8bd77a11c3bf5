"""Evidence that a member still leads: the duty's record and the replicas' fences."""

import unittest
from datetime import timedelta

from bramleyrill_core import Mark
from bramleyrill_core.permits import EXPIRY_MARGIN, LONGEST_PERMIT, LeadEvidence, StatusReport

REPLICAS = ("m2", "m3")
TERM = 4


def at(ms):
    return timedelta(milliseconds=ms)


def replica(term=TERM, fenced_term=0, is_primary=False):
    return StatusReport(is_primary, term, Mark(term, 9), fenced_term)


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.evidence = LeadEvidence()

    def covers(self, member, ms, since=timedelta.min):
        return self.evidence.covers(member, REPLICAS, at(ms), since)

    def test_nothing_known_covers_nothing(self):
        self.assertFalse(self.covers("m1", 0))

    def test_record_covers_its_member_for_the_length_of_a_permit(self):
        self.evidence.record_order("m1", at(100))
        end = LONGEST_PERMIT - EXPIRY_MARGIN
        self.assertTrue(self.evidence.covers("m1", REPLICAS, at(99) + end))
        self.assertFalse(self.evidence.covers("m1", REPLICAS, at(100) + end))

    def test_missing_record_means_that_no_order_was_given(self):
        self.evidence.record_order("", at(100))
        self.assertTrue(self.covers("m1", 200))

    def test_record_of_an_order_for_another_member_covers_no_longer(self):
        """The other member may lead at any moment from then on."""
        self.evidence.record_order("m1", at(100))
        self.evidence.record_order("m2", at(200))
        self.assertFalse(self.covers("m1", 201))
        self.assertTrue(self.covers("m2", 201))

    def test_answer_that_was_overtaken_is_ignored(self):
        """The reads of the record are answered in any order."""
        self.evidence.record_order("m2", at(200))
        self.evidence.record_order("m1", at(100))
        self.assertFalse(self.covers("m1", 201))

    def test_permit_from_before_the_connection_does_not_cover(self):
        """A member that restarted in between may have been replaced without a wait."""
        self.evidence.record_order("m1", at(100))
        self.assertFalse(self.covers("m1", 200, since=at(150)))
        self.evidence.record_order("m1", at(160))
        self.assertTrue(self.covers("m1", 200, since=at(150)))


class ReplicaTest(unittest.TestCase):
    def setUp(self):
        self.evidence = LeadEvidence()

    def report(self, ms, **reports):
        self.evidence.record_reports("m1", TERM, reports, at(ms))

    def covers(self, ms, replicas=REPLICAS, member="m1"):
        return self.evidence.covers(member, replicas, at(ms))

    def test_all_replicas_without_a_fence_cover(self):
        self.report(100, m2=replica(), m3=replica())
        self.assertTrue(self.covers(200))
        self.assertFalse(self.covers(100 + 1000))

    def test_permit_starts_with_the_oldest_answer(self):
        self.report(100, m2=replica())
        self.report(900, m3=replica())
        self.assertTrue(self.covers(1000))
        self.assertFalse(self.covers(1100))

    def test_one_replica_that_is_fenced_or_silent_covers_nothing(self):
        """The supervisor fences only the successor, so every replica may be the one."""
        self.report(100, m2=replica())
        self.assertFalse(self.covers(200))
        self.report(100, m3=replica(fenced_term=TERM + 1))
        self.assertFalse(self.covers(200))

    def test_replica_of_a_later_term_or_in_the_lead_covers_nothing(self):
        for report in (replica(term=TERM + 1), replica(is_primary=True)):
            self.report(100, m2=replica(), m3=report)
            self.assertFalse(self.covers(200))

    def test_fence_ends_the_evidence_of_an_earlier_answer(self):
        self.report(100, m2=replica(), m3=replica())
        self.report(200, m3=replica(fenced_term=TERM + 1))
        self.assertFalse(self.covers(300))

    def test_member_that_is_not_known_yet_covers_nothing(self):
        """With a single replica in the list, the successor may be one that is not in it."""
        self.report(100, m2=replica())
        self.assertFalse(self.covers(200, replicas=("m2",)))

    def test_reports_for_another_primary_cover_nothing(self):
        self.report(100, m2=replica(), m3=replica())
        self.assertFalse(self.covers(200, member="m9"))
