"""Tests of the end of an idle session while its next request arrives."""

import unittest

import gevent
from attrs import define, field
from bramleyrill_daemon.front import Front, FrontLimits

from tests.front.fakes import FakeMember, build_world


@define
class RecordedGreenlet:
    """Records the errors with which it is ended."""

    ended: list = field(factory=list)

    def throw(self, error):
        self.ended.append(error)

    def kill(self, error, block=True):
        self.ended.append(error)


@define
class WaitingSession:
    """A session that waits for its caller's next request."""

    greenlet: RecordedGreenlet = field(factory=RecordedGreenlet)
    closing: bool = False
    waiting_for_input: bool = True
    between_requests: bool = True


class SessionEndTest(unittest.TestCase):
    """Guards against 57P01 for a write that took effect, seen at a planned stop.

    The end of the session was decided while it waited for input. Before the end was delivered, the
    session had read a request and sent it on.
    """

    def setUp(self):
        self.front = Front(build_world(), FakeMember(), FrontLimits(), None, lambda *_: None)
        self.session = WaitingSession()
        self.front.sessions[1] = self.session

    def test_session_that_has_read_a_request_is_not_ended(self):
        self.front.close_session(1)
        self.session.waiting_for_input = False
        gevent.sleep(0.01)
        self.assertEqual(self.session.greenlet.ended, [])

    def test_session_that_still_waits_is_ended(self):
        self.front.close_session(1)
        gevent.sleep(0.01)
        self.assertEqual(len(self.session.greenlet.ended), 1)

    def test_transaction_that_has_read_a_request_is_not_ended(self):
        self.session.between_requests = False
        self.front.end_idle_transactions()
        self.session.waiting_for_input = False
        gevent.sleep(0.01)
        self.assertEqual(self.session.greenlet.ended, [])
