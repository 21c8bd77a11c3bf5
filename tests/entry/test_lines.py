"""Codec of the line protocol, with malformed input from callers and members."""

import unittest

from bramleyrill_core import Mark
from bramleyrill_core.statements import (
    Answer,
    AnswerCode,
    Prepared,
    Statement,
    StatementKind,
    TransactionState,
)
from bramleyrill_platform import lines


class CallerTest(unittest.TestCase):
    def test_statements(self):
        kinds = {
            "BEGIN": StatementKind.BEGIN,
            "BEGIN READ": StatementKind.BEGIN_READ_ONLY,
            "COMMIT": StatementKind.COMMIT,
            "ROLLBACK": StatementKind.ROLLBACK,
            "READ a": StatementKind.READ,
            "WRITE a x y": StatementKind.WRITE,
            "SET zone utc": StatementKind.SET,
            "PREPARE s READ q": StatementKind.PREPARE,
            "EXECUTE s a": StatementKind.EXECUTE,
            "DEALLOC s": StatementKind.DEALLOCATE,
        }
        for text, kind in kinds.items():
            parsed = lines.parse_caller_message(f"QUERY 1 {text}")
            self.assertIs(parsed.kind, kind, text)
            self.assertEqual(parsed.text, text)

    def test_invalid_statements(self):
        """A forged position, an extra field or an unknown word must not reach a member."""
        for text in (
            "SYNCPOS 9.9 READ a",
            "READ a b",
            "BEGIN WRITE",
            "RESET",
            "STATUS",
            "DEMOTE 9",
            "COMMIT now",
            "PREPARE s DROP q",
            "EXECUTE s",
            "read a",
        ):
            parsed = lines.parse_caller_message(f"QUERY 1 {text}")
            self.assertIs(parsed.kind, StatementKind.MALFORMED, text)

    def test_invalid_messages(self):
        for line in ("", "QUERY", "QUERY 1", "HELLO x", "OPEN"):
            self.assertIsInstance(lines.parse_caller_message(line), lines.InvalidMessage, line)

    def test_message_in_pieces(self):
        buffer = lines.LineBuffer()
        self.assertEqual(buffer.feed(b"QUERY 1 RE"), [])
        self.assertEqual(buffer.feed(b"AD a\r"), [])
        self.assertEqual(buffer.feed(b"\nBYE\r\n"), ["QUERY 1 READ a", "BYE"])

    def test_message_that_never_ends_is_bounded(self):
        buffer = lines.LineBuffer()
        with self.assertRaises(lines.LineError):
            for _ in range(20):
                buffer.feed(b"x" * 100_000)

    def test_invalid_utf8_passes_unchanged(self):
        line = lines.LineBuffer().feed(b"QUERY 1 WRITE a \xff\xfe\r\n")[0]
        parsed = lines.parse_caller_message(line)
        self.assertEqual(lines.encode_query("1", parsed.text), b"QUERY 1 WRITE a \xff\xfe\r\n")

    def test_every_code_has_a_word(self):
        for code in AnswerCode:
            if code is not AnswerCode.SUCCESS:
                data = lines.encode_answer(Answer(code, state=TransactionState.OPEN))
                self.assertTrue(data.startswith(b"ERROR "), code)
                self.assertTrue(data.endswith(b"READY T -\r\n"), code)


class MemberTest(unittest.TestCase):
    def feed(self, *received):
        reader = lines.AnswerReader()
        for line in received:
            answer = reader.feed(line)
        return answer

    def test_answer_with_rows(self):
        answer = self.feed("ROW a b", "ROW c", "COMPLETE 7.1f", "READY T 3.12")
        self.assertEqual(answer.rows, ["a b", "c"])
        self.assertEqual((answer.signature, answer.mark), ("7.1f", Mark(3, 12)))
        self.assertIs(answer.state, TransactionState.OPEN)

    def test_unknown_code_does_not_mean_not_run(self):
        """An undocumented error code must not be reported as "did not run"."""
        answer = self.feed("ERROR STRANGE text", "READY I -")
        self.assertFalse(answer.not_run)
        self.assertIn(b"ERROR FAILED", lines.encode_answer(answer))

    def test_answer_without_end_is_rejected(self):
        reader = lines.AnswerReader()
        with self.assertRaises(lines.LineError):
            for _ in range(10):
                reader.feed("ROW " + "x" * 900_000)

    def test_messages_out_of_order_end_the_connection(self):
        for received in (["READY I -"], ["COMPLETE a", "ROW b"], ["COMPLETE a", "READY X -"]):
            with self.assertRaises(lines.LineError):
                self.feed(*received)

    def test_prepared_statement_has_its_name_of_the_connection(self):
        """Callers may use the same name, and one connection serves them all."""
        prepared = Prepared(True, "q2c by item")
        execute = Statement(
            StatementKind.EXECUTE, "1", "EXECUTE s1 1a4 x y", "s1", "1a4 x y", prepared
        )
        self.assertEqual(lines.member_text(execute, "p7"), "EXECUTE p7 1a4 x y")
        self.assertEqual(lines.prepare_text("p7", prepared), "PREPARE p7 WRITE q2c by item")

    def test_status(self):
        status = lines.parse_status(["replica 3 3.1209 0 12 2 17"])
        self.assertEqual((status.is_primary, status.mark), (False, Mark(3, 1209)))
        for rows in ([], ["replica"], ["replica x 3.1 0"], ["replica 3 none 0"]):
            with self.assertRaises(lines.LineError):
                lines.parse_status(rows)
