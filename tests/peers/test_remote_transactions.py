"""Tests of transactions over a peer link: matching of answers, flow control, lost links."""

import unittest
from datetime import timedelta

import gevent
from bramleyrill_base import ErrorKind, Problem, SystemClock
from bramleyrill_core import (
    NO_MARK,
    Mark,
    MemberId,
    Rank,
    StatementClass,
    TermStart,
    VmId,
    VmIdentity,
    database_id,
)
from bramleyrill_core.routing import Route
from bramleyrill_daemon._peer_net import PeerNet
from bramleyrill_daemon._remote import RemoteExecutor
from bramleyrill_daemon._served import serve_stream
from bramleyrill_daemon._stream_codec import WINDOW_BYTES, read_result, result_frame
from bramleyrill_daemon._transaction import Chunk, Outcome, Request, TransactionClosed
from bramleyrill_wire.peers import FrameBuffer, encode, frames
from gevent.queue import Queue

DATABASE = database_id("kintsugi", "pieces", "main")
ROUTE = Route(MemberId(f"{DATABASE}/m1"), VmId("b"), True, NO_MARK, timedelta())
REQUEST = Request(
    1, "kintsugi", "pieces", DATABASE, Rank.URGENT, StatementClass.WRITE, timedelta(seconds=5)
)
DONE = Outcome(tail=b"done")


class FakeTransaction:
    """Transaction that answers from the queue `parts`, and records what was sent to it."""

    def __init__(self):
        self.sent = []
        self.parts = Queue()
        self.received = 0
        self.closed = False

    def send(self, frames, may_commit=True, more=False):
        self.sent.append((frames, may_commit, more))

    def receive(self):
        part = self.parts.get()
        if part is None:
            raise TransactionClosed
        self.received += 1
        return part

    def cancel(self):
        self.parts.put(Outcome(problem=Problem(ErrorKind.CANCELED)))

    def close(self):
        if not self.closed:
            self.closed = True
            self.parts.put(None)


class RemoteTransactionTest(unittest.TestCase):
    def setUp(self):
        self.served = FakeTransaction()
        self.b = self.net("b", lambda link, frame: serve_stream(self, link, frame))
        self.a = self.net("a", lambda link, frame: None)
        port = self.b.listen("127.0.0.1", 0)
        self.a._address_of = lambda vm: ("127.0.0.1", port)
        self.transaction = RemoteExecutor(self.a.link, SystemClock()).open(ROUTE, REQUEST)
        timeout = gevent.Timeout.start_new(20)
        self.addCleanup(timeout.close)

    def net(self, vm, on_frame):
        identity = VmIdentity(VmId(vm), "d", "r")
        net = PeerNet(identity, b"0123456789abcdef", SystemClock(), lambda vm: None, on_frame)
        self.addCleanup(net.close)
        return net

    def open(self, route, request):
        self.opened = (route, request)
        return self.served

    def test_request_and_outcome_arrive_unchanged(self):
        """Guards against a field that the frames do not carry, such as the mark a read requires."""
        outcome = Outcome(
            tail=b"\xff",
            tx_status=b"T",
            mark=Mark(3, 9),
            history=(TermStart(1, 0), TermStart(3, 5)),
            at_primary=True,
            permit_age=timedelta(milliseconds=-3),
            permit_length=timedelta(seconds=1),
        )
        self.served.parts.put(outcome)
        self.transaction.send(b"q", may_commit=False)
        self.assertEqual(self.transaction.receive().mark, outcome.mark)
        route, request = self.opened
        self.assertEqual((route.member, route.at_primary), (ROUTE.member, True))
        self.assertEqual((request.rank, request.kind), (REQUEST.rank, REQUEST.kind))
        self.assertEqual(self.served.sent, [(b"q", False, False)])
        (frame,) = FrameBuffer().feed(encode(result_frame(1, 1, outcome)))
        decoded = read_result(frame)
        for name in ("tail", "tx_status", "history", "at_primary", "permit_age", "permit_length"):
            self.assertEqual(getattr(decoded, name), getattr(outcome, name), name)

    def test_problem_of_a_newer_peer_is_not_taken_for_not_run(self):
        """Guards against "not run" for a problem that this version does not know."""
        frame = frames.Result(stream=1, request=1, problem="NEWER_KIND")
        self.assertIs(read_result(frame).problem.kind, ErrorKind.OUTCOME_UNKNOWN)

    def test_unread_answer_stops_the_holder_within_the_window(self):
        """Guards against an answer that is buffered without limit for a slow caller."""
        piece = b"x" * 32768
        count = 40
        for _ in range(count):
            self.served.parts.put(Chunk(piece))
        self.served.parts.put(DONE)
        self.transaction.send(b"q")
        gevent.sleep(0.2)
        self.assertLessEqual(self.served.received, WINDOW_BYTES // len(piece) + 2)
        size = 0
        while isinstance(part := self.transaction.receive(), Chunk):
            size += len(part.frames)
        self.assertEqual((size, part.tail), (count * len(piece), b"done"))

    def test_long_request_arrives_whole_and_in_order(self):
        """Guards against a request that exceeds the window or loses its end."""
        data = b"".join(number.to_bytes(4, "big") for number in range(300_000))
        gevent.spawn(self.transaction.send, data, True)
        with gevent.Timeout(10):
            while sum(len(piece) for piece, _, _ in self.served.sent) < len(data):
                gevent.sleep(0.01)
        self.assertEqual(b"".join(piece for piece, _, _ in self.served.sent), data)
        self.assertEqual([more for _, _, more in self.served.sent][-1], False)

    def test_requests_that_leave_credit_unreturned_do_not_stall(self):
        """Guards against a wait for credit which the holder returns only in halves."""
        sizes = (100_000, 200_000)
        for size in sizes:
            self.served.parts.put(Outcome(tail=b"part", tx_status=b"T"))
            with gevent.Timeout(5):
                self.transaction.send(b"x" * size, may_commit=False)
            self.transaction.receive()
        with gevent.Timeout(5):
            while sum(len(piece) for piece, _, _ in self.served.sent) < sum(sizes):
                gevent.sleep(0.01)

    def test_lost_link_is_unknown_for_a_commit(self):
        """Guards against "not run" for a statement that the holder may have run."""
        self.transaction.send(b"q")
        gevent.spawn_later(0.02, lambda: self.b.links["a"].close("test"))
        self.assertIs(self.transaction.receive().problem.kind, ErrorKind.OUTCOME_UNKNOWN)
        gevent.sleep(0.02)
        self.assertTrue(self.served.closed)

    def test_lost_link_in_a_transaction_is_rolled_back(self):
        """Guards against a transaction that stays open at the holder."""
        self.served.parts.put(Outcome(tail=b"begin", tx_status=b"T"))
        self.transaction.send(b"begin", may_commit=False)
        self.transaction.receive()
        self.transaction.send(b"update", may_commit=False)
        gevent.spawn_later(0.02, lambda: self.b.links["a"].close("test"))
        self.assertIs(self.transaction.receive().problem.kind, ErrorKind.NOT_RUN_ROLLED_BACK)
        gevent.sleep(0.02)
        self.assertTrue(self.served.closed)

    def test_unreachable_holder_is_not_run(self):
        """Guards against OUTCOME_UNKNOWN for a request that was never sent."""
        self.a._address_of = lambda vm: None
        self.transaction.send(b"q")
        self.assertIs(self.transaction.receive().problem.kind, ErrorKind.NOT_RUN_UNREACHABLE)

    def test_late_answer_of_an_earlier_request_is_discarded(self):
        """Guards against a caller that receives the answer to another request."""
        self.served.parts.put(Outcome(tail=b"one", tx_status=b"T"))
        self.transaction.send(b"one")
        self.transaction.receive()
        self.transaction.send(b"two")
        late = frames.Result(stream=self.transaction._stream, request=1, tail=b"late")
        self.b.links["a"].send(late)
        gevent.sleep(0.02)
        self.served.parts.put(Outcome(tail=b"two"))
        self.assertEqual(self.transaction.receive().tail, b"two")

    def test_cancel_and_close_reach_the_holder(self):
        """Guards against a statement that keeps running for a disconnected caller."""
        self.transaction.send(b"q")
        gevent.sleep(0.02)
        self.transaction.cancel()
        self.assertIs(self.transaction.receive().problem.kind, ErrorKind.CANCELED)
        self.transaction.close()
        gevent.sleep(0.02)
        self.assertTrue(self.served.closed)
        self.assertEqual(self.b.links["a"].streams, {})
