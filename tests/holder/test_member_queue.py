"""Tests of a member's admission queue under a changed text."""

import unittest
from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import Rank, VmIdentity, World
from bramleyrill_core.text import example_source, parse_text
from bramleyrill_daemon._member_queue import MemberQueue

DATABASE = "kintsugi/onarim-defteri/records"


class ChangedTextTest(unittest.TestCase):
    """Guards against a number of slots that does not change with the text."""

    def test_new_slots_apply_to_a_queue_in_use(self):
        world = World(VmIdentity("vm-1", "marmara-a", "marmara"), ManualClock())
        source = example_source()
        world.text = parse_text(source, 1).unwrap()
        queue = MemberQueue(world, f"{DATABASE}/records-1", DATABASE)
        deadline = timedelta(seconds=3)
        for _ in range(2):
            self.assertEqual(queue.admit(queue.new_request(Rank.URGENT, deadline)), (None, False))
        world.text = parse_text(source.replace("slots: 2", "slots: 3", 1), 2).unwrap()
        queue.tick()
        self.assertEqual(queue.admit(queue.new_request(Rank.URGENT, deadline)), (None, False))
