"""Tests at the level of frames: malformed input, slow callers, pipelines."""

import socket
import ssl
import unittest
from datetime import timedelta

import gevent
import gevent.socket
import trustme
from bramleyrill_base import ManualClock
from bramleyrill_daemon.front import FrontLimits
from bramleyrill_daemon.front._batch import Batch
from bramleyrill_daemon.front._caller import CallerSocket
from bramleyrill_daemon.front._limits import CoarseClock
from bramleyrill_wire import postgres as pg

from tests.front.fakes import FrontThread, refused_outcome, wait_for

MS = timedelta(milliseconds=1)
EXECUTE = pg.bind("", "") + pg.execute("")


class RawCaller:
    """A caller that sends and reads frames."""

    def __init__(self, thread, login=True):
        self.sock = socket.create_connection((thread.host, thread.port))
        self.sock.settimeout(20)
        self.splitter = pg.FrameSplitter()
        self.frames = []
        if login:
            self.send(pg.startup_message({"user": "plain@kintsugi", "database": "pieces"}))
            self.read("R")
            self.send(pg.password_message(b"pencil\x00"))
            self.key = pg.read_key_data(next(f for f in self.read("Z") if f[:1] == b"K"))

    def send(self, data):
        self.sock.sendall(data)

    def read(self, last):
        """Return the frames up to the first of type `last`, or up to the end of input for ""."""
        frames_read = []
        while True:
            while self.frames:
                frames_read.append(self.frames.pop(0))
                if frames_read[-1][:1] == last.encode():
                    return frames_read
            data = self.sock.recv(65536)
            if not data:
                return frames_read
            self.frames += [frame for _, frame in self.splitter.feed(data)]

    def frame_types(self, last="Z"):
        return b"".join(frame[:1] for frame in self.read(last)).decode()

    def sqlstate(self):
        return pg.read_fields(self.read("E")[-1])["C"]


class RawCase(unittest.TestCase):
    """Starts a front for each test."""

    limits = FrontLimits(
        sweep_interval=20 * MS,
        frame_bytes=100_000,
        handshake_timeout=150 * MS,
        frame_timeout=150 * MS,
        write_timeout=150 * MS,
        batch_bytes=2000,
        prepared_statements=4,
        prepared_bytes=2000,
    )
    tls = None

    def setUp(self):
        self.thread = FrontThread(self.limits, self.tls)
        self.enterContext(self.thread)
        self.member = self.thread.member

    def caller(self, login=True):
        caller = RawCaller(self.thread, login)
        self.addCleanup(caller.sock.close)
        return caller


class HostileTest(RawCase):
    """Guards against input that crashes or hangs a session, or uses memory without bound."""

    def test_malformed_frames_end_the_session_with_their_state(self):
        for data, sqlstate in (
            (b"Q\x00\x00\x00\x03", "08P01"),
            (b"Q\x00\x10\x00\x00", "54000"),
            (pg.frame(b"Q", b"no end"), "08P01"),
            (pg.frame(b"Q", b"\xff\x00"), "08P01"),
            (pg.frame(b"B", b"x"), "08P01"),
            (pg.frame(b"?", b""), "08P01"),
            (pg.parse("", "SELECT a") + pg.query("SELECT a"), "08P01"),
            (pg.parse("", "COMMIT") + EXECUTE + pg.parse("", "a" * 3000) * 40, "54000"),
        ):
            caller = self.caller()
            caller.send(data)
            self.assertEqual(caller.sqlstate(), sqlstate, data[:20])
            self.assertEqual(caller.read(""), [])
        wait_for(lambda: not self.thread.front.sessions)
        self.assertEqual((self.member.statement_log, self.member.open_count), ([], 0))

    def test_malformed_startup_is_refused(self):
        for data in (
            b"\x00\x00\x00\x04",
            b"\x00\x01\x00\x00",
            b"\x00\x00\x00\x09\x00\x02\x00\x00\x00",
            pg.startup_message({"database": "pieces"}),
            pg.encryption_request() * 4,
            b"GET / HTTP/1.1\r\n\r\n",
        ):
            caller = self.caller(login=False)
            caller.send(data)
            frames = caller.sock.recv(3)
            self.assertIn(frames.replace(b"N", b"")[:1], (b"E", b""), data)

    def test_wrong_frame_instead_of_password(self):
        caller = self.caller(login=False)
        caller.send(pg.startup_message({"user": "aylin", "database": "pieces"}))
        caller.send(pg.query("SELECT a"))
        self.assertEqual(caller.sqlstate(), "08P01")

    def test_half_open_handshakes_end(self):
        silent_caller = self.caller(login=False)
        partial_caller = self.caller(login=False)
        partial_caller.send(pg.startup_message({"user": "aylin", "database": "pieces"}))
        for caller in (silent_caller, partial_caller):
            self.assertEqual(caller.sqlstate(), "08P01")
            self.assertEqual(caller.read(""), [])

    def test_caller_that_does_not_read_is_bounded_and_cut_off(self):
        caller = self.caller()
        caller.send(pg.query("SELECT big 400000"))
        wait_for(lambda: not self.thread.front.sessions)
        self.assertGreater(self.member.unread_parts, 1000)
        self.assertEqual(self.member.open_count, 0)

    def test_rest_of_a_frame_that_does_not_come_ends_the_session(self):
        caller = self.caller()
        caller.send(pg.query("SELECT a") + pg.query("INSERT 1")[:9])
        self.assertEqual(caller.frame_types(), "TDCZ")
        self.assertEqual(caller.sqlstate(), "08P01")
        self.assertEqual(self.member.statement_log, ["SELECT a"])

    def test_cancel_needs_the_secret(self):
        caller = self.caller()
        pid, secret = caller.key
        caller.send(pg.query("SELECT hang"))
        wait_for(lambda: self.member.hanging_statements)
        for key in ((pid, secret ^ 1), (pid + 1, secret)):
            other = self.caller(login=False)
            other.send(pg.cancel_request(*key))
            self.assertEqual(other.read(""), [])
        self.assertEqual(self.member.cancel_count, 0)
        other = self.caller(login=False)
        other.send(pg.cancel_request(pid, secret))
        self.assertEqual(caller.sqlstate(), "57014")

    def test_callers_over_the_limits_are_refused(self):
        self.thread.front.limits = FrontLimits(sessions=1)
        kept = self.caller()
        other = self.caller(login=False)
        other.send(pg.startup_message({"user": "aylin", "database": "pieces"}))
        self.assertEqual(other.sqlstate(), "NR001")
        self.thread.front.limits = FrontLimits(handshakes=1)
        self.caller(login=False)
        wait_for(lambda: self.caller(login=False).read("") == [])
        kept.send(pg.query("SELECT a"))
        self.assertEqual(kept.frame_types(), "TDCZ")

    def test_protocol_options_are_negotiated(self):
        caller = self.caller(login=False)
        names = {"user": "aylin", "database": "pieces", "_pq_.x": "1"}
        caller.send(pg.startup_message(names))
        self.assertEqual(caller.frame_types("R"), "vR")


class BatchTest(RawCase):
    """Guards against missing, duplicate or misordered answers in a batch."""

    def test_pipelined_queries_are_answered_in_order(self):
        caller = self.caller()
        caller.send(pg.query("SELECT a") + pg.query("INSERT 1") + pg.query("SELECT wrong"))
        self.assertEqual([caller.frame_types() for _ in range(3)], ["TDCZ", "CSZ", "TEZ"[1:]])

    def test_flush_is_answered_before_sync(self):
        caller = self.caller()
        caller.send(pg.parse("s", "INSERT 1") + pg.describe(b"S", "s") + pg.frame(b"H", b""))
        self.assertEqual(caller.frame_types("n"), "1tn")
        caller.send(pg.bind("", "s") + pg.execute("") + pg.frame(b"H", b""))
        self.assertEqual(caller.frame_types("C"), "2C")
        caller.send(pg.SYNC)
        self.assertEqual(caller.frame_types(), "SZ")
        caller.send(pg.bind("", "s") + pg.execute("") + pg.SYNC)
        self.assertEqual(caller.frame_types(), "2CSZ")
        self.assertEqual(self.member.statement_log, ["INSERT 1"] * 2)
        wait_for(lambda: self.member.open_count == 0)

    def test_flush_does_not_acknowledge_a_commit(self):
        caller = self.caller()
        caller.send(pg.query("BEGIN") + pg.query("INSERT 1"))
        caller.frame_types(), caller.frame_types()
        commit = pg.parse("", "COMMIT") + EXECUTE + pg.frame(b"H", b"")
        caller.send(commit)
        self.assertEqual(caller.sqlstate(), "0A000")
        caller.send(pg.SYNC)
        self.assertEqual(caller.frame_types(), "Z")
        self.assertNotIn("COMMIT", self.member.statement_log)
        caller.send(pg.query("ROLLBACK") + pg.query("BEGIN"))
        caller.frame_types(), caller.frame_types()
        # When its Sync has arrived as well, the Flush is ignored.
        caller.send(commit + pg.SYNC)
        self.assertEqual(caller.frame_types(), "12CSZ")

    def test_long_batch_is_sent_in_parts(self):
        caller = self.caller()
        parse = pg.parse("", "SELECT a" + " " * 500)
        caller.send((parse + EXECUTE) * 50 + pg.SYNC)
        self.assertEqual(caller.frame_types(), "12DC" * 50 + "Z")
        self.assertEqual(len(self.member.opened_requests), 1)

    def test_connection_is_reset_after_a_statement_that_the_batch_closes(self):
        """After an error the upstream skips the Close, and kept the name for the next session."""
        batch = Batch({}, set(), {}, False, FrontLimits())
        run = pg.bind("", "s") + pg.execute("")
        frames = pg.parse("s", "SELECT wrong") + run + pg.close(b"S", "s")
        for kind, frame in pg.FrameSplitter(b"PBEC", pg.MAX_FRAME).feed(frames):
            self.assertIsNone(batch.add(kind, frame))
        self.assertTrue(batch.alters_session)

    def test_error_skips_to_sync(self):
        caller = self.caller()
        one = pg.parse("", "SELECT a") + EXECUTE
        caller.send(one + pg.parse("", "LISTEN x") + one + pg.SYNC + one + pg.SYNC)
        self.assertEqual([caller.frame_types(), caller.frame_types()], ["EZ", "12DCZ"])
        self.member.scripted_outcomes = [refused_outcome("NOT_RUN_OVERLOADED")]
        caller.send(one + pg.SYNC + pg.SYNC)
        self.assertEqual([caller.frame_types(), caller.frame_types()], ["EZ", "Z"])

    def test_settings_and_statements_do_not_mix(self):
        caller = self.caller()
        local = pg.parse("", "SET bramleyrill.age = 5") + EXECUTE
        caller.send(local + local + pg.SYNC)
        self.assertEqual(caller.frame_types(), "12C12CZ")
        caller.send(local + pg.parse("", "SELECT a") + EXECUTE + pg.SYNC)
        self.assertEqual(caller.frame_types(), "EZ")
        self.assertEqual(self.member.statement_log, [])

    def test_statement_that_failed_to_parse_is_not_kept(self):
        caller = self.caller()
        caller.send(pg.parse("s", "SELECT a") + pg.bind("", "x") + pg.parse("t", "SELECT a"))
        caller.send(pg.SYNC)
        self.assertEqual(caller.frame_types(), "1EZ")
        caller.send(pg.bind("", "s") + pg.execute("") + pg.SYNC)
        self.assertEqual(caller.frame_types(), "2DCZ")
        caller.send(pg.bind("", "t") + pg.execute("") + pg.SYNC)
        self.assertEqual(caller.sqlstate(), "26000")
        caller.frame_types()
        caller.send(pg.parse("s", "SELECT b") + pg.SYNC)
        self.assertEqual(caller.sqlstate(), "42P05")

    def test_prepared_statements_are_bounded(self):
        caller = self.caller()
        for number in range(3):
            caller.send(pg.parse(f"s{number}", "SELECT a") + pg.SYNC)
            self.assertEqual(caller.frame_types(), "1Z")
        caller.send(pg.parse("t", "SELECT a" + " " * 2000) + pg.SYNC)
        self.assertEqual(caller.sqlstate(), "54000")
        caller.frame_types()
        caller.send(pg.parse("s3", "SELECT a") + pg.parse("s4", "SELECT a") + pg.SYNC)
        self.assertEqual(caller.sqlstate(), "54000")

    def test_request_that_crosses_the_drain_is_run(self):
        caller = self.caller()

        def send_and_drain():
            caller.send(pg.query("INSERT 1"))
            self.thread.front.drain()

        self.thread.call(send_and_drain)
        self.assertEqual(caller.frame_types(), "CSZ")
        self.assertEqual(caller.sqlstate(), "57P01")


class TlsRequestTest(RawCase):
    """Guards against clear text that is handled as if it had been encrypted."""

    @classmethod
    def setUpClass(cls):
        cls.tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        trustme.CA().issue_cert("localhost").configure_cert(cls.tls)

    def test_bytes_after_the_request_are_refused(self):
        caller = self.caller(login=False)
        caller.send(pg.encryption_request() + b"x" * 8)
        self.assertEqual(caller.sqlstate(), "08P01")


class AcknowledgementTest(unittest.TestCase):
    """Guards against an acknowledgement that a full buffer delays until its permit has expired."""

    def setUp(self):
        proxy_side, self.caller_side = gevent.socket.socketpair()
        self.addCleanup(proxy_side.close)
        self.addCleanup(self.caller_side.close)
        self.proxy_side = proxy_side
        self.caller = CallerSocket(proxy_side, CoarseClock())
        self.clock = ManualClock()

    def test_expiry_while_the_caller_does_not_read(self):
        proxy_side = self.proxy_side
        filled = 0
        try:
            while True:
                filled += proxy_side.send(b"x" * 65536, 0, 0.0)
        except BlockingIOError:
            pass
        sending = gevent.spawn(self.caller.send_before, b"done", self.clock, 10 * MS)
        gevent.sleep(0)
        self.assertIsNotNone(self.caller.blocked_since)
        self.clock.advance(10 * MS)
        while filled > 0:
            filled -= len(self.caller_side.recv(65536))
        self.assertFalse(sending.get(timeout=10))
        self.assertIsNone(self.caller.blocked_since)

    def test_in_time(self):
        self.assertTrue(self.caller.send_before(b"done", self.clock, MS))
        self.assertEqual(self.caller_side.recv(10), b"done")
