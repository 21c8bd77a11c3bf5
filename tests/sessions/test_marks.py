"""Tests of marks and tokens."""

import unittest
from datetime import timedelta

from bramleyrill_base import ErrorKind
from bramleyrill_core import Core, Mark, StatementClass, TermStart, database_id
from bramleyrill_core.routing import route
from bramleyrill_core.sessions import (
    TokenKey,
    TokenKeysChanged,
    apply_setting,
    check_mark,
    issue_token,
    log_contains,
    open_session,
    record_primary_answer,
    session_token,
    verify_token,
)
from returns.result import Failure, Success

from tests.worlds import DATABASE, build_world, status

OLD = TokenKey("k1", b"a" * 16)
NEW = TokenKey("k2", b"b" * 16)


def error_kind(result):
    return result.failure().kind


class MarkTest(unittest.TestCase):
    def setUp(self):
        self.world = build_world()
        self.session = open_session(self.world, 1, "kintsugi", "pieces", "main", "ada")

    def test_entry_before_the_start_of_a_later_term_is_kept(self):
        """Guards against a false or a missed LOST_ENTRY at the border of a term."""
        history = (TermStart(5, 0), TermStart(7, 60), TermStart(9, 90))
        self.assertEqual(check_mark(Mark(5, 60), history), Success(None))
        self.assertEqual(error_kind(check_mark(Mark(5, 61), history)), ErrorKind.LOST_ENTRY)
        self.assertEqual(error_kind(check_mark(Mark(7, 91), history)), ErrorKind.LOST_ENTRY)

    def test_log_that_never_had_the_term_lacks_the_entry(self):
        """Guards against accepting a different entry at the same position as the session's own."""
        history = (TermStart(1, 0), TermStart(7, 35))
        self.assertEqual(error_kind(check_mark(Mark(6, 35), history)), ErrorKind.LOST_ENTRY)
        self.assertEqual(check_mark(Mark(1, 35), history), Success(None))
        self.assertFalse(log_contains(status("m1", 7, 37, history=((1, 0), (7, 35))), Mark(6, 35)))

    def test_log_older_than_the_mark_is_stale_and_loses_nothing(self):
        """Guards against reporting a loss because a replaced primary answered."""
        self.session.mark = Mark(7, 40)
        old = (TermStart(5, 0),)
        answer = record_primary_answer(self.world, self.session, Mark(5, 80), old, False)
        self.assertEqual(error_kind(answer), ErrorKind.TOO_STALE)
        self.assertEqual((self.session.mark, self.session.lost_mark), (Mark(7, 40), None))

    def test_token_of_a_session_with_an_unreported_loss_names_the_lost_entry(self):
        """Guards against a loss that is never reported because the caller roams after it."""
        Core(self.world).handle(TokenKeysChanged((OLD,), "k1"))
        history = (TermStart(5, 0), TermStart(7, 60))
        self.session.mark = Mark(5, 80)
        record_primary_answer(self.world, self.session, Mark(7, 90), history, True)
        token = session_token(self.world, self.session)
        self.assertEqual(verify_token(self.world, token, DATABASE), Success(Mark(5, 80)))

    def test_longer_log_of_an_older_term_lacks_the_entry(self):
        """Guards against comparing positions before terms."""
        old = status("m2", 5, 200, history=((5, 0),))
        self.assertFalse(log_contains(old, Mark(7, 100)))
        diverged = status("m2", 7, 200, history=((5, 0), (7, 60)))
        self.assertFalse(log_contains(diverged, Mark(5, 80)))
        self.assertTrue(log_contains(diverged, Mark(5, 60)))

    def test_loss_seen_by_a_write_is_reported_to_the_next_read(self):
        """Guards against a write in the new term that hides the loss of an earlier one."""
        history = (TermStart(5, 0), TermStart(7, 60))
        record_primary_answer(self.world, self.session, Mark(5, 80), (TermStart(5, 0),), True)
        answer = record_primary_answer(self.world, self.session, Mark(7, 90), history, True)
        self.assertEqual(answer, Success(None))
        self.assertEqual(self.session.mark, Mark(7, 90))
        read = route(self.world, self.session, StatementClass.READ, False)
        self.assertEqual(error_kind(read), ErrorKind.LOST_ENTRY)
        again = route(self.world, self.session, StatementClass.READ, False)
        self.assertIsInstance(again, Success)

    def test_marks_of_two_terms_are_both_checked(self):
        """Guards against a token of a later term that hides the loss of the session's own write."""
        Core(self.world).handle(TokenKeysChanged((OLD,), "k1"))
        self.session.mark = Mark(5, 80)
        token = issue_token(self.world, DATABASE, Mark(7, 90))
        apply_setting(self.world, self.session, "bramleyrill.token", token)
        self.assertEqual(self.session.mark, Mark(7, 90))
        history = (TermStart(5, 0), TermStart(7, 60))
        answer = record_primary_answer(self.world, self.session, Mark(7, 95), history, False)
        self.assertEqual(error_kind(answer), ErrorKind.LOST_ENTRY)
        self.assertIsNone(self.session.mark)


class TokenTest(unittest.TestCase):
    def setUp(self):
        self.world = build_world()
        self.core = Core(self.world)
        self.core.handle(TokenKeysChanged((OLD,), "k1"))
        self.token = issue_token(self.world, DATABASE, Mark(5, 80))

    def test_roaming_with_a_rotated_key(self):
        """Guards against a key rotation that invalidates tokens of the old key at once."""
        self.core.handle(TokenKeysChanged((OLD, NEW), "k2"))
        self.assertEqual(verify_token(self.world, self.token, DATABASE), Success(Mark(5, 80)))
        self.assertIn(".k2.", issue_token(self.world, DATABASE, Mark(5, 80)))
        self.core.handle(TokenKeysChanged((NEW,), "k2"))
        refused = verify_token(self.world, self.token, DATABASE)
        self.assertEqual(error_kind(refused), ErrorKind.BAD_SETTING)

    def test_every_changed_character_is_refused(self):
        """Guards against accepting a forged token and against input that raises an exception."""
        for index in range(len(self.token)):
            other = "A" if self.token[index] != "A" else "B"
            forged = self.token[:index] + other + self.token[index + 1 :]
            result = verify_token(self.world, forged, DATABASE)
            self.assertIsInstance(result, Failure, forged)
        for odd in ("", "....", "b1.k1..", "b1.k1.\u00e9.\u00e9", "x" * 5000):
            self.assertIsInstance(verify_token(self.world, odd, DATABASE), Failure)

    def test_token_of_another_fleet_leaves_the_session_without_a_mark(self):
        """Guards against accepting a mark of a different log."""
        foreign = issue_token(self.world, database_id("gatecare", "p", "main"), Mark(9, 9))
        session = open_session(self.world, 1, "kintsugi", "pieces", "main", "ada")
        result = apply_setting(self.world, session, "bramleyrill.token", foreign)
        self.assertEqual(error_kind(result), ErrorKind.BAD_SETTING)
        self.assertIsNone(session.mark)

    def test_no_token_without_a_key(self):
        """Guards against tokens signed with an empty key on a VM started during an outage."""
        self.core.handle(TokenKeysChanged((), ""))
        self.assertEqual(issue_token(self.world, DATABASE, Mark(5, 80)), "")


class SettingTest(unittest.TestCase):
    def test_bad_values_change_nothing(self):
        """Guards against partly applying a rejected setting."""
        world = build_world()
        session = open_session(world, 1, "kintsugi", "pieces", "main", "viewer")
        for name, value in [("age", "-1"), ("age", "\u0663"), ("rank", "top"), ("nope", "1")]:
            result = apply_setting(world, session, f"bramleyrill.{name}", value)
            self.assertEqual(error_kind(result), ErrorKind.BAD_SETTING)
        self.assertEqual(session.age, timedelta(seconds=2))
