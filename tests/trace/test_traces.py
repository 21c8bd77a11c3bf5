"""Replay of all recorded traces, with and without the rules that they guard."""

import pathlib
import re
import unittest

from bramleyrill_core.trace import replay, replay_lines
from bramleyrill_core.trace.__main__ import main

ROOT = pathlib.Path(__file__).resolve().parents[2]
TRACES = sorted((ROOT / "traces").glob("*.trace"))
CORE = ROOT / "packages/core/bramleyrill_core"
SUBSYSTEMS = (
    "drain",
    "membership",
    "pools",
    "retries",
    "routing",
    "sessions",
    "succession",
    "trace",
)


class RecordedTraceTest(unittest.TestCase):
    def test_every_trace_has_its_stated_outcomes(self):
        """Guards against a change of the core that breaks a recorded outcome."""
        self.assertGreater(len(TRACES), 20)
        self.assertEqual([r.summary() for r in replay(TRACES) if not r.ok], [])

    def test_every_trace_fails_without_the_rule_it_guards(self):
        """Guards against a trace that would pass although its rule is gone."""
        unguarded = [
            (path.name, rule)
            for path in TRACES
            for rule in replay([path])[0].guards
            if replay([path], [rule])[0].ok
        ]
        self.assertEqual(unguarded, [])

    def test_every_rule_is_guarded_by_a_trace(self):
        """Guards against a rule that no trace proves necessary."""
        named = set()
        for subsystem in SUBSYSTEMS:
            for source in (CORE / subsystem).glob("*.py"):
                named |= set(re.findall(r'rules\.on\("(\w+)"\)', source.read_text()))
        guarded = {rule for result in replay(TRACES) for rule in result.guards}
        self.assertEqual(named, guarded)


class ReplayTest(unittest.TestCase):
    def miss(self, *lines):
        result = replay_lines("x", lines)
        self.assertFalse(result.ok)
        return result.summary()

    def test_bad_lines_are_missed_and_named(self):
        """Guards against a typing error in a trace that makes it pass."""
        self.assertIn("line 1", self.miss("exspect Nothing {}"))
        self.assertIn("line 1", self.miss('at 0 NoSuchMessage {"a": 1}'))
        self.assertIn("line 1", self.miss('at 0 SessionOpened {"session": 1, "usr": "ada"}'))
        self.assertIn(
            "line 2", self.miss("tick 10", 'at 5 SessionOpened {"session": 1, "user": "a"}')
        )
        self.assertIn("line 1", self.miss('at 0 StatementArrived {"session": 9, "sql": ""}'))
        self.assertIn("line 1", self.miss("on vm-z"))
        self.assertIn("no outcome", self.miss("tick 10"))

    def test_exit_code(self):
        """Guards against a missed outcome that a script does not see."""
        self.assertEqual(main([str(TRACES[0])]), 0)
        self.assertEqual(main([str(TRACES[0]), "no such file"]), 1)
