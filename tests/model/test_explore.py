"""Exhaustive exploration of the change of primary, within bounds small enough for CI."""

import unittest

from bramleyrill_core import Rules
from bramleyrill_core.succession._model import Bounds
from bramleyrill_core.succession.explore import explore, main


def build_bounds(*rules_off, **limits):
    rules = Rules()
    for name in rules_off:
        rules.switch_off(name)
    return Bounds(rules=rules, **limits)


class ExploreTest(unittest.TestCase):
    def test_one_supervisor_and_its_late_messages_in_full(self):
        """Guards against an acknowledgement by a replaced primary, with late messages."""
        exploration = explore(build_bounds(supervisors=1, highest_term=2), 100)
        self.assertEqual((exploration.failure, exploration.complete), (None, True))
        self.assertEqual(exploration.states, 26_639)

    def test_two_supervisors_and_three_proxies_to_a_depth(self):
        """Guards against two supervisors that interfere with each other's fence."""
        exploration = explore(build_bounds(supervisors=2, proxies=3, highest_term=3), 6)
        self.assertIsNone(exploration.failure)
        self.assertGreater(exploration.states, 5000)

    def test_durable_entries_in_full(self):
        """Guards against a leader without an entry that a second member had."""
        exploration = explore(
            build_bounds(supervisors=1, proxies=0, highest_term=3, entries=1), 100
        )
        self.assertEqual((exploration.failure, exploration.complete), (None, True))

    def test_exploration_finds_what_each_rule_prevents(self):
        """Guards against a model in which the rules make no difference."""
        one_supervisor = {"supervisors": 1, "highest_term": 2}
        exploration = explore(build_bounds("permit_wait", **one_supervisor), 30)
        self.assertIn("may acknowledge term 1", exploration.failure)
        self.assertIn("judge 2", exploration.path)
        self.assertIn(
            "may acknowledge", explore(build_bounds("exact_term", **one_supervisor), 30).failure
        )
        with_entry = {"supervisors": 1, "proxies": 0, "highest_term": 2, "entries": 1}
        self.assertIn(
            "durable", explore(build_bounds("most_advanced_leads", **with_entry), 30).failure
        )

    def test_command_reports_a_violation_by_its_exit_code(self):
        """Guards against a run whose failure a script does not see."""
        small_bounds = ["--supervisors", "1", "--terms", "2"]
        self.assertEqual(main([*small_bounds, "--depth", "3"]), 0)
        self.assertEqual(main([*small_bounds, "--depth", "9", "--rule-off", "permit_wait"]), 1)
