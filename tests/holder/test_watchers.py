"""Tests of the choice of the VMs that watch the platform."""

import unittest

from bramleyrill_core.configuration import watchers

from tests.worlds import build_world


class WatchersTest(unittest.TestCase):
    def test_single_vm_is_the_only_watcher(self):
        """Guards against VM ids the hash function rejects, which ended the watch of the text."""
        world = build_world()
        self.assertEqual(watchers(world), [world.identity.id])
