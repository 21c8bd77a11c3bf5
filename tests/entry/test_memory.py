"""What callers' sessions hold in memory is bounded, so that none ends the process for all."""

import contextlib
import unittest
import weakref
from datetime import timedelta
from unittest import mock

import gevent
from bramleyrill_core.statements import (
    FREE_SESSION_BYTES,
    MAX_CONNECTION_BYTES,
    ConnectionState,
    Prepared,
    SessionFullError,
    SessionMemory,
    Statement,
    StatementKind,
    StatementSession,
)
from bramleyrill_entry import _session
from bramleyrill_entry._memory_limits import MemoryLimits
from bramleyrill_platform import lines
from gevent.lock import BoundedSemaphore

from tests.entry import test_settings
from tests.entry.test_session import SessionTest

LARGE = "q" * 40_000


def prepare(name, shape):
    return Statement(StatementKind.PREPARE, "1", name=name, prepared=Prepared(False, shape))


class SessionMemoryTest(unittest.TestCase):
    """Statements were counted and not measured: one session could hold 1 GiB."""

    def setUp(self):
        self.memory = SessionMemory(100_000)

    def session(self):
        return StatementSession("pieces", memory=self.memory)

    def test_statement_beyond_the_memory_of_all_sessions_is_refused(self):
        first, second = self.session(), self.session()
        self.assertTrue(first.apply(prepare("a", LARGE)))
        self.assertTrue(second.apply(prepare("a", LARGE)))
        with self.assertRaises(SessionFullError):
            second.apply(prepare("b", LARGE))
        self.assertNotIn("b", second.prepared_by_name)
        with self.assertRaises(SessionFullError):
            second.apply(Statement(StatementKind.SET, "1", name="x", argument=LARGE))

    def test_usual_session_is_served_whatever_the_others_hold(self):
        first = self.session()
        for name in "ab":
            first.apply(prepare(name, LARGE))
        second = self.session()
        for number in range(20):
            self.assertTrue(second.apply(prepare(f"s{number}", "READ pieces by box")))
        self.assertLess(second.held_bytes, FREE_SESSION_BYTES)

    def test_memory_is_given_back(self):
        """Sessions that come and go would use up the memory for ever."""
        first, second = self.session(), self.session()
        first.apply(prepare("a", LARGE))
        first.apply(prepare("b", LARGE))
        self.assertTrue(first.apply(Statement(StatementKind.DEALLOCATE, "1", name="b")))
        self.assertTrue(second.apply(prepare("a", LARGE)))
        first.release()
        second.release()
        self.assertEqual((self.memory.used, first.held_bytes), (0, 0))

    def test_replaced_statement_counts_once(self):
        session = self.session()
        for _ in range(9):
            self.assertTrue(session.apply(prepare("a", LARGE)))
            self.assertTrue(session.apply(Statement(StatementKind.SET, "1", "", "x", LARGE)))

    def test_characters_beyond_latin_1_count_as_what_they_take(self):
        with self.assertRaises(SessionFullError):
            self.session().apply(prepare("a", LARGE + "\N{GREEK SMALL LETTER ALPHA}" * 20_000))


class ConnectionMemoryTest(unittest.TestCase):
    def test_connection_on_which_too_much_is_prepared_is_reset(self):
        """Each shape that any session ever executed stayed on the connection."""
        state = ConnectionState()
        state.add_prepared(Prepared(False, "x" * MAX_CONNECTION_BYTES))
        self.assertTrue(state.is_full)
        state.reset()
        self.assertFalse(state.is_full)
        small = Prepared(False, "y")
        state.add_prepared(small)
        state.forget_prepared(small)
        self.assertEqual(state.held_bytes, 0)


class CallerMemoryTest(SessionTest):
    def limit(self, turns=1, session_bytes=20_000):
        self.state.memory = MemoryLimits(SessionMemory(session_bytes), BoundedSemaphore(turns))

    def open(self):
        caller = self.connect()
        caller.read_line()
        return caller

    def assert_closed(self, caller):
        """Check that the connection ends; unread input resets it."""
        with contextlib.suppress(ConnectionResetError):
            self.assertEqual(caller.sock.recv(10), b"")

    def test_refused_statement_promises_that_nothing_is_kept(self):
        self.limit()
        caller = self.open()
        answer = caller.query(f"PREPARE s1 READ {LARGE}")
        self.assertIn("ERROR BUSY no memory for it, retry after 1000 ms", answer[0])
        self.assertEqual(caller.query("PREPARE s1 READ q")[0], "COMPLETE -")

    def test_session_that_ends_gives_its_memory_back(self):
        self.limit(session_bytes=200_000)
        caller = self.open()
        caller.query(f"PREPARE s1 READ {LARGE}")
        self.assertGreater(self.state.memory.sessions.used, 0)
        caller.send("BYE")
        self.serving.join(timeout=5)
        self.assertEqual(self.state.memory.sessions.used, 0)

    def test_last_message_does_not_stay_while_the_session_rests(self):
        """60 sessions that each had sent a large message took 200 MB more."""
        caller = self.open()
        parsed = []

        def parse(line):
            message = original(line)
            parsed.append(weakref.ref(message))
            return message

        original = lines.parse_caller_message
        with mock.patch.object(_session.lines, "parse_caller_message", parse):
            caller.query("READ a")
            gevent.sleep(0.02)
        self.assertEqual([reference() for reference in parsed], [None])

    def test_large_messages_arrive_in_turns(self):
        """Thousands of sessions that begin a large message would hold a GiB unanswered."""
        self.limit()
        first, second = self.open(), self.open()
        first.sock.sendall(b"QUERY 1 READ " + b"a" * 60_000)
        gevent.sleep(0.05)
        second.sock.sendall(b"QUERY 1 READ " + b"a" * 60_000 + b"\r\n")
        second.sock.settimeout(0.1)
        with self.assertRaises(TimeoutError):
            second.sock.recv(10)
        first.send("")
        self.assertTrue(first.read_line())
        second.sock.settimeout(5)
        self.assertTrue(second.sock.recv(10))

    def test_caller_that_does_not_finish_a_large_message_is_closed(self):
        """A few callers that stall would keep all others from sending one."""
        self.limit()
        with mock.patch.object(_session, "ARRIVAL_TIMEOUT", timedelta(milliseconds=50)):
            caller = self.open()
            caller.sock.sendall(b"QUERY 1 READ " + b"a" * 60_000)
            self.assert_closed(caller)
        self.assertTrue(self.state.memory.turns.acquire(blocking=False))

    def test_turn_that_does_not_come_closes_the_session(self):
        self.limit()
        self.state.memory.turns.acquire()
        with mock.patch.object(_session, "TURN_TIMEOUT", timedelta(milliseconds=50)):
            caller = self.open()
            caller.sock.sendall(b"QUERY 1 READ " + b"a" * 60_000)
            self.assert_closed(caller)

    def test_usual_messages_need_no_turn(self):
        self.limit()
        self.state.memory.turns.acquire()
        self.assertTrue(self.open().query("READ a")[0].startswith("COMPLETE s"))


class LimitsTest(test_settings.SettingsTest):
    def test_limits_follow_the_memory_of_the_process(self):
        settings = self.load(test_settings.VALID_VALUES | {"memory_mb": 300})
        limits = MemoryLimits.of(settings.memory_mb)
        self.assertEqual(limits.sessions.limit, 37_500_000)
        self.assertGreater(MemoryLimits.of(None).sessions.limit, 0)
        self.assertEqual(MemoryLimits.of(1).turns.counter, 1)
        self.assertIsNone(self.load(test_settings.VALID_VALUES | {"memory_mb": "much"}).memory_mb)
