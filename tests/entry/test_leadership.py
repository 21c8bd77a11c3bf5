"""Rules for appointing a primary: by which VM, when, and which member."""

import unittest
from datetime import timedelta
from unittest import mock

from attrs import evolve
from bramleyrill_core import Mark
from bramleyrill_core.catalog import ReplicaProcess
from bramleyrill_core.history import StoreRevision
from bramleyrill_core.leadership import (
    DUTY_LEASE,
    NO_HOLDER,
    REFUSED_AFTER,
    SUSPECT_AFTER,
    Candidate,
    DutyRecord,
    DutyView,
    Evidence,
    LeadStart,
    Poll,
    Verdict,
    assess_primary,
    choose_from,
    choose_successor,
    explore,
    explore_choice,
    has_diverged,
    next_record,
    pending_member,
    record_with_replicas,
    renewed_record,
    starts_up_to,
    starts_with,
)

MS = timedelta(milliseconds=1)


def record(number, member, holder="vm2", era=1):
    """Return a record with a token of the era."""
    return DutyRecord(holder, (era << 32) + number, member)


def start(member, term, position, port=1):
    return LeadStart(member, ("10.0.0.1", port), Mark(term, position))


def entry(name, port=1):
    return mock.Mock(id=name, address=("10.0.0.1", port))


class LeadStartTest(unittest.TestCase):
    """A log of an older term beyond the start of a newer one holds commits that were given up."""

    STARTS = (start("m3", 2, 90, port=3), start("m2", 1, 46, port=2))

    def test_log_beyond_the_start_of_a_newer_term_has_diverged(self):
        marks = [Mark(1, 46), Mark(1, 47), Mark(2, 90), Mark(2, 91), Mark(3, 95)]
        diverged = [str(mark) for mark in marks if has_diverged(mark, self.STARTS)]
        self.assertEqual(diverged, ["1.47", "2.91"])
        self.assertFalse(has_diverged(Mark(1, 86), ()))

    def test_shorter_log_that_follows_is_chosen(self):
        """The longest log was chosen, and commits that were given up came back."""
        candidates = [Candidate("old", Mark(1, 86), True), Candidate("m1", Mark(1, 40), True)]
        self.assertEqual(choose_from(Poll(candidates)), "old")
        self.assertEqual(choose_from(Poll(candidates, starts=self.STARTS)), "m1")

    def test_order_that_was_not_carried_out_started_no_term(self):
        """A follower of the primary that goes on would be taken for one that went another way."""
        self.assertEqual(starts_up_to(self.STARTS, entry("m2", 2)), self.STARTS[1:])
        self.assertEqual(starts_up_to(self.STARTS, entry("new", 9)), ())
        self.assertEqual(starts_up_to(self.STARTS, None), self.STARTS)

    def test_primary_that_is_back_under_another_id_keeps_its_start(self):
        self.assertEqual(starts_up_to(self.STARTS, entry("new", 3)), self.STARTS)

    def test_repeated_order_keeps_its_start(self):
        """Its member may lead already, and its mark may be one of the new term."""
        again = start("m3", 2, 99, port=3)
        self.assertEqual(starts_with(self.STARTS, again, entry("m2", 2)), self.STARTS)
        other = start("m1", 2, 99)
        kept = (other, self.STARTS[1])
        self.assertEqual(starts_with(self.STARTS, other, entry("m2", 2)), kept)
        self.assertEqual(starts_with(self.STARTS, None, entry("m2", 2)), self.STARTS[1:])

    def test_record_keeps_the_last_starts(self):
        written = next_record(None, "vm1", "m3", StoreRevision(1, 7), self.STARTS * 2)
        self.assertEqual(len(written.starts), 3)
        self.assertEqual(DutyRecord.from_value(written.to_value()), written)

    def test_malformed_replica_hides_them_all(self):
        """Any of them may be the only one with some commits, so the rest prove nothing."""
        replicas = (ReplicaProcess("m2", 3, ("10.0.0.1", 2)),)
        written = next_record(None, "vm1", "m3", StoreRevision(1, 7), (), replicas)
        value = written.to_value()
        self.assertEqual(DutyRecord.from_value(value), written)
        for broken in (7, {"id": "m2"}, {"id": "m2", "incarnation": 3, "address": ["h"]}):
            value["replicas"] = [*value["replicas"][:1], broken]
            self.assertIsNone(DutyRecord.from_value(value).replicas)

    def test_stored_replicas_keep_an_order_that_may_take_effect(self):
        """The next supervisor would order another member beside it."""
        earlier = record(7, "m3")
        written = record_with_replicas(earlier, NO_HOLDER, "m1", (), StoreRevision(1, 9))
        self.assertEqual((written.member, written.replicas), ("m3", ()))
        self.assertGreater(written.fencing_token, earlier.fencing_token)
        first = record_with_replicas(None, NO_HOLDER, "m1", (), StoreRevision(1, 9))
        self.assertEqual((first.member, first.era), ("m1", 1))

    def test_malformed_start_hides_only_older_ones(self):
        """The record also says who holds the duty, which must not be lost with it."""
        value = next_record(None, "vm1", "m3", StoreRevision(1, 7), self.STARTS).to_value()
        for broken in (7, {}, {"member": "m2", "address": ["h", 0], "term": 1, "position": 2}):
            value["starts"][1] = broken
            self.assertEqual(DutyRecord.from_value(value).starts, self.STARTS[:1])
        value["starts"] = "none"
        self.assertEqual(DutyRecord.from_value(value).starts, ())


class DutyTest(unittest.TestCase):
    def test_unread_duty_is_not_acquired(self):
        """Without the record a VM cannot know whether another holder's lease is still valid."""
        self.assertFalse(DutyView().may_acquire("vm1", 100 * DUTY_LEASE, DUTY_LEASE))

    def test_other_holder_keeps_the_duty_for_a_lease(self):
        """Two holders must not alternate within a lease."""
        view = DutyView()
        view.update(record(4, "m1"), StoreRevision(1, 17), 1000 * MS)
        self.assertFalse(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE - MS, DUTY_LEASE))
        self.assertTrue(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE, DUTY_LEASE))

    def test_changed_record_restarts_the_lease(self):
        """A changed record shows that the holder was active."""
        view = DutyView()
        view.update(record(4, "m1"), StoreRevision(1, 17), 1000 * MS)
        view.update(record(5, "m2"), StoreRevision(1, 18), 5000 * MS)
        self.assertFalse(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE, DUTY_LEASE))

    def test_unchanged_record_does_not_extend_the_lease(self):
        """Reading an unchanged record must not extend the lease."""
        view = DutyView()
        view.update(record(4, "m1"), StoreRevision(1, 17), 1000 * MS)
        view.update(record(4, "m1"), StoreRevision(1, 17), 5000 * MS)
        self.assertTrue(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE, DUTY_LEASE))

    def test_token_rises_with_every_other_order(self):
        """An order that takes effect late must lose against a newer one of the same holder."""
        first = next_record(None, "vm1", "m2", StoreRevision(0, 0))
        second = next_record(first, "vm1", "m3", StoreRevision(0, 1))
        third = next_record(second, "vm2", "m3", StoreRevision(0, 2))
        tokens = [first.fencing_token, second.fencing_token, third.fencing_token]
        self.assertEqual(tokens, [1, 2, 3])

    def test_repeated_order_keeps_its_token(self):
        """Repeating an unanswered order must not create a new one."""
        first = next_record(None, "vm1", "m2", StoreRevision(1, 0))
        self.assertEqual(next_record(first, "vm1", "m2", StoreRevision(1, 7)), first)

    def test_value_of_another_writer_is_no_record(self):
        for value in (None, [], {"holder": "vm1"}, {"holder": 1, "token": 2, "member": "m"}):
            self.assertIsNone(DutyRecord.from_value(value))

    def test_token_that_no_vm_writes_is_no_record(self):
        """The next token would be above it, and no later one could be."""
        for token in (-1, 10**400):
            value = {"holder": "vm1", "token": token, "member": "m"}
            self.assertIsNone(DutyRecord.from_value(value))


class HighRevisionTest(unittest.TestCase):
    """The era of a record was read off its token, where a revision of 2**32 or more spills over."""

    HIGH = 5_000_000_000

    def written(self, era=0, record=None, holder="vm2"):
        """Return the next record at a high revision, as it is read back."""
        written = next_record(record, holder, "m1", StoreRevision(era, self.HIGH))
        return DutyRecord.from_value(written.to_value())

    def test_duty_is_a_lease(self):
        """Every VM took the duty at once, and lower tokens followed higher ones."""
        for era in (0, 3):
            view = DutyView()
            view.update(self.written(era), StoreRevision(era, self.HIGH + 1), 1000 * MS)
            self.assertEqual(pending_member(view, "m9"), "m1")
            self.assertFalse(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE - MS, DUTY_LEASE))
            self.assertTrue(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE, DUTY_LEASE))

    def test_renewed_record_is_of_the_era_that_it_was_renewed_in(self):
        renewed = renewed_record(self.written(), StoreRevision(1, self.HIGH))
        self.assertEqual(renewed.era, 1)

    def test_token_rises_across_a_restore(self):
        lost = self.written(era=1)
        restored = next_record(None, "vm1", "m2", StoreRevision(2, self.HIGH - 1000))
        self.assertGreater(restored.fencing_token, lost.fencing_token)

    def test_record_of_a_build_that_writes_no_era(self):
        value = {"holder": "vm1", "token": (2 << 32) + 7, "member": "m1"}
        self.assertEqual(DutyRecord.from_value(value).era, 2)

    def test_malformed_era_is_no_record(self):
        for era in (None, "1", 1.0, True, -1):
            value = {"holder": "vm1", "token": 7, "member": "m1", "era": era}
            self.assertIsNone(DutyRecord.from_value(value))


class RestoredDutyTest(unittest.TestCase):
    """The store was restored from a copy, and is in era 2."""

    def view(self, stored, number, era=2):
        view = DutyView()
        view.update(stored, StoreRevision(era, number), 1000 * MS)
        return view

    def test_token_of_a_lost_record_is_not_used_again(self):
        """Two holders sent orders with token 1, and a member cannot tell them apart."""
        lost = next_record(None, "vm1", "m2", StoreRevision(1, 0))
        again = next_record(None, "vm2", "m3", StoreRevision(2, 0))
        self.assertGreater(again.fencing_token, lost.fencing_token)

    def test_token_rises_after_a_late_write_of_the_earlier_era(self):
        """Its condition holds again, so an old record replaces one with a higher token."""
        newest = next_record(None, "vm2", "m3", StoreRevision(2, 24))
        late = next_record(None, "vm1", "m2", StoreRevision(1, 25))
        following = next_record(late, "vm3", "m3", StoreRevision(2, 26))
        self.assertGreater(following.fencing_token, newest.fencing_token)

    def test_order_of_an_earlier_era_is_not_repeated_by_its_record(self):
        earlier = record(5, "m2", "vm1", era=1)
        self.assertNotEqual(next_record(earlier, "vm1", "m2", StoreRevision(2, 5)), earlier)

    def test_duty_without_a_record_is_held_until_leases_of_the_earlier_era_have_expired(self):
        """The holder's record was lost, and a second VM sent orders within its lease."""
        view = self.view(None, 0)
        self.assertFalse(view.may_acquire("vm1", 9000 * MS, DUTY_LEASE - MS))
        self.assertTrue(view.may_acquire("vm1", 9000 * MS, DUTY_LEASE))

    def test_record_of_an_earlier_era_gives_its_holder_nothing(self):
        """Another VM may have taken the duty after the copy was made."""
        view = self.view(record(5, "m1", "vm1", era=1), 5)
        self.assertFalse(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE, DUTY_LEASE - MS))

    def test_record_of_an_earlier_era_holds_nobody_back_once_its_leases_have_expired(self):
        """Nobody renews it, so a VM that saw it late waited for another lease."""
        view = self.view(record(5, "m1", era=1), 5)
        self.assertTrue(view.may_acquire("vm1", 1000 * MS, DUTY_LEASE))

    def test_record_of_a_build_without_eras_is_a_lease(self):
        view = self.view(DutyRecord("vm2", 5, "m1"), 5)
        self.assertFalse(view.may_acquire("vm1", 1000 * MS, DUTY_LEASE))
        self.assertTrue(view.may_acquire("vm1", 1000 * MS + DUTY_LEASE, DUTY_LEASE))

    def test_record_of_this_era_counts_as_ever(self):
        view = self.view(record(5, "m1", "vm1", era=2), 5)
        self.assertTrue(view.may_acquire("vm1", 1000 * MS, 0 * MS))
        self.assertFalse(view.may_acquire("vm3", 1000 * MS, DUTY_LEASE))

    def test_store_without_eras_is_never_restored(self):
        self.assertTrue(self.view(None, 0, era=0).may_acquire("vm1", 1000 * MS, 0 * MS))

    def test_duty_that_only_confirms_the_primary_is_free(self):
        view = self.view(record(5, "m1", NO_HOLDER, era=2), 5)
        self.assertTrue(view.may_acquire("vm3", 1000 * MS, 0 * MS))

    def test_order_of_an_earlier_era_is_not_pending(self):
        """The copy may name a member that was replaced since, and is behind."""
        self.assertEqual(pending_member(self.view(record(5, "m2", era=1), 5), "m1"), "")
        self.assertEqual(pending_member(self.view(record(5, "m2", era=2), 5), "m1"), "m2")


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
        with mock.patch.multiple(explore, MAX_WRITES=2, MAX_RESTORES=0):
            self.assertGreater(explore.explore(), 1000)

    def test_no_order_shares_its_token_after_a_restore(self):
        with mock.patch.multiple(explore, MAX_WRITES=2, MAX_RESTORES=1, MAX_IN_FLIGHT=0):
            self.assertGreater(explore.explore(), 1000)

    def test_token_that_does_not_rise_for_the_same_holder_is_found(self):
        """Guards the exploration itself: a late order with an equal token undoes a newer one."""

        def without_rise(record, vm, member, revision):
            if record is not None and record.holder == vm:
                return DutyRecord(vm, record.fencing_token, member)
            return next_record(record, vm, member, revision)

        with mock.patch.multiple(explore, MAX_WRITES=2), self.assertRaises(explore.UnsafeError):
            explore.explore(without_rise)

    def test_token_from_the_record_alone_is_found(self):
        """Guards the exploration itself: a restore takes the record away, and its token with it."""

        def from_record(record, vm, member, revision):
            if record is not None and (record.holder, record.member) == (vm, member):
                return record
            token = record.fencing_token + 1 if record is not None else 1
            return DutyRecord(vm, token, member)

        with self.assertRaises(explore.UnsafeError):
            explore.explore(from_record)


class ChoiceExplorationTest(unittest.TestCase):
    """Crashes, deaf replicas, lost entries and restarts of all VMs, in every order."""

    def test_no_acknowledged_commit_is_lost_and_none_that_was_given_up_returns(self):
        for sync_replicas in (0, 1):
            self.assertGreater(explore_choice.explore(sync_replicas), 50_000)

    def assert_unsafe(self, sync_replicas, choose, **options):
        with self.assertRaises(explore_choice.UnsafeError):
            explore_choice.explore(sync_replicas, choose, **options)

    def test_choice_by_marks_alone_is_unsafe(self):
        """An old primary whose log went another way has the highest mark."""
        self.assert_unsafe(0, lambda poll: choose_from(evolve(poll, starts=())))

    def test_choice_among_listed_replicas_alone_is_unsafe(self):
        """A replica without an entry may be the only one with a commit."""

        def choose(poll):
            listed = [candidate for candidate in poll.candidates if candidate.ready]
            return choose_from(evolve(poll, candidates=listed))

        self.assert_unsafe(1, choose)

    def test_choice_without_an_unheard_replica_is_unsafe(self):
        self.assert_unsafe(1, lambda poll: choose_from(evolve(poll, unheard=[])))

    def test_vms_that_forget_the_replicas_are_unsafe(self):
        """After a restart of all VMs nobody knows of a replica without an entry."""
        self.assert_unsafe(1, choose_from, has_record=False)
