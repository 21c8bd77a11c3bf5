"""Entry VMs tell each other that one is slow, and a slow one gives up its work."""

import random
import unittest
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

import gevent
from attrs import evolve
from bramleyrill_base import ManualClock
from bramleyrill_core.leadership import DutyView
from bramleyrill_core.placement import ReadPlacement, VmEntry, VmTable, slow_vms
from bramleyrill_core.vm_health import Change
from bramleyrill_entry import _health
from bramleyrill_entry._duty_leases import SupervisedService
from bramleyrill_entry._gossip import Gossip, handle_ping
from bramleyrill_entry._health import WARM_UP, VmHealth
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._peer_link import decode_vm, encode_vm
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._supervisor import Supervisor
from bramleyrill_entry._watch import _decode_vm
from bramleyrill_platform import StoredObject
from bramleyrill_wire.entries import FrameBuffer, encode, frames

from tests.entry.builders import make_settings

INTERVAL = timedelta(milliseconds=100)
MS = timedelta(milliseconds=1)


def entry(name, domain="north-a", **changes):
    return VmEntry(name, domain, ("127.0.0.1", 1), 1, **changes)


def sent(frame):
    """Return a frame as the other side reads it."""
    return FrameBuffer().feed(encode(frame))[0]


class FakeNet:
    """One VM whose pings are answered by the others directly; `delays_by_vm` takes their time."""

    def __init__(self, name, domain, nets):
        settings = make_settings(id=name, domain=domain)
        self.clock = ManualClock()
        self.state = EntryState(
            settings, self.clock, VmTable(entry(name, domain)), ReadPlacement(domain, {})
        )
        self.health = VmHealth(self.state, INTERVAL)
        self.gossip = Gossip(self)
        self.gossip.health = self.health
        self.health.change_hooks.append(self.gossip.announce)
        self.services = {Gossip: self.gossip, VmHealth: self.health}
        self.nets = nets
        self.pings = 0
        self.delays_by_vm = {}
        nets[name] = self

    def link(self, vm):
        other = self.nets[vm]
        return SimpleNamespace(
            peer=other.state.vms.own, call=lambda make, timeout: self.call(other, make)
        )

    def call(self, other, make_frame):
        self.pings += 1
        answers = []
        link = SimpleNamespace(peer=self.state.vms.own, send=answers.append)
        handle_ping(other, link, sent(make_frame(1)))
        self.clock.advance(self.delays_by_vm.get(other.state.vm, MS))
        return sent(answers[0])


class FleetTest(unittest.TestCase):
    def setUp(self):
        random.seed(7)
        self.enterContext(
            mock.patch.object(gevent, "spawn_later", lambda _delay, run: gevent.spawn(run))
        )
        self.nets = {}
        for number in range(36):
            FakeNet(f"vm{number}", f"zone-{number % 3}", self.nets)
        entries = [net.state.vms.own for net in self.nets.values()]
        for net in self.nets.values():
            net.state.vms.update_all(entries, net.state.now())

    def settle(self):
        for _ in range(100):
            gevent.sleep(0)

    def ping_round(self):
        for net in self.nets.values():
            net.gossip.ping_peers()
        self.settle()

    def knowing(self, vm):
        return sum(vm in slow_vms(net.state.vms) for net in self.nets.values())

    def tell(self, name, change):
        net = self.nets[name]
        net.health._tell(change, net.health.observation.judge(net.state.now(), 0))

    def test_flag_reaches_all_vms_within_a_few_pings_and_is_taken_back(self):
        """Pings of random VMs alone took seconds, as long as many slow spells last."""
        self.tell("vm5", Change.MARK)
        self.settle()
        self.assertGreater(self.knowing("vm5"), 18)
        for _ in range(6):
            self.ping_round()
        self.assertEqual(self.knowing("vm5"), 36)
        self.tell("vm5", Change.CLEAR)
        for _ in range(6):
            self.ping_round()
        self.assertEqual(self.knowing("vm5"), 0)

    def test_one_change_costs_a_bounded_number_of_pings(self):
        """Each VM that passed it on to others who pass it on again would never end."""
        self.tell("vm5", Change.MARK)
        self.settle()
        self.assertLess(sum(net.pings for net in self.nets.values()), 36 * 3)

    def test_late_answers_are_reported_to_the_vm_at_once(self):
        for _ in range(12):
            self.ping_round()
        for net in self.nets.values():
            net.delays_by_vm["vm5"] = 400 * MS
        for _ in range(4):
            self.ping_round()
        reports = self.nets["vm5"].health.observation._report_by_peer
        self.assertGreaterEqual(len(reports), 3)
        others = [net.health.observation._report_by_peer for net in self.nets.values()]
        self.assertEqual(sum(map(len, others)), len(reports))

    def test_ping_of_an_older_build_is_answered(self):
        net = self.nets["vm1"]
        old = frames.Vm(id="vm2", domain="zone-2", host="h", port=1, started_ms=1)
        answers = []
        link = SimpleNamespace(peer=entry("vm2", "zone-2"), send=answers.append)
        handle_ping(net, link, sent(frames.Ping(call=3, vms_known=36, vm=old)))
        self.assertEqual(answers[0].call, 3)


class ShellTest(unittest.TestCase):
    def setUp(self):
        nets = {}
        self.net = FakeNet("vm1", "north-a", nets)
        for number in range(2, 9):
            self.net.state.vms.update(entry(f"vm{number}"), timedelta())
        self.net.nets.update({f"vm{n}": FakeNet(f"vm{n}", "north-a", {}) for n in range(2, 9)})
        self.health, self.clock = self.net.health, self.net.clock
        self.enterContext(mock.patch.object(_health, "_probe", lambda: timedelta(microseconds=15)))
        self.enterContext(mock.patch.object(_health, "_processor_time", timedelta))
        self.logged = self.enterContext(mock.patch.object(_health, "log_event"))
        self.clock.advance(WARM_UP)
        self.play(60, MS)
        gevent.sleep(0)

    def play(self, timers, late_by):
        for _ in range(timers):
            self.health.timer_set()
            self.clock.advance(INTERVAL + late_by)
            self.health.timer_fired()

    def events(self):
        return [call.args[0] for call in self.logged.call_args_list]

    def test_slow_vm_tells_it_once_and_leaves_rotation(self):
        self.assertFalse(self.health.is_out_of_rotation())
        self.play(20, 300 * MS)
        own = self.net.state.vms.own
        self.assertEqual((own.slow_ms, own.sequence), (300, 1))
        self.assertTrue(self.health.is_out_of_rotation())
        self.assertEqual(self.events(), ["vm_slow", "vm_out_of_rotation"])
        self.play(60, MS)
        self.assertFalse(self.health.is_out_of_rotation())
        own = self.net.state.vms.own
        self.assertEqual((own.slow_ms, own.sequence), (0, 2))

    def test_vm_that_starts_is_not_judged(self):
        net = FakeNet("vm1", "north-a", {})
        for _ in range(5):
            net.health.timer_set()
            net.clock.advance(700 * MS)
            net.health.timer_fired()
        self.assertEqual(net.state.vms.own.slow_ms, 0)

    def test_enough_slow_vms_are_logged_once(self):
        for number in (2, 3):
            self.net.state.vms.update(entry(f"vm{number}", slow_ms=90, sequence=1), timedelta())
        self.play(40, 300 * MS)
        self.assertEqual(self.net.state.vms.own.slow_ms, 0)
        self.assertEqual(self.events(), ["vm_slow_not_told"])

    def test_impossible_delay_of_a_peer_is_logged_once(self):
        for told in (-1, 2**60, -1):
            self.health.hear("vm2", told, told)
        self.assertEqual(self.events(), ["peer_delay_ignored"])

    def test_vm_that_is_late_itself_does_not_report_others(self):
        peer = self.net.state.vms.vms.get("vm2").entry
        for _ in range(20):
            self.health.record_round_trip(peer, MS)
        self.assertTrue(self.health.record_round_trip(peer, 400 * MS))
        self.play(3, 60 * MS)
        self.assertFalse(self.health.record_round_trip(peer, 400 * MS))

    def test_gauges(self):
        metrics = EntryMetrics()
        self.net.state.vms.own = evolve(self.net.state.vms.own, capacity=1070)
        self.health.slowness.slow = True
        self.health.update_metrics(metrics)
        text = metrics.render().decode()
        self.assertIn("bramleyrill_vm_slow 1.0", text)
        self.assertIn("bramleyrill_vm_capacity 1.07", text)


class EntryTest(unittest.TestCase):
    """Entries of VMs from peers and from the store."""

    def test_entry_passes_the_wire_and_the_store(self):
        told = entry("vm2", capacity=1070, slow_ms=90, sequence=4)
        self.assertEqual(decode_vm(sent(frames.Hello(vm=encode_vm(told))).vm), told)
        value = {"host": "h", "domain": "d", "port": 5, "started_ms": 3}
        self.assertEqual(_decode_vm(StoredObject("vm2", 1, value)).capacity, 0)
        for capacity, known in ((1070, 1070), ("x", 0), (-4, 0), (10**12, 0), (None, 0)):
            stored = StoredObject("vm2", 1, value | {"capacity": capacity})
            self.assertEqual(_decode_vm(stored).capacity, known)

    def test_impossible_sequence_is_rejected_and_a_huge_delay_bounded(self):
        """A huge sequence number would hide all later changes of the VM."""
        for changes in ({"sequence": -1}, {"sequence": 2**31 - 1}, {"slow_ms": -5}):
            with self.subTest(changes=changes), self.assertRaises(ValueError):
                decode_vm(encode_vm(evolve(entry("vm2"), **changes)))
        told = decode_vm(encode_vm(entry("vm2", slow_ms=10**9)))
        self.assertEqual(told.slow_ms, 60_000)


class SupervisorTest(unittest.TestCase):
    def setUp(self):
        self.net = FakeNet("vm1", "north-a", {})
        for number in range(2, 6):
            self.net.state.vms.update(entry(f"vm{number}"), timedelta())
        self.supervisor = Supervisor(
            self.net.state, self.net, *(mock.Mock() for _ in range(4)), mock.Mock(needed=False)
        )

    def index(self, service):
        supervised = SupervisedService(service, DutyView(), timedelta())
        self.supervisor.leases.holds = lambda _: self.holds
        return self.supervisor._supervisor_index(supervised)

    def test_slow_vm_takes_no_new_duty_but_ends_what_it_holds(self):
        """A slow supervisor delays the change of a failed primary for all of its callers."""
        self.holds = False
        service = next(f"s{i}" for i in range(99) if self.index(f"s{i}") == 0)
        own = self.net.state.vms.own
        self.net.state.vms.own = evolve(own, slow_ms=90, sequence=1)
        self.assertIsNone(self.index(service))
        self.holds = True
        self.assertEqual(self.index(service), 0)
