"""Rules for appointing a primary: by which VM, when, and which member."""

import unittest
from datetime import timedelta
from unittest import mock

from bramleyrill_core import Mark
from bramleyrill_core.leadership import (
    DUTY_LEASE,
    REFUSED_AFTER,
    SUSPECT_AFTER,
    Candidate,
    DutyRecord,
    DutyView,
    Evidence,
    Verdict,
    assess_primary,
    choose_successor,
    explore,
    next_record,
)

MS = timedelta(milliseconds=1)


class DutyTest(unittest.TestCase):
    def test_unread_duty_is_not_acquired(self):
        """Without the record a VM cannot know whether another holder's lease is still valid."""
        self.assertFalse(DutyView().may_acquire("vm1", 100 * DUTY_LEASE))

    def test_other_holder_keeps_the_duty_for_a_lease(self):
        """Two holders must not alternate within a lease."""
        view = DutyView()
        view.update(DutyRecord("vm2", 4, "m1"), 17, 1000 * MS)
        self.assertFalse(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE - MS))
        self.assertTrue(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE))

    def test_changed_record_restarts_the_lease(self):
        """A changed record shows that the holder was active."""
        view = DutyView()
        view.update(DutyRecord("vm2", 4, "m1"), 17, 1000 * MS)
        view.update(DutyRecord("vm2", 5, "m2"), 18, 5000 * MS)
        self.assertFalse(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE))

    def test_unchanged_record_does_not_extend_the_lease(self):
        """Reading an unchanged record must not extend the lease."""
        view = DutyView()
        view.update(DutyRecord("vm2", 4, "m1"), 17, 1000 * MS)
        view.update(DutyRecord("vm2", 4, "m1"), 17, 5000 * MS)
        self.assertTrue(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE))

    def test_token_rises_with_every_other_order(self):
        """An order that takes effect late must lose against a newer one of the same holder."""
        first = next_record(None, "vm1", "m2")
        second = next_record(first, "vm1", "m3")
        third = next_record(second, "vm2", "m3")
        tokens = [first.fencing_token, second.fencing_token, third.fencing_token]
        self.assertEqual(tokens, [1, 2, 3])

    def test_repeated_order_keeps_its_token(self):
        """Repeating an unanswered order must not create a new one."""
        first = next_record(None, "vm1", "m2")
        self.assertEqual(next_record(first, "vm1", "m2"), first)

    def test_value_of_another_writer_is_no_record(self):
        for value in (None, [], {"holder": "vm1"}, {"holder": 1, "token": 2, "member": "m"}):
            self.assertIsNone(DutyRecord.from_value(value))


class SuccessorTest(unittest.TestCase):
    def test_term_goes_before_position(self):
        """The end of a longer log of an older term was discarded in the newer term."""
        candidates = [Candidate("m1", Mark(1, 900), True), Candidate("m2", Mark(2, 5), True)]
        self.assertEqual(choose_successor(candidates), "m2")

    def test_member_that_leaves_is_not_chosen(self):
        candidates = [Candidate("m1", Mark(1, 9), False), Candidate("m2", Mark(1, 5), True)]
        self.assertEqual(choose_successor(candidates), "m2")

    def test_planned_change_waits_for_the_last_entry(self):
        """Appointing a replica that lacks entries would lose them."""
        candidates = [Candidate("m1", Mark(1, 9), True)]
        self.assertIsNone(choose_successor(candidates, Mark(1, 10)))
        self.assertEqual(choose_successor(candidates, Mark(1, 9)), "m1")


class SuspicionTest(unittest.TestCase):
    def test_silence_towards_one_vm_replaces_nobody(self):
        """Other VMs may still reach the primary, and its unreplicated entries would be lost."""
        self.assertIs(assess_primary(Evidence(10 * SUSPECT_AFTER)), Verdict.CHECK)

    def test_silence_towards_all_replaces(self):
        evidence = Evidence(SUSPECT_AFTER, checked=True)
        self.assertIs(assess_primary(evidence), Verdict.REPLACE)

    def test_refused_connection_shortens_the_wait(self):
        self.assertIs(
            assess_primary(Evidence(REFUSED_AFTER, checked=True, refused=True)), Verdict.REPLACE
        )
        self.assertIs(assess_primary(Evidence(REFUSED_AFTER, checked=True)), Verdict.CHECK)

    def test_young_proof_is_enough(self):
        self.assertIs(assess_primary(Evidence(REFUSED_AFTER - MS)), Verdict.FINE)


class ExplorationTest(unittest.TestCase):
    """Late orders, lost answers, late writes, pauses and expired leases in all sequences."""

    def test_no_order_shares_its_token(self):
        with mock.patch.multiple(explore, MAX_RECORDS=2):
            self.assertGreater(explore.explore(), 1000)

    def test_token_that_does_not_rise_for_the_same_holder_is_found(self):
        """Guards the exploration itself: a late order with an equal token undoes a newer one."""

        def without_rise(record, vm, member):
            if record is not None and record.holder == vm:
                return DutyRecord(vm, record.fencing_token, member)
            return next_record(record, vm, member)

        with mock.patch.multiple(explore, MAX_RECORDS=2), self.assertRaises(explore.UnsafeError):
            explore.explore(without_rise)
