"""Tests of the choice of holders."""

import random
import unittest

from bramleyrill_base import ManualClock
from bramleyrill_core import Core, VmId, VmIdentity, World
from bramleyrill_core.membership import (
    HeartbeatAcked,
    VmState,
    VmUpdate,
    holder_of,
    holders_of,
    live_vms,
)
from bramleyrill_core.text import (
    DomainSpec,
    FleetSpec,
    Limits,
    ServiceSpec,
    build_database,
    build_text,
)

DATABASE = build_database(
    "f", "s", "db", {"m1": ("a", "h", 1), "m2": ("b", "h", 2), "m3": ("c", "h", 3)}
)


def build_world(domain="a"):
    service = ServiceSpec("f", "s", Limits(16, 2, None), {}, {"db": DATABASE}, {})
    domains = {name: DomainSpec(name, "r") for name in "abc"}
    text = build_text({"f": FleetSpec("f", 1.0, domains, {"s": service})})
    identity = VmIdentity(VmId("me"), domain, "r")
    return World(identity, ManualClock(), random.Random(1), text)


def alive(vm, domain, state=VmState.ALIVE, incarnation=0):
    return VmUpdate(VmId(vm), domain, "r", "127.0.0.1", 1, state, incarnation)


class HolderTest(unittest.TestCase):
    def test_members_move_only_from_the_vm_that_died(self):
        """Guards against a death that makes other VMs' members change hands too."""
        world = build_world("b")
        core = Core(world)
        core.handle(HeartbeatAcked(VmId("a0"), tuple(alive(f"a{n}", "a") for n in range(6))))
        members = [member.id for member in DATABASE.members]
        first = holder_of(world, members[0])
        self.assertIn(first, live_vms(world, "a"))
        for n in range(6):
            if f"a{n}" != first:
                core.handle(HeartbeatAcked(first, (alive(f"a{n}", "a", VmState.DEAD),)))
                self.assertEqual(holder_of(world, members[0]), first)
        core.handle(HeartbeatAcked(first, (alive("a9", "a"), alive(first, "a", VmState.DEAD))))
        self.assertEqual(holder_of(world, members[0]), "a9")

    def test_domain_without_vms_is_held_from_another(self):
        """Guards against members that nobody holds because their domain has no VM left."""
        world = build_world("b")
        core = Core(world)
        core.handle(HeartbeatAcked(VmId("b1"), (alive("b1", "b"),)))
        self.assertEqual(set(holders_of(world, DATABASE.id).values()), {"b1"})

    def test_leaving_and_joining_vms_hold_nothing(self):
        """Guards against new holdings at a VM that is about to go or not yet ready."""
        world = build_world("b")
        core = Core(world)
        states = (alive("a1", "a", VmState.LEAVING), alive("a2", "a", VmState.JOINING))
        core.handle(HeartbeatAcked(VmId("a1"), (*states, alive("b1", "b"))))
        self.assertEqual(holder_of(world, DATABASE.members[0].id), "b1")


if __name__ == "__main__":
    unittest.main()
