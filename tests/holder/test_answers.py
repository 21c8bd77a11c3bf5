"""Parsing of an answer whose acknowledgement is held back until the permit is checked."""

import struct
import unittest

from bramleyrill_daemon._answers import MAX_HELD_BYTES, AnswerScanner


def frame(kind, body=b""):
    return kind + struct.pack("!I", len(body) + 4) + body


SELECT_DONE = frame(b"C", b"SELECT 1\0")
INSERT_DONE = frame(b"C", b"INSERT 0 1\0")
LARGE_ROW = frame(b"D", b"x" * (MAX_HELD_BYTES + 1))
READY = frame(b"Z", b"I")


class HoldTest(unittest.TestCase):
    def setUp(self):
        self.scanner = AnswerScanner(hold=True, wants_status=False)

    def test_acknowledgement_behind_a_large_result_is_held(self):
        """A batch of SELECT, large SELECT and INSERT sent it before the permit was checked."""
        answer = SELECT_DONE + LARGE_ROW + SELECT_DONE + INSERT_DONE
        for size in (len(answer), 5000, 7):
            with self.subTest(size=size):
                self.setUp()
                parts = [answer[at : at + size] for at in range(0, len(answer), size)]
                forwarded = b"".join(map(self.scanner.feed, parts))
                self.assertEqual(forwarded.find(INSERT_DONE), -1)
                self.scanner.feed(READY)
                self.assertEqual(forwarded + self.scanner.tail, answer + READY)

    def test_large_result_is_not_held_as_a_whole(self):
        """Otherwise memory would grow with the result."""
        forwarded = self.scanner.feed(SELECT_DONE + LARGE_ROW * 3)
        self.assertEqual(forwarded, SELECT_DONE + LARGE_ROW * 3)

    def test_short_answer_is_held_from_its_first_completion_on(self):
        row = frame(b"D", b"x")
        self.assertEqual(self.scanner.feed(row + SELECT_DONE + row + INSERT_DONE), row)
        self.scanner.feed(READY)
        self.assertEqual(self.scanner.tail, SELECT_DONE + row + INSERT_DONE + READY)
