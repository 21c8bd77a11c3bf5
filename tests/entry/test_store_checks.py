"""VMs that follow the store for others notice that they have lost it, and say so."""

import unittest
from datetime import timedelta
from unittest import mock

import gevent
import gevent.socket
from attrs import evolve
from bramleyrill_core.catalog import Catalog
from bramleyrill_core.placement import (
    CHECK_INTERVAL,
    StoreContact,
    VmEntry,
    domain_watchers,
    is_news,
)
from bramleyrill_entry import _store_checks
from bramleyrill_entry._gossip import Gossip
from bramleyrill_entry._peer_link import decode_vm, encode_vm
from bramleyrill_entry._store_checks import StoreChecks
from bramleyrill_entry._watch import ConfigurationWatch
from bramleyrill_platform import StoreClient
from bramleyrill_standins.prepared import LineGroup, PreparedPlatform

from tests.entry.builders import DOMAIN, SERVICE, make_state
from tests.entry.platform_thread import PlatformThread


class ContactTest(unittest.TestCase):
    def record(self, contact, *answers):
        return [contact.record(answer) for answer in answers]

    def test_one_lost_answer_is_no_lost_store(self):
        """The watches of a domain would move with each answer that is lost."""
        self.assertEqual(self.record(StoreContact(), False, True, False), [False] * 3)

    def test_store_that_does_not_answer_twice_is_lost(self):
        contact = StoreContact()
        self.assertEqual(self.record(contact, False, False, False), [False, True, False])
        self.assertTrue(contact.lost)

    def test_path_that_comes_and_goes_stays_lost(self):
        """The VM would be a watcher again, and lose the next change."""
        contact = StoreContact()
        self.record(contact, False, False)
        self.assertEqual(self.record(contact, True, True, False, True, True), [False] * 5)
        self.assertEqual(self.record(contact, True), [True])
        self.assertFalse(contact.lost)

    def test_loss_is_noticed_within_half_of_the_time_to_apply_a_configuration(self):
        """Others must still take over, list the configuration and tell the rest."""
        contact, timeout = StoreContact(), _store_checks.CHECK_TIMEOUT
        needed = contact.next_check(True) + timeout
        contact.record(False)
        needed += contact.next_check(True) + timeout
        self.assertLessEqual(needed, timedelta(seconds=4) / 2)

    def test_vms_that_watch_for_nobody_check_a_lost_store_less_often(self):
        """When the store is down all VMs lose it, and would press it with their checks."""
        contact = StoreContact()
        self.record(contact, False, False)
        self.assertGreater(contact.next_check(False), 4 * contact.next_check(True))
        contact.record(True)
        self.assertEqual(contact.next_check(False), CHECK_INTERVAL)


class FleetTest(unittest.TestCase):
    """One VM of a domain with five others, vm2 to vm6."""

    OWN = "vm1"

    def setUp(self):
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        self.platform = PreparedPlatform()
        thread = PlatformThread(self.platform)
        self.addCleanup(thread.close)
        self.state = make_state(group, id=self.OWN, platform=thread.address)
        self.vms = self.state.vms
        for number in range(2, 7):
            self.vms.update(self.entry(number), self.state.now())
        self.store = StoreClient(thread.address, self.state.history)
        self.gossip = Gossip(mock.Mock(state=self.state))
        self.pinged = []
        # Greenlets that ping may run after the test.
        self.gossip.ping = lambda vm, *_: self.pinged.append(vm)
        self.checks = StoreChecks(self.state, self.store, self.gossip)

    def entry(self, number, **changes):
        return VmEntry(f"vm{number}", DOMAIN, ("127.0.0.1", number), 1, **changes)

    def hear_lost(self, *names, lost=True):
        for name in names:
            earlier = self.vms.vms.get(name).entry
            news = evolve(earlier, store_lost=lost, sequence=earlier.sequence + 1)
            self.gossip.merge([news], name)


class WatchersTest(FleetTest):
    def test_others_watch_for_those_that_lost_the_store(self):
        """Both watchers of a domain were cut off, and the rest learned of nothing for 12 s."""
        before = domain_watchers(self.vms)
        names = [name for name in before if name != "vm1"]
        self.hear_lost(*names)
        self.assertFalse(set(names) & set(domain_watchers(self.vms)))
        self.assertEqual(len(domain_watchers(self.vms)), 2)

    def test_watchers_that_are_lost_one_after_the_other_are_replaced_each_time(self):
        seen = set()
        for _ in range(4):
            name = next(vm for vm in domain_watchers(self.vms) if vm != "vm1")
            self.assertNotIn(name, seen)
            seen.add(name)
            self.hear_lost(name)

    def test_if_nobody_hears_the_store_two_go_on_trying(self):
        """Nobody would notice that the store is back."""
        before = domain_watchers(self.vms)
        self.hear_lost(*(f"vm{number}" for number in range(2, 7)))
        self.assertEqual(domain_watchers(self.vms), ["vm1"])
        self.vms.own = evolve(self.vms.own, store_lost=True)
        self.assertEqual(domain_watchers(self.vms), before)

    def test_watcher_that_regained_the_store_watches_again(self):
        before = domain_watchers(self.vms)
        names = [name for name in before if name != "vm1"]
        self.hear_lost(*names)
        self.hear_lost(*names, lost=False)
        self.assertEqual(domain_watchers(self.vms), before)

    def test_vm_of_an_older_build_counts_as_one_that_hears(self):
        frame = encode_vm(self.entry(2))
        self.assertIsNone(frame.store_lost)
        self.assertFalse(decode_vm(frame).store_lost)
        self.assertTrue(decode_vm(encode_vm(self.entry(2, store_lost=True))).store_lost)

    def test_loss_is_news_to_pass_on(self):
        """The VMs that are to take over would hear of it by chance only."""
        lost = self.entry(2, store_lost=True, sequence=1)
        self.assertTrue(is_news(self.entry(2), lost, DOMAIN))
        self.hear_lost("vm2")
        told = self.gossip.news.current(self.vms, self.state.now())
        self.assertEqual([(vm.id, vm.store_lost) for vm in told], [("vm2", True)])


class ChecksTest(FleetTest):
    def test_vm_that_lost_the_store_tells_those_that_take_over(self):
        renewed = []
        self.checks.lost_hooks.append(lambda: renewed.append(True))
        self.platform.unavailable = True
        self.checks.check()
        self.assertEqual((self.vms.own.store_lost, self.pinged), (False, []))
        self.checks.check()
        gevent.sleep(0)
        self.assertEqual((self.vms.own.store_lost, self.vms.own.sequence), (True, 1))
        self.assertLessEqual(set(domain_watchers(self.vms)), set(self.pinged))
        self.assertEqual(renewed, [True])

    def test_other_domains_are_not_told(self):
        """When a store is down all VMs lose it, and told each other across regions."""
        self.vms.update(VmEntry("far", "south-a", ("127.0.0.1", 9), 1), self.state.now())
        self.platform.unavailable = True
        self.checks.check()
        self.checks.check()
        gevent.sleep(0)
        self.assertNotIn("far", self.pinged)
        lost = self.entry(2, store_lost=True, sequence=1)
        self.assertFalse(is_news(self.entry(2), lost, "south-a"))
        self.assertTrue(is_news(self.entry(2), self.entry(2, slow_ms=9, sequence=1), "south-a"))

    def test_store_that_is_silent_is_lost_too(self):
        """A partition refuses nothing: calls wait, and a watch waits 30 s."""
        listener = gevent.socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.checks._store = StoreClient(listener.getsockname(), self.state.history)
        started = self.state.now()
        self.checks.check()
        self.assertEqual(self.checks.contact.failures, 1)
        self.assertGreaterEqual(self.state.now() - started, _store_checks.CHECK_TIMEOUT)

    def test_vm_that_regained_the_store_tells_it(self):
        self.platform.unavailable = True
        self.checks.check()
        self.checks.check()
        self.platform.unavailable = False
        for _ in range(3):
            self.checks.check()
        self.assertEqual((self.vms.own.store_lost, self.vms.own.sequence), (False, 2))

    def test_vm_that_learns_from_its_peers_makes_no_call(self):
        """The idle cost of a fleet would grow with its VMs."""
        self.state.watches_store = False
        self.assertFalse(self.checks._is_due())
        self.state.watches_store = True
        self.store._answered_at -= CHECK_INTERVAL
        self.assertTrue(self.checks._is_due())

    def test_answer_to_another_call_saves_a_check(self):
        self.state.watches_store = True
        self.store._answered_at -= CHECK_INTERVAL
        self.store.list("config")
        self.assertFalse(self.checks._is_due())


class TakeOverTest(FleetTest):
    OWN = "vm8"

    def test_vm_that_takes_over_lists_at_once(self):
        """It looked once a second whether it should watch the store."""
        self.state.catalog = Catalog(1)
        watch = ConfigurationWatch(self.state, self.store).watch
        self.gossip.contact_hooks.append(watch.recheck)
        listed = self.enterContext(mock.patch.object(watch, "_list", side_effect=gevent.sleep))
        running = gevent.spawn(watch.run)
        self.addCleanup(running.kill)
        gevent.sleep(0.02)
        self.assertFalse(self.state.watches_store)
        listed.assert_not_called()
        self.hear_lost(*(f"vm{number}" for number in range(2, 7)))
        gevent.sleep(0.02)
        self.assertTrue(self.state.watches_store)
        listed.assert_called()
