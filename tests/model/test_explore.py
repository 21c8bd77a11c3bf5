"""Exhaustive exploration of the change of primary, within bounds for continuous integration."""

import unittest

from bramleyrill_core import Rules
from bramleyrill_core.succession._model import Bounds
from bramleyrill_core.succession.explore import explore, main


def bounds(*rules_off, **limits):
    rules = Rules()
    for name in rules_off:
        rules.switch_off(name)
    return Bounds(rules=rules, **limits)


class ExploreTest(unittest.TestCase):
    def test_one_supervisor_and_its_late_messages_in_full(self):
        """Guards against an acknowledgement after a replacement, with late messages."""
        found = explore(bounds(supervisors=1, highest_term=2), 100)
        self.assertEqual((found.failure, found.complete), (None, True))
        self.assertEqual(found.states, 26_639)

    def test_two_supervisors_and_three_proxies_to_a_depth(self):
        """Guards against two supervisors that undo each other's fence."""
        found = explore(bounds(supervisors=2, proxies=3, highest_term=3), 6)
        self.assertIsNone(found.failure)
        self.assertGreater(found.states, 5000)

    def test_durable_entries_in_full(self):
        """Guards against a leader without an entry that a second member had."""
        found = explore(bounds(supervisors=1, proxies=0, highest_term=3, entries=1), 100)
        self.assertEqual((found.failure, found.complete), (None, True))

    def test_exploration_finds_what_each_rule_prevents(self):
        """Guards against a model in which the rules make no difference."""
        one = {"supervisors": 1, "highest_term": 2}
        found = explore(bounds("permit_wait", **one), 30)
        self.assertIn("may acknowledge term 1", found.failure)
        self.assertIn("judge 2", found.path)
        self.assertIn("may acknowledge", explore(bounds("exact_term", **one), 30).failure)
        logs = {"supervisors": 1, "proxies": 0, "highest_term": 2, "entries": 1}
        self.assertIn("durable", explore(bounds("most_advanced_leads", **logs), 30).failure)

    def test_command_tells_a_broken_promise_by_its_exit_code(self):
        """Guards against a run whose failure a script does not see."""
        small = ["--supervisors", "1", "--terms", "2"]
        self.assertEqual(main([*small, "--depth", "3"]), 0)
        self.assertEqual(main([*small, "--depth", "9", "--rule-off", "permit_wait"]), 1)
