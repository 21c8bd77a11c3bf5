"""Holders in proportion to capacity, and VMs that call themselves slow."""

import unittest
from collections import Counter
from datetime import timedelta

from attrs import evolve
from bramleyrill_core import MemberRole, VmId, rendezvous_order
from bramleyrill_core._rendezvous import weighted_rendezvous_order
from bramleyrill_core.catalog import MemberEntry, MemberState
from bramleyrill_core.placement import (
    VmEntry,
    VmTable,
    accepted_capacity,
    capacity_of,
    holder_candidates,
    may_be_marked,
    may_leave_rotation,
    slow_vms,
    watches_platform,
)

NOW = timedelta()
CAPACITIES = (361, 361, 537, 717, 1070, 1070, 2150, 2150)


def member(name, domain="north-a"):
    address = ("10.0.0.1", 1)
    return MemberEntry(name, "pieces", address, domain, 2, MemberState.READY, MemberRole.REPLICA)


def vm(number, domain="north-a", **changes):
    return VmEntry(f"vm{number}", domain, ("10.0.0.2", 2), 1, **changes)


def table(entries, own=0):
    vms = VmTable(entries[own])
    vms.update_all([entry for entry in entries if entry is not entries[own]], NOW)
    return vms


class WeightedOrderTest(unittest.TestCase):
    KEYS = tuple(f"i-{number}" for number in range(4000))

    def first_choices(self, capacity_by_vm):
        return [weighted_rendezvous_order(key, capacity_by_vm)[0] for key in self.KEYS]

    def test_equal_capacities_keep_the_order_of_the_plain_hash(self):
        """Deployments with equal VMs would move all their members with an upgrade."""
        vms = [VmId(f"edge-{number}") for number in range(18)]
        for capacity in (100, 1070):
            for key in self.KEYS[:300]:
                ordered = weighted_rendezvous_order(key, dict.fromkeys(vms, capacity))
                self.assertEqual(ordered, rendezvous_order(key, vms))

    def test_share_of_the_keys_follows_capacity(self):
        """A VM with a third of a core held as many members as one with two cores."""
        capacity_by_vm = {VmId(f"vm{i}"): capacity for i, capacity in enumerate(CAPACITIES)}
        held = Counter(self.first_choices(capacity_by_vm))
        for name, capacity in capacity_by_vm.items():
            share = capacity / sum(CAPACITIES)
            self.assertAlmostEqual(held[name] / len(self.KEYS), share, delta=0.02)

    def test_only_keys_of_the_changed_vm_move(self):
        """Each move costs new connections to a member, so a VM must not move the others' keys."""
        capacity_by_vm = {VmId(f"vm{i}"): capacity for i, capacity in enumerate(CAPACITIES)}
        before = self.first_choices(capacity_by_vm)
        changes = ({"vm6": None}, {"vm6": 1000}, {"vm1": 2000}, {"new": 1070})
        for change in changes:
            name, capacity = next(iter(change.items()))
            changed = {key: value for key, value in capacity_by_vm.items() if key != name}
            if capacity is not None:
                changed[VmId(name)] = capacity
            moved = [
                (old, new)
                for old, new in zip(before, self.first_choices(changed), strict=True)
                if old != new
            ]
            with self.subTest(change=change):
                self.assertTrue(moved)
                self.assertTrue(all(name in pair for pair in moved))


class CapacityTest(unittest.TestCase):
    def test_processor_share_bounded_by_the_link(self):
        self.assertEqual(capacity_of(0.5, 2, None).capacity, 1000)
        self.assertEqual(capacity_of(0.5, 2, 1000).capacity, 1000)
        bounded = capacity_of(0.5, 2, 5)
        self.assertEqual((bounded.capacity, bounded.reason), (500, "bounded by the link"))

    def test_unknown_share_has_a_reason(self):
        for share, cores in ((None, 1), (0.5, None)):
            own = capacity_of(share, cores, 100)
            self.assertEqual(own.capacity, 0)
            self.assertTrue(own.reason)

    def test_impossible_capacity_of_a_peer_counts_as_unknown(self):
        """A VM with a huge or negative capacity would hold all members, or end the choice."""
        for told in (None, 0, -5, 10**9, "1000", 1.5, True):
            with self.subTest(told=told):
                self.assertEqual(accepted_capacity(told), 0)
        vms = table([vm(0), vm(1, capacity=1000)])
        held = Counter(holder_candidates(vms, member(f"m{i}"))[0] for i in range(500))
        self.assertGreater(held["vm1"], 480)

    def test_holders_of_many_members_are_the_large_vms(self):
        """In a domain of two large VMs among many small ones, the small ones held most members."""
        small = [vm(number, capacity=360) for number in range(16)]
        vms = table([*small, vm(98, capacity=2150), vm(99, capacity=2150)])
        held = Counter(holder_candidates(vms, member(f"m{i}"))[0] for i in range(2000))
        self.assertGreater((held["vm98"] + held["vm99"]) / 2000, 0.75)
        self.assertGreater(held["vm98"], 0.8 * held["vm99"])
        self.assertGreater(held["vm99"], 0.8 * held["vm98"])


class EntryOrderTest(unittest.TestCase):
    """An old flag that a third VM still tells must not replace a newer one."""

    def setUp(self):
        self.vms = table([vm(0), vm(1)])

    def test_older_sequence_is_ignored(self):
        self.assertTrue(self.vms.update(vm(1, slow_ms=90, sequence=1), NOW))
        self.assertTrue(self.vms.update(vm(1, sequence=2), NOW))
        self.assertFalse(self.vms.update(vm(1, slow_ms=90, sequence=1), NOW))
        self.assertEqual(self.vms.vms.get("vm1").entry.slow_ms, 0)

    def test_vm_that_leaves_does_not_stay_by_an_older_flag(self):
        self.vms.update(vm(1, leaving=True, sequence=1), NOW)
        self.assertFalse(self.vms.update(vm(1, slow_ms=90, sequence=2), NOW))

    def test_new_start_resets_the_sequence(self):
        self.vms.update(vm(1, slow_ms=90, sequence=5), NOW)
        self.assertTrue(self.vms.update(evolve(vm(1), started_ms=2), NOW))

    def test_capacity_that_an_older_build_left_out_is_learned(self):
        """A VM that was first heard of through an older build held next to nothing for good."""
        self.assertTrue(self.vms.update(vm(1, capacity=1070), NOW))
        self.assertEqual(self.vms.vms.get("vm1").entry.capacity, 1070)
        self.vms.update(vm(1, capacity=1070, slow_ms=90, sequence=1), NOW)
        self.assertFalse(self.vms.update(vm(1), NOW))
        self.assertEqual(self.vms.vms.get("vm1").entry.capacity, 1070)

    def test_flag_does_not_make_a_failed_vm_usable(self):
        self.vms.record_failure("vm1", NOW)
        self.vms.update(vm(1, slow_ms=90, sequence=1), NOW)
        self.assertFalse(self.vms.vms.get("vm1").usable)


class SlowVmTest(unittest.TestCase):
    def test_slow_vm_holds_no_member_while_others_are_left(self):
        entries = [vm(number) for number in range(6)]
        slow = holder_candidates(table(entries), member("m1"))[0]
        marked = [evolve(e, slow_ms=80, sequence=1) if e.id == slow else e for e in entries]
        before = holder_candidates(table(entries), member("m1"))
        for own in range(6):
            candidates = holder_candidates(table(marked, own), member("m1"))
            self.assertEqual(candidates, [*before[1:], slow])

    def test_candidates_follow_each_change_of_the_table(self):
        """The candidates are cached, as they are needed for each statement."""
        entries = [vm(number) for number in range(4)]
        vms = table(entries)
        names = {holder_candidates(vms, member(f"m{i}"))[0] for i in range(40)}
        self.assertEqual(names, {"vm0", "vm1", "vm2", "vm3"})
        changes = (
            lambda: vms.update(vm(1, slow_ms=80, sequence=1), NOW),
            lambda: vms.record_failure("vm2", NOW),
            lambda: setattr(vms, "own", evolve(vms.own, leaving=True)),
        )
        for change, gone in zip(changes, ("vm1", "vm2", "vm0"), strict=True):
            change()
            names.discard(gone)
            chosen = {holder_candidates(vms, member(f"m{i}"))[0] for i in range(40)}
            self.assertEqual(chosen, names)
        vms.record_answer("vm2", NOW)
        self.assertIn("vm2", {holder_candidates(vms, member(f"m{i}"))[0] for i in range(40)})

    def test_at_most_the_bound_is_passed_by_and_all_agree(self):
        """If all VMs were passed by, or each by another set, members would have many holders."""
        entries = [
            vm(number, f"zone-{number % 4}", slow_ms=100 + number % 4, sequence=1)
            for number in range(40)
        ]
        chosen = {slow_vms(table(entries, own)) for own in range(40)}
        self.assertEqual(len(chosen), 1)
        passed_by = chosen.pop()
        self.assertEqual(len(passed_by), 10)
        by_domain = Counter(int(name[2:]) % 4 for name in passed_by)
        self.assertLessEqual(max(by_domain.values()), 3)
        self.assertEqual((by_domain[3], by_domain[0]), (3, 1))

    def test_no_further_vm_marks_itself_beyond_the_bound(self):
        for size, slow, allowed in ((1, 0, False), (2, 0, True), (2, 1, False), (9, 3, False)):
            entries = [
                vm(number, slow_ms=90 if number > size - slow - 1 else 0, sequence=1)
                for number in range(size)
            ]
            with self.subTest(size=size, slow=slow):
                self.assertIs(may_be_marked(table(entries)), allowed)

    def test_slow_vm_does_not_watch_the_platform(self):
        entries = [vm(number) for number in range(6)]
        watchers = [i for i in range(6) if watches_platform(table(entries, i), NOW)]
        marked = list(entries)
        marked[watchers[0]] = evolve(entries[watchers[0]], slow_ms=80, sequence=1)
        after = [i for i in range(6) if watches_platform(table(marked, i), NOW)]
        self.assertEqual(len(after), 2)
        self.assertNotIn(watchers[0], after)

    def test_slow_vm_stays_in_rotation_unless_half_of_its_domain_is_left(self):
        """With fewer than half, the balancer uses all, and each of them has more callers."""
        for size, others_slow, others_failed, allowed in (
            (1, 0, 0, False),
            (2, 0, 0, True),
            (2, 1, 0, False),
            (6, 2, 0, True),
            (6, 2, 1, False),
            (6, 3, 0, False),
        ):
            vms = table([vm(number) for number in range(size)])
            for number in range(1, 1 + others_slow):
                vms.update(vm(number, slow_ms=80, sequence=1), NOW)
            for number in range(size - others_failed, size):
                vms.record_failure(f"vm{number}", NOW)
            with self.subTest(size=size, slow=others_slow, failed=others_failed):
                self.assertIs(may_leave_rotation(vms), allowed)
