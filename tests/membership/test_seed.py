"""Tests of a VM that joins through a seed peer during an outage of the platform."""

import unittest

from bramleyrill_base import ManualClock
from bramleyrill_core import Core, VmIdentity, World
from bramleyrill_core.membership import (
    HeartbeatAcked,
    ListedVm,
    VmsListed,
    VmState,
    VmUpdate,
    holder_of,
    live_vms,
)
from bramleyrill_core.text import example_source, parse_text

MEMBER = "kintsugi/onarim-defteri/records/records-2"


class SeedTest(unittest.TestCase):
    """Guards against a VM that evicts a live holder since it does not know the holder's domain."""

    def test_seed_gets_its_domain_from_its_own_update(self):
        world = World(VmIdentity("vm-9", "marmara-a", "marmara"), ManualClock())
        world.text = parse_text(example_source(), 1).unwrap()
        core = Core(world)
        core.handle(VmsListed((ListedVm("vm-2", "", "", "127.0.0.1", 7),)))
        for state, incarnation in ((VmState.ALIVE, 1), (VmState.ALIVE, 2)):
            update = VmUpdate("vm-2", "ege-a", "ege", "127.0.0.1", 7, state, incarnation)
            core.handle(HeartbeatAcked("vm-2", (update,)))
        self.assertEqual(live_vms(world, "ege-a"), ["vm-2"])
        self.assertEqual(live_vms(world, ""), [])
        self.assertEqual(holder_of(world, MEMBER), "vm-2")

    def test_live_seed_is_moved_to_its_domain(self):
        world = World(VmIdentity("vm-9", "marmara-a", "marmara"), ManualClock())
        world.text = parse_text(example_source(), 1).unwrap()
        core = Core(world)
        core.handle(VmsListed((ListedVm("vm-2", "", "", "127.0.0.1", 7),)))
        unplaced = VmUpdate("vm-2", "", "", "127.0.0.1", 7, VmState.ALIVE, 1)
        core.handle(HeartbeatAcked("vm-2", (unplaced,)))
        placed = VmUpdate("vm-2", "ege-a", "ege", "127.0.0.1", 7, VmState.ALIVE, 1)
        core.handle(HeartbeatAcked("vm-2", (placed,)))
        self.assertEqual((live_vms(world, "ege-a"), live_vms(world, "")), (["vm-2"], []))
        self.assertEqual(holder_of(world, MEMBER), "vm-2")
