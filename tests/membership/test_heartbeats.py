"""Tests of heartbeats between simulated VMs."""

import unittest
from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import VmId
from bramleyrill_core.drain import StopRequested
from bramleyrill_core.membership import (
    HeartbeatAcked,
    HeartbeatArrived,
    HeartbeatTimedOut,
    IndirectAcked,
    IndirectAsked,
    ListedVm,
    MembershipTables,
    SendHeartbeat,
    SendHeartbeatAck,
    SendIndirect,
    SendIndirectAck,
    VmsListed,
    VmState,
    announce_left,
    live_vms,
)

from tests.load_worlds import MS, S, build_core, update


class Net:
    """Simulated VMs on one clock whose frames arrive at once.

    VMs in `cut` send and receive nothing; VMs in `split` reach only each other.
    """

    def __init__(self, count, domains="abc"):
        self.clock = ManualClock()
        self.cores = {}
        self.cut = set()
        self.split = set()
        self.frames = 0
        self.names = [f"vm{n}" for n in range(count)]
        self.domain = {name: domains[n % len(domains)] for n, name in enumerate(self.names)}
        for number, name in enumerate(self.names):
            self.start_vm(name, number)

    def start_vm(self, name, seed):
        core = build_core(name, self.domain[name], seed, self.clock)
        listed = tuple(
            ListedVm(VmId(vm), self.domain[vm], "r", "127.0.0.1", 1) for vm in self.names
        )
        self.cores[name] = core
        self.deliver_effects(name, core.handle(VmsListed(listed)))

    def deliver_effects(self, sender, effects):
        for effect in effects:
            self.deliver_effect(sender, effect)

    def deliver_effect(self, sender, effect):
        if isinstance(effect, SendHeartbeat):
            receiver, message = effect.vm, HeartbeatArrived(sender, effect.updates)
        elif isinstance(effect, SendHeartbeatAck):
            receiver, message = effect.vm, HeartbeatAcked(sender, effect.updates)
        elif isinstance(effect, SendIndirect):
            receiver, message = effect.via, IndirectAsked(sender, effect.vm)
        elif isinstance(effect, SendIndirectAck):
            receiver, message = effect.origin, IndirectAcked(sender, effect.vm)
        else:
            return
        self.frames += 1
        crosses = (sender in self.split) != (receiver in self.split)
        if receiver in self.cores and not crosses and not {sender, receiver} & self.cut:
            self.deliver_effects(receiver, self.cores[receiver].handle(message))

    def run(self, seconds):
        for _ in range(round(seconds * 20)):
            self.clock.advance(50 * MS)
            for name, core in list(self.cores.items()):
                self.deliver_effects(name, core.tick())

    def state(self, seen_by, vm):
        return self.cores[seen_by].world.tables(MembershipTables).vms.by_id[vm].state

    def states(self, vm):
        return {self.state(name, vm) for name in self.cores if name not in {vm} | self.cut}


class HeartbeatTest(unittest.TestCase):
    def test_all_vms_see_each_other_alive(self):
        """Guards against a VM that stays unused after a start."""
        net = Net(9)
        net.run(8)
        for core in net.cores.values():
            self.assertEqual(len(live_vms(core.world)), 9)

    def test_vanished_vm_is_dead_and_leaving_one_is_left(self):
        """Guards against the eviction of a VM that is still finishing its requests."""
        net = Net(9)
        net.run(8)
        net.cut.add("vm1")
        net.deliver_effects("vm2", net.cores["vm2"].handle(StopRequested()))
        net.run(1)
        self.assertEqual(net.states("vm2"), {VmState.LEAVING})
        net.run(15)
        self.assertEqual(net.states("vm1"), {VmState.DEAD})
        self.assertEqual(net.states("vm2"), {VmState.LEAVING})
        net.deliver_effects("vm2", announce_left(net.cores["vm2"].world))
        del net.cores["vm2"]
        net.run(1)
        self.assertEqual(net.states("vm2"), {VmState.LEFT})

    def test_leaving_vm_that_vanishes_is_dead(self):
        """Guards against locks that are never evicted because their VM announced leaving."""
        net = Net(6)
        net.run(8)
        net.deliver_effects("vm2", net.cores["vm2"].handle(StopRequested()))
        net.run(1)
        del net.cores["vm2"]
        net.run(20)
        self.assertEqual(net.states("vm2"), {VmState.DEAD})

    def test_short_silence_is_refuted(self):
        """Guards against a VM that loses its members because of a pause of 2 s."""
        net = Net(6)
        net.run(8)
        paused = net.cores.pop("vm1")
        net.run(2)
        net.cores["vm1"] = paused
        net.run(10)
        self.assertEqual(net.states("vm1"), {VmState.ALIVE})

    def test_lost_link_is_bridged_by_relays(self):
        """Guards against a VM that all others consider dead because of one broken path."""
        net = Net(6)
        net.run(8)
        deliver_effect = net.deliver_effect

        def without_link(sender, effect):
            pair = {sender, getattr(effect, "vm", None)}
            if pair != {"vm1", "vm2"} or not isinstance(effect, SendHeartbeat | SendHeartbeatAck):
                deliver_effect(sender, effect)

        net.deliver_effect = without_link
        net.run(60)
        self.assertEqual(net.state("vm1", "vm2"), VmState.ALIVE)

    def test_sides_of_a_partition_meet_again(self):
        """Guards against two sides of a partition that consider each other dead forever."""
        net = Net(9)
        net.run(8)
        net.split = {"vm0", "vm3", "vm6"}
        net.run(30)
        self.assertEqual(net.state("vm1", "vm0"), VmState.DEAD)
        net.split = set()
        net.run(40)
        for core in net.cores.values():
            self.assertEqual(len(live_vms(core.world)), 9)

    def test_restart_with_a_clock_set_back_is_seen(self):
        """Guards against a restarted VM that some peer still considers dead.

        Its incarnation is lower than before the restart because its clock was set back.
        """
        net = Net(30, domains="a")
        net.run(15)
        net.cut = {"vm5"}
        net.run(40)
        net.cut = set()
        net.start_vm("vm5", 77)
        row = net.cores["vm5"].world.tables(MembershipTables).vms.by_id["vm5"]
        row.incarnation = 0
        net.run(15)
        self.assertEqual(net.states("vm5"), {VmState.ALIVE})

    def test_returning_domain_comes_back_spread_over_time(self):
        """Guards against dialing all members of a returning domain at the same moment."""
        for jitter in (True, False):
            net = Net(40, domains="a")
            net.run(15)
            net.split = set(net.names[1:])
            for name in net.names[1:]:
                net.cores.pop(name)
            net.run(90)
            self.assertEqual(len(live_vms(net.cores["vm0"].world)), 1)
            net.split = set()
            for number, name in enumerate(net.names[1:], 1):
                net.start_vm(name, 100 + number)
                if not jitter:
                    net.cores[name].world.rules.switch_off("return_jitter")
            joined_per_step = []
            for _ in range(100):
                before = len(live_vms(net.cores["vm0"].world))
                net.run(0.25)
                joined_per_step.append(len(live_vms(net.cores["vm0"].world)) - before)
            self.assertEqual(sum(joined_per_step), 39)
            if jitter:
                self.assertLess(max(joined_per_step), 13)
            else:
                self.assertGreaterEqual(max(joined_per_step), 20)


class RefusalTest(unittest.TestCase):
    def test_vm_without_a_process_is_dead_within_a_second(self):
        """Guards against members without a holder for 5 s after a process has ended."""
        for rule in (True, False):
            net = Net(9)
            net.run(8)
            if not rule:
                net.cores["vm1"].world.rules.switch_off("trust_refusal")
            net.cut = {"vm2"}
            message = HeartbeatTimedOut(VmId("vm2"), refused=True)
            net.deliver_effects("vm1", net.cores["vm1"].handle(message))
            net.run(1)
            self.assertEqual(net.states("vm2") == {VmState.DEAD}, rule)

    def test_refusal_during_a_stop_or_a_restart_is_not_death(self):
        """Guards against the eviction of a VM that finishes its requests or has restarted."""
        net = Net(9)
        net.run(8)
        net.deliver_effects("vm2", net.cores["vm2"].handle(StopRequested()))
        net.run(1)
        for vm in ("vm2", "vm3"):
            message = HeartbeatTimedOut(VmId(vm), refused=True)
            net.deliver_effects("vm1", net.cores["vm1"].handle(message))
        net.run(3)
        self.assertEqual(net.states("vm2"), {VmState.LEAVING})
        self.assertEqual(net.states("vm3"), {VmState.ALIVE})


class ListTest(unittest.TestCase):
    def test_list_is_only_a_hint(self):
        """Guards against an outdated list that removes a VM that answers."""
        core = build_core()
        core.handle(HeartbeatAcked(VmId("b1"), (update("b1", "b"),)))
        core.handle(VmsListed((ListedVm(VmId("c1"), "c", "r", "127.0.0.1", 1),)))
        self.assertIn("b1", live_vms(core.world))
        self.assertNotIn("c1", live_vms(core.world))
        core.handle(VmsListed(()))
        self.assertNotIn("c1", core.world.tables(MembershipTables).vms)

    def test_single_vm_serves_alone(self):
        """Guards against a single VM that waits for peers forever."""
        core = build_core()
        core.handle(VmsListed((ListedVm(VmId("me"), "a", "r", "127.0.0.1", 1),)))
        self.assertEqual(live_vms(core.world), ["me"])
        isolated = build_core("other")
        isolated.tick()
        isolated.world.clock.advance(2 * S)
        isolated.tick()
        self.assertEqual(live_vms(isolated.world), ["other"])


class CostTest(unittest.TestCase):
    def test_frames_per_vm_do_not_grow_with_the_vms(self):
        """Guards against heartbeats from every VM to every other VM."""
        per_vm = []
        for count in (10, 40):
            net = Net(count)
            net.run(20)
            net.frames = 0
            net.run(10)
            per_vm.append(net.frames / count / 10)
        self.assertLess(per_vm[1], 1.2 * per_vm[0])
        self.assertLess(per_vm[1], 3)

    def test_frames_are_bounded(self):
        """Guards against frames that carry the full view to a VM that already has it."""
        core = build_core()
        core.handle(HeartbeatAcked(VmId("b1"), tuple(update(f"b{n}", "b") for n in range(100))))
        changes = tuple(update(f"b{n}", "b", VmState.DEAD) for n in range(2, 60))
        core.handle(HeartbeatAcked(VmId("b1"), changes))
        for _ in range(5):
            core.world.clock.advance(timedelta(seconds=1))
            for effect in core.tick():
                if isinstance(effect, SendHeartbeat):
                    self.assertLessEqual(len(effect.updates), 8)


if __name__ == "__main__":
    unittest.main()
