"""Tests of the utilities in bramleyrill_base."""

import logging
import shlex
import sys
import unittest
from datetime import timedelta

from bramleyrill_base import ANSWERS, ErrorKind, ManualClock, Registry, is_not_run
from bramleyrill_base._logs import _Formatter, format_value


class ErrorTableTest(unittest.TestCase):
    """Guards against an error kind without an SQLSTATE, and against two that share one."""

    def test_each_kind_has_a_distinct_sqlstate(self):
        self.assertEqual(set(ANSWERS), set(ErrorKind))
        states = [answer.sqlstate for answer in ANSWERS.values()]
        self.assertEqual(len(states), len(set(states)))

    def test_unknown_outcome_does_not_count_as_not_run(self):
        self.assertFalse(is_not_run(ErrorKind.OUTCOME_UNKNOWN))
        self.assertTrue(is_not_run(ErrorKind.TOO_STALE))


class ClockTest(unittest.TestCase):
    """Guards against a manual clock that goes backwards."""

    def test_going_backwards_is_refused(self):
        with self.assertRaises(ValueError):
            ManualClock().advance(timedelta(seconds=-1))


class RegistryTest(unittest.TestCase):
    """Guards against a registration that silently replaces an earlier one."""

    def test_duplicate_name_is_refused(self):
        registry = Registry("command")
        registry.register("check")(1)
        with self.assertRaises(ValueError):
            registry.register("check")(2)


class LogFormatTest(unittest.TestCase):
    """Guards against a value that breaks up a log line or a key=value pair."""

    def test_value_with_newline_and_space_is_quoted(self):
        self.assertEqual(format_value('a "b"\nc'), '"a \\"b\\"\\nc"')


class LogLineTest(unittest.TestCase):
    """Guards against a log line that cannot be parsed as key=value pairs."""

    def test_line_consists_of_pairs_only(self):
        try:
            raise ValueError("two words")
        except ValueError:
            record = logging.LogRecord("x", 20, "f", 1, "event=%s", ("a",), sys.exc_info())
        pairs = shlex.split(_Formatter().format(record))
        self.assertTrue(all("=" in pair for pair in pairs))
        self.assertEqual([pair.partition("=")[0] for pair in pairs][:3], ["time", "level", "event"])
