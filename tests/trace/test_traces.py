"""Tests that replay all recorded traces, with and without the rules that they guard."""

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
    "permits",
    "pools",
    "retries",
    "routing",
    "sessions",
    "succession",
    "trace",
)


class RecordedTraceTest(unittest.TestCase):
    def test_every_trace_has_its_expected_effects(self):
        """Guards against a change of the core that breaks a recorded outcome."""
        self.assertGreater(len(TRACES), 20)
        self.assertEqual([str(r) for r in replay(TRACES) if not r.passed], [])

    def test_every_trace_fails_without_the_rule_it_guards(self):
        """Guards against a trace that passes without the rule that it guards."""
        passing_without_rule = [
            (path.name, rule)
            for path in TRACES
            for rule in replay([path])[0].guards
            if replay([path], [rule])[0].passed
        ]
        self.assertEqual(passing_without_rule, [])

    def test_every_rule_is_guarded_by_a_trace(self):
        """Guards against a rule that no trace shows to be necessary."""
        rules_in_code = set()
        for subsystem in SUBSYSTEMS:
            for source in (CORE / subsystem).glob("*.py"):
                rules_in_code |= set(re.findall(r'rules\.on\("(\w+)"\)', source.read_text()))
        guarded_rules = {rule for result in replay(TRACES) for rule in result.guards}
        self.assertEqual(rules_in_code, guarded_rules)


class ReplayTest(unittest.TestCase):
    def failed_replay(self, *lines):
        result = replay_lines("x", lines)
        self.assertFalse(result.passed)
        return str(result)

    def test_invalid_lines_fail_with_their_number(self):
        """Guards against a typing error that makes a trace pass."""
        self.assertIn("line 1", self.failed_replay("exspect Nothing {}"))
        self.assertIn("line 1", self.failed_replay('at 0 NoSuchMessage {"a": 1}'))
        self.assertIn(
            "line 1", self.failed_replay('at 0 SessionOpened {"session": 1, "usr": "ada"}')
        )
        self.assertIn(
            "line 2",
            self.failed_replay("tick 10", 'at 5 SessionOpened {"session": 1, "user": "a"}'),
        )
        self.assertIn(
            "line 1", self.failed_replay('at 0 StatementArrived {"session": 9, "sql": ""}')
        )
        self.assertIn("line 1", self.failed_replay("on vm-z"))
        self.assertIn("no outcome", self.failed_replay("tick 10"))

    def test_command_line_replays_files(self):
        """Guards against a command that expects a different format of the results."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = replay_command(TRACES[0])
        self.assertEqual(code, 0)
        self.assertIn(TRACES[0].name, output.getvalue())

    def test_exit_code(self):
        """Guards against a failure that a script cannot detect."""
        self.assertEqual(main([str(TRACES[0])]), 0)
        self.assertEqual(main([str(TRACES[0]), "no such file"]), 1)
