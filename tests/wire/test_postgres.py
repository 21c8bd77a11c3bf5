"""Tests of the PostgreSQL protocol codec."""

import unittest

from bramleyrill_base import ErrorKind
from bramleyrill_wire import postgres as pg
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

FRAMES = st.lists(st.tuples(st.sampled_from(b"CDETZ"), st.binary(max_size=40)), max_size=12)


class SplitterTest(unittest.TestCase):
    """Guards against bytes lost, reordered or delayed when reads end inside a frame."""

    @seed(11)
    @settings(max_examples=200, deadline=None, database=None)
    @given(FRAMES, st.lists(st.integers(1, 30), min_size=1, max_size=60))
    def test_read_sizes_do_not_change_the_frames(self, frames, read_sizes):
        encoded = [pg.frame(bytes([kind]), payload) for kind, payload in frames]
        stream = b"".join(encoded)
        splitter = pg.FrameSplitter(frozenset(b"CZE"), 100)
        pieces, position, read_count = [], 0, 0
        while position < len(stream):
            size = read_sizes[read_count % len(read_sizes)]
            pieces += splitter.feed(stream[position : position + size])
            position += size
            read_count += 1
        self.assertEqual(b"".join(data for _, data in pieces), stream)
        whole = [data for kind, data in pieces if kind != pg.PASSED]
        self.assertEqual(whole, [data for data in encoded if data[0] in b"CZE"])
        self.assertTrue(splitter.at_frame_boundary)

    def test_long_forwarded_frame_is_not_buffered(self):
        splitter = pg.FrameSplitter(frozenset(b"Z"), 100)
        head = b"D" + (1_000_000).to_bytes(4, "big") + b"x" * 10
        self.assertEqual(splitter.feed(head), [(pg.PASSED, head)])
        self.assertEqual(splitter.feed(b"y" * 50), [(pg.PASSED, b"y" * 50)])

    def test_invalid_and_oversized_lengths_are_refused(self):
        for length, kind in ((3, ErrorKind.PROTOCOL_VIOLATION), (200, ErrorKind.FRAME_TOO_LARGE)):
            with self.assertRaises(pg.FrameError) as caught:
                pg.FrameSplitter(None, 100).feed(b"Q" + length.to_bytes(4, "big"))
            self.assertEqual(caught.exception.problem.kind, kind)


class ReaderTest(unittest.TestCase):
    """Guards against builders and readers that disagree, and against reads past a frame's end."""

    def test_builders_and_readers_agree(self):
        self.assertEqual(pg.read_query(pg.query("SELECT 1")), "SELECT 1")
        self.assertEqual(pg.read_parse(pg.parse("s", "SELECT $1", [23])), ("s", "SELECT $1"))
        self.assertEqual(pg.read_bind(pg.bind("p", "s", [b"1", None])), ("p", "s"))
        self.assertEqual(pg.read_target(pg.describe(b"S", "s")), (b"S", "s"))
        self.assertEqual(pg.read_row(pg.data_row([b"a", None, b""])), [b"a", None, b""])
        fields = pg.read_fields(pg.error_response("NR001", "not run", hint="retry"))
        self.assertEqual((fields["C"], fields["H"], "D" in fields), ("NR001", "retry", False))
        self.assertEqual(pg.read_key_data(pg.backend_key_data(7, 9)), (7, 9))

    def test_malformed_payloads_raise_frame_errors(self):
        cases = [
            (pg.read_query, b"Q\x00\x00\x00\x08text"),
            (pg.read_query, pg.query("a") + b"b\x00"),
            (pg.read_query, pg.frame(b"Q", b"\xff\x00")),
            (pg.read_row, pg.frame(b"D", b"\x00\x02\x00\x00\x00\x09abc")),
            (pg.read_row, pg.frame(b"D", b"\x00\x02")),
            (pg.read_sasl_initial, pg.frame(b"p", b"SCRAM-SHA-256\x00")),
        ]
        for read, frame in cases:
            with self.assertRaises(pg.FrameError):
                read(frame)


class StartupTest(unittest.TestCase):
    """Guards against startup packets that are misread or crash the parser."""

    def test_options_give_settings(self):
        packet = pg.startup_message(
            {"user": "aylin@kintsugi", "options": r"-c bramleyrill.rank=urgent -ca=b\ c --x-y=1"}
        )
        startup = pg.read_startup(packet)
        self.assertEqual(startup.parameters, {"user": "aylin@kintsugi"})
        expected = {"bramleyrill.rank": "urgent", "a": "b c", "x_y": "1"}
        self.assertEqual(startup.settings, expected)

    def test_requests_before_startup(self):
        self.assertEqual(pg.read_startup(pg.encryption_request()), pg.EncryptionRequest())
        self.assertEqual(pg.read_startup(pg.cancel_request(5, 6)), pg.CancelRequest(5, 6))

    def test_malformed_packets_raise_frame_errors(self):
        for packet in (
            b"\x00\x00\x00\x0c\x00\x03\x00\x00user",
            b"\x00\x00\x00\x09\x00\x02\x00\x00\x00",
            pg.startup_message({"user": "a", "options": "-x"}),
            pg.cancel_request(1, 2)[:12],
        ):
            with self.assertRaises(pg.FrameError):
                pg.read_startup(packet)
        with self.assertRaises(pg.FrameError):
            pg.startup_length(b"\x00\x00\xff\xff")


class ScramTest(unittest.TestCase):
    """Guards against a login with a wrong password and against a server that gives no proof."""

    verifier = pg.make_verifier("pencil", b"salt-of-16-bytes")

    def log_in(self, password, verifier):
        client, server = pg.ClientLogin("aylin", password), pg.ScramServerLogin(verifier)
        mechanism, first = pg.read_sasl_initial(client.answer(pg.authentication_sasl()).unwrap())
        self.assertEqual(mechanism, "SCRAM-SHA-256")
        reply = pg.authentication_sasl_continue(server.handle_client_first(first).unwrap())
        final = server.handle_client_final(client.answer(reply).unwrap()[5:])
        return client, final

    def test_right_password_is_accepted_on_both_sides(self):
        client, final = self.log_in("pencil", pg.read_verifier(self.verifier.text()))
        self.assertFalse(is_successful(client.answer(pg.AUTHENTICATION_OK)))
        client.answer(pg.authentication_sasl_final(final.unwrap())).unwrap()
        client.answer(pg.AUTHENTICATION_OK).unwrap()
        self.assertTrue(client.done)

    def test_wrong_password_and_mock_verifier_are_refused(self):
        for password, verifier in (
            ("pencils", self.verifier),
            ("pencil", pg.mock_verifier("nobody", b"secret")),
        ):
            _, final = self.log_in(password, verifier)
            self.assertEqual(final.failure().kind, ErrorKind.BAD_CREDENTIALS)

    def test_malformed_messages_fail_without_exception(self):
        for message in (b"", b"n,,", b"\xff", b"p=x,,n=a,r=b"):
            self.assertFalse(
                is_successful(pg.ScramServerLogin(self.verifier).handle_client_first(message))
            )

    def test_clear_text_needs_permission(self):
        refused = pg.ClientLogin("aylin", "pencil").answer(pg.AUTHENTICATION_CLEARTEXT)
        self.assertEqual(refused.failure().kind, ErrorKind.BAD_CREDENTIALS)
