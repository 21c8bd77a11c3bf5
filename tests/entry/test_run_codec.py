"""Requests and results on the way between VMs: what arrives, and how many bytes it takes."""

import unittest
from datetime import timedelta

from attrs import asdict
from bramleyrill_core import Mark
from bramleyrill_core.statements import Answer, Prepared, TransactionState
from bramleyrill_entry._run_codec import (
    decode_request,
    decode_result,
    encode_request,
    encode_result,
)
from bramleyrill_entry._run_request import Opens, RunProblem, RunResult
from bramleyrill_wire.entries import FrameBuffer, encode

from tests.entry.builders import request, statement

DATA = "x" * 80
MS = timedelta(milliseconds=1)


def carry(frame):
    """Return a frame as another VM receives it."""
    return FrameBuffer().feed(encode(frame))[0]


class CodecTest(unittest.TestCase):
    def requests(self):
        prepared = Prepared(True, "q2c")
        execute = statement(f"EXECUTE s1 1a4 {DATA}", prepared=prepared)
        return [
            request("READ 1a4", "m1", fence=False, mark=Mark(3, 7), max_staleness=5 * MS),
            request("WRITE 1a4 x", "m1", team="harbour", values={"zone": "utc", "empty": ""}),
            request(execute, "m1", opens=Opens.READ_WRITE, transaction_id=4),
            request("COMMIT", "m1", transaction_id=4),
        ]

    def test_request_arrives_as_it_was_sent(self):
        for sent in self.requests():
            received = decode_request(carry(encode_request(1, sent)))
            expected = asdict(sent)
            if sent.statement.prepared is not None:
                # The holder sends the prepared statement's own name and the argument.
                expected["statement"] |= {"text": "", "name": ""}
            self.assertEqual(asdict(received), expected)

    def test_result_arrives_as_it_was_sent(self):
        answer = Answer(rows=["a", ""], signature="s1", state=TransactionState.OPEN)
        for sent in (
            RunResult(answer, transaction_open=True, waited=3 * MS),
            RunResult(Answer(mark=Mark(2, 9))),
            RunResult(problem=RunProblem.OVERLOADED, retry_after=40 * MS),
        ):
            received = decode_result(carry(encode_result(1, sent)))
            self.assertEqual(asdict(received), asdict(sent))

    def test_text_that_is_no_utf8_is_carried_as_it_is(self):
        """One statement id ended the writer of the link, and others were answered as unknown."""
        odd = b"a\xff\xfe".decode("utf-8", "surrogateescape")
        for sent in (
            request(statement(f"WRITE {odd} {odd}", odd), "m1", values={odd: odd}),
            request(statement(f"EXECUTE s {odd}", odd, Prepared(True, odd)), "m1"),
        ):
            (frame,) = FrameBuffer().feed(encode(encode_request(1, sent)))
            received = decode_request(frame)
            self.assertEqual(received.statement.id, odd)
            self.assertEqual(received.statement.argument, sent.statement.argument)
            self.assertEqual(received.statement.prepared, sent.statement.prepared)
            self.assertEqual(received.values, sent.values)

    def test_argument_of_a_prepared_statement_is_carried_once(self):
        """The text and the argument both held the caller's data, on links between regions."""
        frame = encode(encode_request(1, self.requests()[2]))
        self.assertEqual(frame.count(DATA.encode()), 1)
