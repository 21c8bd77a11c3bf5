"""Pulling from a peer that has a newer configuration or newer member entries."""

import json
import unittest
import zlib
from datetime import timedelta
from unittest import mock

import gevent
from attrs import evolve
from bramleyrill_base import ManualClock
from bramleyrill_core.catalog import Catalog
from bramleyrill_core.history import StoreHistory, StoreRevision
from bramleyrill_entry import _gossip
from bramleyrill_entry._gossip import (
    Gossip,
    _read_pushed,
    handle_catalog_pull,
    hear_revision,
    told_revision,
)
from bramleyrill_entry._peers import make_pong
from bramleyrill_platform import StoredObject
from bramleyrill_standins.prepared import LineGroup
from bramleyrill_wire.entries import frames

from tests.entry.builders import SERVICE, make_state, member_entry

SHORT = timedelta(milliseconds=20)
NONE = StoreRevision()


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(self.group.close)
        self.state = make_state(self.group)
        self.gossip = Gossip(mock.Mock(state=self.state))
        self.renewed = []
        self.gossip.behind_hooks.append(lambda: self.renewed.append(True))
        self.enterContext(mock.patch.object(_gossip, "BEHIND_GRACE", SHORT))
        self.pulled = []
        self.enterContext(mock.patch.object(self.gossip, "_pull", self.pulled.append))


class PullTest(GossipTest):
    def test_version_that_the_platform_brings_in_time_is_not_pulled(self):
        """Pulls of a large configuration by every VM would load all of them."""
        self.gossip.handle_peer_versions("vm2", 2, NONE)
        self.state.catalog = Catalog(2)
        gevent.sleep(0.05)
        self.assertEqual((self.pulled, self.renewed), ([], []))

    def test_vm_that_does_not_watch_the_store_pulls_soon(self):
        """Nothing else brings it a new configuration."""
        self.state.watches_store = False
        with mock.patch.object(_gossip, "BEHIND_GRACE", 1000 * SHORT):
            self.gossip.handle_peer_versions("vm2", 2, NONE)
            gevent.sleep(0.2)
        self.assertEqual(self.pulled, ["vm2"])

    def test_vm_that_stays_behind_pulls_and_renews_its_watches(self):
        """Its connection to the platform may be dead, or the platform unreachable."""
        self.gossip.handle_peer_versions("vm2", 2, NONE)
        self.gossip.handle_peer_versions("vm3", 3, NONE)
        gevent.sleep(0.05)
        self.assertEqual((self.pulled, self.renewed), (["vm2"], [True]))

    def test_newer_member_entries_are_pulled_too(self):
        self.gossip.handle_peer_versions("vm2", 1, StoreRevision(1, 2))
        gevent.sleep(0.05)
        self.assertEqual(self.pulled, ["vm2"])

    def test_vm_without_a_configuration_pulls_at_once(self):
        """Shortens the outage after a power loss, when all VMs start without a configuration."""
        self.state.catalog = Catalog(0)
        with mock.patch.object(_gossip, "BEHIND_GRACE", 1000 * SHORT):
            self.gossip.handle_peer_versions("vm2", 2, NONE)
            gevent.sleep(0.01)
        self.assertEqual(self.pulled, ["vm2"])

    def test_vm_that_started_from_an_older_copy_takes_the_version_of_its_peers(self):
        """A VM that starts just after a restore lists the configuration of the copy."""
        self.state.catalog = Catalog(4)
        self.gossip.handle_peer_versions("vm2", 11, StoreRevision(2, 0))
        gevent.sleep(0.05)
        self.assertEqual(self.pulled, ["vm2"])

    def test_older_versions_are_ignored(self):
        self.state.catalog = Catalog(5)
        self.gossip.handle_peer_versions("vm2", 4, NONE)
        gevent.sleep(0.05)
        self.assertEqual(self.pulled, [])


class PongTest(GossipTest):
    def test_list_of_vms_is_sent_only_to_a_vm_that_knows_fewer(self):
        """While VMs restarted, each ping of a VM that knew more brought a list of all VMs."""
        other = evolve(self.state.vms.own, id="vm2")
        self.state.vms.update(other, self.state.now())
        net = mock.Mock(state=self.state, services={})
        listed = {known: len(make_pong(net, 1, known).vms) for known in (1, 2, 3)}
        self.assertEqual(listed, {1: 2, 2: 0, 3: 0})


class EraTest(GossipTest):
    """Revisions of two eras must not be compared by their numbers."""

    def test_peer_in_a_newer_era_is_ahead_with_a_lower_revision(self):
        """VMs that heard nothing of a restore held the others' entries back."""
        self.state.members.put(member_entry(self.group, "m1", revision=40))
        self.gossip.handle_peer_versions("vm2", 1, StoreRevision(2, 5))
        gevent.sleep(0.05)
        self.assertEqual(self.pulled, ["vm2"])

    def test_peer_in_an_earlier_era_is_not_ahead(self):
        self.state.members.put(evolve(member_entry(self.group, "m1"), revision=StoreRevision(2, 5)))
        self.gossip.handle_peer_versions("vm2", 1, StoreRevision(1, 40))
        gevent.sleep(0.05)
        self.assertEqual(self.pulled, [])

    def test_newer_era_of_a_peer_renews_the_watches(self):
        renewed = []
        self.state.history.accept(1)
        self.state.history.hooks.append(lambda: renewed.append(True))
        for _ in range(2):
            hear_revision(self.state, frames.Ping(members_revision=0, store_era=2))
        self.assertEqual((renewed, self.state.history.era), ([True], 1))

    def test_vm_that_started_learns_the_age_of_the_era(self):
        """It would leave a failed primary in place until a lease after its own start."""
        for first_told in (True, False):
            history = self.state.history = StoreHistory(ManualClock())
            if first_told:
                history.accept(1)
            for age_ms in (9000, 20, -5, 2**62):
                ping = frames.Ping(store_era=1, store_era_age_ms=age_ms)
                hear_revision(self.state, ping)
                if age_ms == 20:
                    history.accept(1)
                    self.assertEqual(history.known_for(), timedelta(seconds=9))

    def test_age_of_another_era_says_nothing(self):
        history = self.state.history = StoreHistory(ManualClock())
        history.accept(2)
        hear_revision(self.state, frames.Ping(store_era=1, store_era_age_ms=9000))
        self.assertEqual(history.known_for(), timedelta())

    def test_build_without_eras_is_in_this_era_until_a_restore(self):
        self.state.history.accept(1)
        told = told_revision(self.state, frames.Ping(members_revision=40))
        self.assertEqual(told, StoreRevision(1, 40))
        self.state.history.accept(2)
        told = told_revision(self.state, frames.Ping(members_revision=40))
        self.assertLess(told, StoreRevision(2, 0))

    def test_impossible_revision_is_rejected(self):
        for era, number in ((-1, 5), (1, -5), (2**40, 5)):
            frame = frames.Ping(members_revision=number, store_era=era)
            with self.assertRaises(ValueError):
                told_revision(self.state, frame)

    def test_malformed_pushed_entry_is_rejected(self):
        for item in ([], ["m1", "2", {}], [1, 2, {}], ["m1", 2], 5):
            with self.subTest(item=item), self.assertRaises((ValueError, TypeError)):
                _read_pushed(item, 1)


class PushTest(unittest.TestCase):
    def setUp(self):
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        self.state = make_state(group)
        self.state.catalog, self.state.catalog_body = Catalog(5), {"version": 5}
        self.state.member_objects = {"m1": StoredObject("m1", 1, {})}

    def body(self, **pull):
        link = mock.Mock()
        handle_catalog_pull(mock.Mock(state=self.state), link, frames.CatalogPull(call=1, **pull))
        return json.loads(zlib.decompress(link.send.call_args.args[0].body))

    def test_peer_gets_only_what_is_newer(self):
        """A change of a member's entry sent the whole configuration to each VM."""
        revision = self.state.members.revision.number
        self.assertEqual(
            self.body(catalog_version=5, members_revision=revision - 1, store_era=1),
            {"configuration": None, "members": [["m1", 1, {}]]},
        )
        self.assertEqual(
            self.body(catalog_version=4, members_revision=revision, store_era=1),
            {"configuration": {"version": 5}, "members": []},
        )

    def test_peer_of_an_older_version_gets_everything(self):
        self.assertEqual(self.body(), {"configuration": {"version": 5}, "members": [["m1", 1, {}]]})
