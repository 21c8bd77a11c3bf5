"""Tests of the distribution of the text to every VM."""

import unittest
from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import Core, VmIdentity, World
from bramleyrill_core.configuration import (
    PeerVersionSeen,
    PullFailed,
    PullText,
    TextInForce,
    TextOffered,
    TextRejected,
    example_source,
)


class SpreadTest(unittest.TestCase):
    """Guards against a text that reverts, is partly applied, or never reaches a VM."""

    def setUp(self):
        self.clock = ManualClock()
        self.world = World(VmIdentity("vm-1", "marmara-a", "marmara"), self.clock)
        self.core = Core(self.world)

    def offer(self, version, source=None):
        return self.core.handle(
            TextOffered(version, f"offer-{version}", source or example_source())
        )

    def test_older_version_never_replaces_a_newer_one(self):
        self.assertEqual([type(effect) for effect in self.offer(5)], [TextInForce])
        self.assertEqual(self.offer(4), [])
        self.assertEqual(self.world.text.version, 5)

    def test_without_the_rule_the_text_reverts(self):
        self.offer(5)
        self.world.rules.switch_off("text_version_rises")
        self.offer(4)
        self.assertEqual(self.world.text.version, 4)

    def test_rejected_text_leaves_the_previous_one_in_force(self):
        self.offer(5)
        (rejected,) = self.offer(6, "fleets: {}")
        self.assertIsInstance(rejected, TextRejected)
        self.assertEqual(self.world.text.version, 5)
        self.assertEqual(self.core.handle(PeerVersionSeen("vm-2", 6)), [])
        self.assertEqual([type(effect) for effect in self.offer(7)], [TextInForce])

    def test_newest_of_several_peers_is_pulled(self):
        self.core.handle(PeerVersionSeen("vm-2", 3))
        self.offer(3)
        self.core.handle(PeerVersionSeen("vm-3", 3))
        self.assertEqual(self.core.handle(PeerVersionSeen("vm-4", 8)), [PullText("vm-4")])

    def test_peer_that_fails_or_is_silent_is_skipped(self):
        self.assertEqual(self.core.handle(PeerVersionSeen("vm-2", 8)), [PullText("vm-2")])
        self.assertEqual(self.core.handle(PeerVersionSeen("vm-3", 8)), [])
        self.assertEqual(self.core.handle(PullFailed("vm-2")), [PullText("vm-3")])
        self.clock.advance(timedelta(seconds=1))
        self.core.tick()
        again = [*self.core.handle(PeerVersionSeen("vm-2", 8))]
        self.assertEqual([type(effect) for effect in again], [PullText])
