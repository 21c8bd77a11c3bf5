"""Tests of the choice of holders."""

import random
import unittest

from bramleyrill_core import VmId
from bramleyrill_core.membership import (
    HeartbeatAcked,
    MembershipTables,
    VmState,
    holder_of,
    holders_of,
    live_vms,
)

from tests.load_worlds import DATABASE, M1, build_core, update


def apply_updates(core, *updates):
    core.handle(HeartbeatAcked(VmId("b1"), updates))


class HolderTest(unittest.TestCase):
    def setUp(self):
        self.core = build_core(domain="b")
        self.world = self.core.world

    def test_members_move_only_from_the_vm_that_died(self):
        """Guards against a VM's death that also changes the holders of other VMs' members."""
        apply_updates(self.core, *(update(f"a{n}", "a") for n in range(6)))
        first_holder = holder_of(self.world, M1)
        self.assertIn(first_holder, live_vms(self.world, "a"))
        for n in range(6):
            if f"a{n}" != first_holder:
                apply_updates(self.core, update(f"a{n}", "a", VmState.DEAD))
                self.assertEqual(holder_of(self.world, M1), first_holder)
        apply_updates(self.core, update("a9", "a"), update(first_holder, "a", VmState.DEAD))
        self.assertEqual(holder_of(self.world, M1), "a9")

    def test_domain_without_vms_is_held_from_another(self):
        """Guards against members without a holder because their domain has no live VM."""
        apply_updates(self.core, update("b1", "b"))
        self.assertEqual(set(holders_of(self.world, DATABASE.id).values()), {"b1"})

    def test_leaving_and_joining_vms_hold_nothing(self):
        """Guards against choosing a holder that is leaving or not ready yet."""
        leaving, joining = update("a1", "a", VmState.LEAVING), update("a2", "a", VmState.JOINING)
        apply_updates(self.core, leaving, joining, update("b1", "b"))
        self.assertEqual(holder_of(self.world, M1), "b1")

    def test_remembered_choice_equals_a_new_one(self):
        """Guards against a cached holder that is outdated after a change of the view."""
        rng = random.Random(3)
        incarnations = dict.fromkeys(range(12), 0)
        for _ in range(400):
            for n in rng.sample(range(12), rng.choice((1, 2, 12))):
                incarnations[n] += 1
                state = rng.choice((VmState.ALIVE, VmState.DEAD, VmState.SUSPECT))
                apply_updates(self.core, update(f"a{n}", "a", state, incarnations[n]))
            cached = holder_of(self.world, M1)
            self.world.tables(MembershipTables).cached_holders.clear()
            self.assertEqual(cached, holder_of(self.world, M1))


if __name__ == "__main__":
    unittest.main()
