"""Answers to peers that ask for a proof of a primary, or whether this VM holds a duty."""

import unittest
from unittest import mock

from bramleyrill_core import Mark
from bramleyrill_entry._duty_leases import DutyLeases
from bramleyrill_entry._executor import _prove_and_reply
from bramleyrill_standins.prepared import LineGroup
from bramleyrill_wire.entries import frames

from tests.entry.builders import SERVICE, make_state


class ProveTest(unittest.TestCase):
    def setUp(self):
        group = LineGroup(SERVICE, ["m1", "m2"])
        self.addCleanup(group.close)
        self.state = make_state(group)
        self.net = mock.Mock(state=self.state, services={DutyLeases: DutyLeases(self.state, None)})

    def ask(self, **fields):
        link = mock.Mock()
        frame = frames.Prove(call=1, service_name=SERVICE, known_only=True, **fields)
        _prove_and_reply(self.net, link, frame)
        return link.send.call_args.args[0]

    def test_proof_names_the_member_that_gave_it(self):
        """After an appointment the old primary's position was told as the new one's."""
        self.state.record_proof(SERVICE, "m1", 1, Mark(1, 5), self.state.now())
        self.state.record_appointment(SERVICE, "m2", "order")
        answer = self.ask()
        self.assertEqual((answer.member, answer.term, answer.position), ("m1", 1, 5))

    def test_no_proof(self):
        self.assertLess(self.ask().age_us, 0)

    def test_duty_is_told_only_if_asked_for(self):
        self.assertIsNone(self.ask().may_hold_duty)
        self.assertIs(self.ask(duty_era=2).may_hold_duty, False)
