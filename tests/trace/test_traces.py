"""Replay of all recorded traces, with and without the rules that they guard."""

import contextlib
import io
import pathlib
import re
import unittest

from bramleyrill_cli._replay import replay as replay_command
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
        self.assertEqual([str(r) for r in replay(TRACES) if not r.passed], [])

    def test_every_trace_fails_without_the_rule_it_guards(self):
        """Guards against a trace that would pass although its rule is gone."""
        unguarded = [
            (path.name, rule)
            for path in TRACES
            for rule in replay([path])[0].guards
            if replay([path], [rule])[0].passed
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
        self.assertFalse(result.passed)
        return str(result)

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

    def test_operators_replay_files_by_the_command_line(self):
        """Guards against a command that expects another form of the results."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = replay_command(TRACES[0])
        self.assertEqual(code, 0)
        self.assertIn(TRACES[0].name, output.getvalue())

    def test_exit_code(self):
        """Guards against a missed outcome that a script does not see."""
        self.assertEqual(main([str(TRACES[0])]), 0)
        self.assertEqual(main([str(TRACES[0]), "no such file"]), 1)
