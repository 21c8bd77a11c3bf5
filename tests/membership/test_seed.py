"""Tests of a VM that joins through a seed peer during an outage of the platform."""

import unittest
from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import Core, VmIdentity, World
from bramleyrill_core.membership import (
    HeartbeatAcked,
    ListedVm,
    SendHeartbeat,
    VmsListed,
    VmState,
    VmUpdate,
    gossip_soon,
    holder_of,
    live_vms,
)
from bramleyrill_core.text import example_source, parse_text

MEMBER = "kintsugi/onarim-defteri/records/records-2"


class SeedTest(unittest.TestCase):
    """Guards against evicting a live holder because its domain is not known."""

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


class GossipSoonTest(unittest.TestCase):
    """Guards against a new text that is propagated only by the one ping a second."""

    def test_two_peers_get_a_heartbeat_at_the_next_tick(self):
        clock = ManualClock()
        world = World(VmIdentity("vm-9", "marmara-a", "marmara"), clock)
        core = Core(world)
        listed = tuple(ListedVm(f"vm-{n}", "ege-a", "ege", "127.0.0.1", n) for n in range(1, 6))
        core.handle(VmsListed(listed))
        updates = tuple(
            VmUpdate(vm.id, "ege-a", "ege", "127.0.0.1", vm.port, VmState.ALIVE, 1) for vm in listed
        )
        core.handle(HeartbeatAcked("vm-1", updates))
        for _ in range(100):
            clock.advance(timedelta(milliseconds=50))
            core.tick()
        clock.advance(timedelta(milliseconds=50))
        before = [e for e in core.tick() if isinstance(e, SendHeartbeat)]
        gossip_soon(world)
        clock.advance(timedelta(milliseconds=50))
        after = [e for e in core.tick() if isinstance(e, SendHeartbeat)]
        self.assertGreaterEqual(len(after), 2 + len(before))
