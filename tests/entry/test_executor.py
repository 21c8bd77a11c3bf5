"""Answers to peers: to statements that fail, and to questions for proofs and duties."""

import random
import unittest
from unittest import mock

from bramleyrill_core import Mark
from bramleyrill_core.statements import Answer
from bramleyrill_entry._duty_leases import DutyLeases
from bramleyrill_entry._executor import Executor, _prove_and_reply, _run_and_reply
from bramleyrill_entry._peer_link import NotSentError, PeerLostError
from bramleyrill_entry._run_codec import encode_request
from bramleyrill_entry._run_request import Opens, RunProblem, RunResult
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_standins.prepared import LineGroup
from bramleyrill_wire.entries import FrameBuffer, FrameError, encode, frames

from tests.entry.builders import SERVICE, make_state, request


class RunTest(unittest.TestCase):
    def test_failed_run_is_answered_with_an_unknown_outcome(self):
        """The peer, and its caller, waited for an answer until their timeout."""
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        schedulers = mock.Mock()
        schedulers.run.side_effect = KeyError("class")
        net = mock.Mock(state=make_state(group), services={MemberSchedulers: schedulers})
        link = mock.Mock()
        frame = encode_request(7, request("WRITE a 1", "m1"))
        _run_and_reply(net, link, frame)
        answer = link.send.call_args.args[0]
        self.assertEqual((answer.call, answer.problem), (7, RunProblem.LOST))

    def test_transaction_whose_opening_is_not_answered_is_rolled_back(self):
        """Its entry VM did not know that it was open, so that nobody ended it."""
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        schedulers = mock.Mock()
        schedulers.run.return_value = RunResult(Answer(), transaction_open=True)
        net = mock.Mock(state=make_state(group), services={MemberSchedulers: schedulers})
        link = mock.Mock()
        link.peer.id = "vm2"
        link.send.side_effect = PeerLostError("the link was lost")
        opening = request("READ a", "m1", opens=Opens.READ_WRITE, transaction_id=4)
        _run_and_reply(net, link, encode_request(7, opening))
        schedulers.end_transaction.assert_called_once_with("vm2", 4)

    def test_answer_that_no_frame_can_carry_breaks_no_link(self):
        """The receiver closed the link, and other callers' writes on it had no known outcome."""
        rows = ["x"] * 900_000
        schedulers = mock.Mock()
        schedulers.run.return_value = RunResult(Answer(rows=rows), transaction_open=True)
        net = mock.Mock(services={MemberSchedulers: schedulers})
        sent, link = [], mock.Mock()
        link.peer.id = "vm2"

        def send(frame):
            try:
                sent.append(encode(frame))
            except FrameError as error:
                raise NotSentError(str(error)) from error

        link.send.side_effect = send
        opening = request("READ a", "m1", opens=Opens.READ_WRITE, transaction_id=4)
        _run_and_reply(net, link, encode_request(7, opening))
        (answer,) = FrameBuffer().feed(sent[0])
        self.assertEqual((answer.call, answer.problem), (7, RunProblem.LOST))
        schedulers.end_transaction.assert_called_once_with("vm2", 4)


class TransactionIdTest(unittest.TestCase):
    def test_process_does_not_use_the_ids_of_the_one_before_it(self):
        """A VM that restarted could reach an open transaction of another caller under its key."""
        earlier, later = (Executor(mock.Mock(), mock.Mock()) for _ in range(2))
        used = {earlier.new_transaction_id() for _ in range(1000)}
        self.assertFalse(used & {later.new_transaction_id() for _ in range(1000)})

    def test_ids_fit_in_a_frame(self):
        with mock.patch.object(random, "randint", lambda _first, last: last):
            executor = Executor(mock.Mock(), mock.Mock())
        opening = request(
            "READ a", "m1", opens=Opens.READ_WRITE, transaction_id=executor.new_transaction_id()
        )
        frame = encode_request(7, opening)
        (decoded,) = FrameBuffer().feed(encode(frame))
        self.assertEqual(decoded.exchange, opening.transaction_id)


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
