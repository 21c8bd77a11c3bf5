"""Choice of the VM that holds a member, and of the member that serves a read."""

import unittest
from datetime import timedelta

from bramleyrill_core import MemberRole
from bramleyrill_core.catalog import MemberEntry, MemberState, MemberTable
from bramleyrill_core.history import StoreRevision
from bramleyrill_core.placement import (
    ReadPlacement,
    VmEntry,
    VmTable,
    holder_candidates,
    watches_platform,
)
from bramleyrill_core.placement._watchers import ISOLATED_AFTER_SILENCE, WATCHERS_PER_DOMAIN

MS = timedelta(milliseconds=1)
REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}


def member(name, domain="north-a", role=MemberRole.REPLICA, revision=1, era=1, **changes):
    values = {
        "id": name,
        "service": "pieces",
        "address": ("10.0.0.1", 1),
        "domain": domain,
        "slots": 2,
        "state": MemberState.READY,
        "role": role,
        "revision": StoreRevision(era, revision),
    }
    return MemberEntry(**(values | changes))


def vm(name, domain="north-a", started_ms=1, leaving=False):
    return VmEntry(name, domain, ("10.0.0.2", 2), started_ms, leaving)


class HolderTest(unittest.TestCase):
    def setUp(self):
        self.vms = VmTable(vm("own", "south-a"))
        for name in ("vm1", "vm2", "vm3"):
            self.vms.update(vm(name), 0 * MS)

    def test_vms_of_the_domain_come_first_and_this_vm_last(self):
        candidates = holder_candidates(self.vms, member("m1"))
        self.assertEqual(set(candidates[:3]), {"vm1", "vm2", "vm3"})
        self.assertEqual(candidates[3], "own")

    def test_failed_vm_is_skipped_until_it_answers_again(self):
        """A failed holder must not make its member unavailable or delay each new attempt."""
        first = holder_candidates(self.vms, member("m1"))[0]
        self.vms.record_failure(first, 0 * MS)
        self.assertNotIn(first, holder_candidates(self.vms, member("m1")))
        self.assertEqual(self.vms.due_for_probe(100 * MS), [])
        self.assertEqual(self.vms.due_for_probe(600 * MS), [first])
        self.assertNotIn(first, holder_candidates(self.vms, member("m1")))
        self.vms.record_answer(first, 610 * MS)
        self.assertEqual(holder_candidates(self.vms, member("m1"))[0], first)
        self.assertEqual(self.vms.due_for_probe(5000 * MS), [])

    def test_vm_that_is_cut_off_goes_to_the_member_itself(self):
        """Trying all VMs of an unreachable failure domain in turn cost 0.6 s for each of 13."""
        for name in ("vm4", "vm5", "vm6"):
            self.vms.update(vm(name), 0 * MS)
        ordered = holder_candidates(self.vms, member("m1"))
        for name in ordered[:2]:
            self.vms.record_failure(name, 0 * MS)
        self.assertEqual(holder_candidates(self.vms, member("m1"))[0], ordered[2])
        self.vms.record_failure(ordered[2], 0 * MS)
        self.assertEqual(holder_candidates(self.vms, member("m1")), ["own"])

    def test_leaving_vm_gets_no_new_work(self):
        first = holder_candidates(self.vms, member("m1"))[0]
        self.vms.update(vm(first, leaving=True), 0 * MS)
        self.assertNotIn(first, holder_candidates(self.vms, member("m1")))

    def test_vm_that_started_again_takes_work_again(self):
        """The `leaving` flag applies to one run of the process only."""
        self.vms.update(vm("vm1", leaving=True), 0 * MS)
        self.assertFalse(self.vms.update(vm("vm1"), 0 * MS))
        self.assertTrue(self.vms.update(vm("vm1", started_ms=2), 0 * MS))
        self.assertIn("vm1", holder_candidates(self.vms, member("m1")))


class WatcherTest(unittest.TestCase):
    """Every VM of a large fleet watched the platform, and paid for each change of any object."""

    def tables(self, count):
        names = [f"vm{number}" for number in range(count)]
        tables = []
        for name in names:
            table = VmTable(vm(name))
            for other in names:
                if other != name:
                    table.update(vm(other), 0 * MS)
            tables.append(table)
        return tables

    def watchers(self, tables, now=0 * MS):
        return [table.own.id for table in tables if watches_platform(table, now)]

    def test_few_vms_of_a_domain_watch(self):
        self.assertEqual(len(self.watchers(self.tables(200))), WATCHERS_PER_DOMAIN)

    def test_vms_of_other_domains_watch_for_their_own(self):
        tables = self.tables(4)
        for table in tables:
            for number in range(4):
                table.update(vm(f"far{number}", "south-a"), 0 * MS)
        self.assertEqual(len(self.watchers(tables)), WATCHERS_PER_DOMAIN)

    def test_failed_watcher_is_replaced(self):
        tables = self.tables(4)
        failed = self.watchers(tables)[0]
        others = [table for table in tables if table.own.id != failed]
        for table in others:
            table.record_failure(failed, 0 * MS)
        self.assertEqual(len(self.watchers(others)), WATCHERS_PER_DOMAIN)

    def test_vm_without_an_answer_of_a_peer_watches_itself(self):
        """A VM that is cut off from its peers hears of no change from them."""
        tables = self.tables(4)
        self.assertEqual(len(self.watchers(tables, ISOLATED_AFTER_SILENCE + MS)), 4)

    def test_single_vm_watches(self):
        self.assertTrue(watches_platform(VmTable(vm("own")), 0 * MS))


class ReadOrderTest(unittest.TestCase):
    """The policy `last_wait`."""

    def setUp(self):
        self.placement = ReadPlacement("north-a", REGIONS, "last_wait")
        self.members = [member("near"), member("region", "north-b"), member("far", "south-a")]

    def order(self, now=0 * MS, primary=None):
        return [row.id for row in self.placement.order(self.members, primary, now)]

    def test_nearest_first(self):
        self.assertEqual(self.order(), ["near", "region", "far"])

    def test_primary_is_avoided_for_reads(self):
        """Only the primary can serve writes."""
        self.assertEqual(self.order(primary="near"), ["region", "near", "far"])

    def test_long_queue_moves_reads_to_other_members(self):
        self.placement.record_wait("near", 200 * MS, 0 * MS)
        self.assertEqual(self.order()[-1], "near")
        self.assertEqual(self.order(5000 * MS)[0], "near")

    def test_member_that_failed_is_asked_last(self):
        self.placement.avoid("near", 0 * MS)
        self.assertEqual(self.order()[-1], "near")
        self.assertEqual(self.order(400 * MS)[0], "near")

    def test_member_that_fails_part_of_its_work_is_avoided_longer_each_time(self):
        """Such a member passes its health check, and answers some statements."""
        self.placement.record_failure("near", 0 * MS)
        self.assertEqual(self.order(310 * MS)[0], "near")
        self.placement.record_wait("near", 0 * MS, 310 * MS)
        self.placement.record_failure("near", 310 * MS)
        self.placement.record_failure("near", 320 * MS)
        self.assertEqual(self.order(1000 * MS)[-1], "near")
        self.assertEqual(self.order(9000 * MS)[0], "near")

    def test_member_that_stays_behind_is_tried_less_and_less_often(self):
        """A replica that lags for seconds would otherwise refuse every read's first attempt."""
        now = 0 * MS
        for _ in range(3):
            self.placement.record_stale("near", now)
            now += 1300 * MS
        self.assertEqual(self.order(now - 200 * MS)[-1], "near")
        self.assertEqual(self.order(now + 900 * MS)[0], "near")

    def test_member_that_caught_up_is_avoided_briefly_the_next_time(self):
        for _ in range(3):
            self.placement.record_stale("near", 0 * MS)
        self.placement.record_wait("near", 0 * MS, 3000 * MS)
        self.placement.record_stale("near", 3000 * MS)
        self.assertEqual(self.order(3400 * MS)[0], "near")


class MemberTableTest(unittest.TestCase):
    def setUp(self):
        self.table = MemberTable()
        self.table.put(member("m1", role=MemberRole.PRIMARY, revision=5))
        self.table.put(member("m2", revision=6))

    def test_entry_names_the_primary_until_a_term_is_proved(self):
        self.assertEqual(self.table.primary_of("pieces").entry.id, "m1")
        self.table.record_primary_proof("pieces", "m2", 2)
        self.assertEqual(self.table.primary_of("pieces").entry.id, "m2")

    def test_stale_entry_does_not_bring_the_old_primary_back(self):
        """The entry of a crashed primary keeps its role after another member was promoted."""
        self.table.record_primary_proof("pieces", "m2", 2)
        self.table.put(member("m1", role=MemberRole.PRIMARY, revision=9))
        self.assertEqual(self.table.primary_of("pieces").entry.id, "m2")

    def test_proof_of_an_older_term_is_ignored(self):
        self.table.record_primary_proof("pieces", "m2", 3)
        self.assertFalse(self.table.record_primary_proof("pieces", "m1", 2))

    def test_late_proof_of_a_gone_member_does_not_replace_the_one_that_returned(self):
        """The primary was back under a new id, and got no work until it was replaced."""
        self.table.record_primary_proof("pieces", "m1", 2)
        self.table.members.remove("m1")
        self.table.put(member("m9", role=MemberRole.PRIMARY, revision=9))
        self.assertFalse(self.table.record_primary_proof("pieces", "m1", 2))
        self.assertEqual(self.table.primary_of("pieces").entry.id, "m9")
        self.assertTrue(self.table.record_primary_proof("pieces", "m2", 2))

    def test_claim_of_a_member_that_is_gone_does_not_last(self):
        """VMs that got no proofs refused all work for the primary to the end of the day."""
        self.table.put(member("m9", role=MemberRole.PRIMARY, revision=9))
        self.assertEqual(self.table.primary_of("pieces").entry.id, "m9")
        self.table.lapse("m9", 0 * MS)
        self.table.drop_lapsed(2500 * MS)
        self.assertEqual(self.table.primary_of("pieces").entry.id, "m1")

    def test_proved_primary_is_presumed_after_a_false_claim(self):
        self.table.record_primary_proof("pieces", "m2", 2)
        self.table.put(member("m9", role=MemberRole.PRIMARY, revision=9))
        self.table.put(
            member("m9", role=MemberRole.PRIMARY, revision=10, state=MemberState.DRAINING)
        )
        self.table.lapse("m9", 0 * MS)
        self.assertEqual(self.table.primary_of("pieces").entry.id, "m2")

    def test_primary_that_is_gone_stays_known_without_another_one(self):
        """Nobody would replace it."""
        self.table.lapse("m1", 0 * MS)
        self.table.drop_lapsed(2500 * MS)
        self.assertIsNone(self.table.primary_of("pieces"))
        self.assertEqual(self.table.primaries.get("pieces").member, "m1")

    def test_appointment_is_no_proof(self):
        """It raises the newest term, in which a fence of the successor does not show."""
        self.table.record_primary_proof("pieces", "m1", 2)
        self.assertTrue(self.table.record_appointment("pieces", "m2"))
        self.assertEqual(self.table.term_of("pieces"), 3)
        self.assertEqual(self.table.proved_term_of("pieces", "m1"), 2)
        self.assertEqual(self.table.proved_term_of("pieces", "m2"), 0)

    def test_lapsed_entry_is_used_until_the_grace_ends(self):
        """Entries that lapse while the store is unavailable come back within two seconds."""
        self.table.lapse("m2", 0 * MS)
        self.assertEqual(self.table.drop_lapsed(2400 * MS), [])
        self.table.put(member("m2", revision=7))
        self.assertEqual(self.table.drop_lapsed(9000 * MS), [])
        self.table.lapse("m2", 0 * MS)
        self.assertEqual(self.table.drop_lapsed(2500 * MS), ["m2"])

    def test_draining_member_is_dropped_with_its_entry(self):
        self.table.put(member("m2", revision=8, state=MemberState.DRAINING))
        self.table.lapse("m2", 0 * MS)
        self.assertIsNone(self.table.members.get("m2"))


class RestoredMembersTest(unittest.TestCase):
    """Entries that a store lists after it was restored from a copy."""

    def setUp(self):
        self.table = MemberTable()
        self.table.put(member("m1", role=MemberRole.PRIMARY, revision=5, incarnation=1))
        self.table.put(member("m2", revision=20, state=MemberState.DRAINING, incarnation=1))

    def restore(self, *entries, now=0 * MS):
        first = member("m1", role=MemberRole.PRIMARY, revision=5, era=2, incarnation=1)
        self.table.replace_all([first, *entries], now)

    def accepts_work(self, name):
        row = self.table.members.get(name)
        return row is not None and row.accepts_work

    def test_change_with_a_lower_revision_of_the_new_era_is_taken(self):
        """A member that began to drain after a restore got new work, as its entry looked old."""
        self.table.put(member("m3", revision=30))
        self.restore(member("m3", revision=8, era=2))
        self.table.put(member("m3", revision=9, era=2, state=MemberState.DRAINING))
        self.assertFalse(self.accepts_work("m3"))
        self.assertIsNone(self.table.members.get("m3").lapsed_at)

    def test_listed_member_does_not_lapse_for_its_lower_revision(self):
        """Members that lapsed while the store was away were dropped though they were listed."""
        self.table.lapse("m1", 0 * MS)
        self.restore()
        self.assertEqual(self.table.drop_lapsed(9000 * MS), [])

    def test_draining_member_gets_no_work_by_an_entry_from_the_copy(self):
        self.restore(member("m2", revision=6, era=2, incarnation=1))
        self.assertFalse(self.accepts_work("m2"))
        self.table.settle_restored(9000 * MS)
        self.assertFalse(self.accepts_work("m2"))

    def test_member_that_left_does_not_come_back_with_the_copy(self):
        self.table.lapse("m2", 0 * MS)
        self.restore(member("m2", revision=6, era=2, incarnation=1))
        self.assertIsNone(self.table.members.get("m2"))
        self.restore(member("m2", revision=9, era=2, incarnation=2))
        self.assertTrue(self.accepts_work("m2"))

    def test_role_from_the_copy_does_not_bring_an_old_primary_back(self):
        self.table.put(member("m3", revision=30, role=MemberRole.PRIMARY))
        self.table.record_primary_proof("pieces", "m3", 2)
        self.restore(
            member("m3", revision=7, era=2),
            member("m4", revision=6, era=2, role=MemberRole.PRIMARY),
        )
        self.assertEqual(self.table.primary_of("pieces").entry.id, "m3")

    def test_entry_that_nobody_wrote_again_counts_after_a_while(self):
        self.table.put(member("m3", revision=30, slots=9))
        self.restore(member("m3", revision=7, era=2))
        self.assertEqual(self.table.settle_restored(2400 * MS), [])
        self.assertEqual(self.table.members.get("m3").entry.slots, 9)
        self.assertEqual(self.table.settle_restored(2500 * MS), ["m3"])
        self.assertEqual(self.table.members.get("m3").entry.slots, 2)

    def test_entry_listed_with_a_later_revision_was_written_again(self):
        self.table.put(member("m3", revision=30, slots=9))
        self.restore(member("m3", revision=7, era=2))
        self.restore(member("m3", revision=8, era=2, slots=4))
        self.assertEqual(self.table.members.get("m3").entry.slots, 4)

    def test_entry_of_an_earlier_era_is_ignored(self):
        """A peer that heard nothing of the restore still has the highest number."""
        self.restore(member("m3", revision=7, era=2))
        self.table.put(member("m3", revision=40, era=1, state=MemberState.DRAINING))
        self.assertTrue(self.accepts_work("m3"))
        self.assertEqual(self.table.revision.era, 2)

    def test_departed_members_are_bounded(self):
        for number in range(1100):
            name = f"x{number}"
            self.table.put(member(name, revision=40, state=MemberState.DRAINING, incarnation=1))
            self.table.lapse(name, 0 * MS)
        self.assertLessEqual(len(self.table._departed_incarnations_by_id), 1000)
