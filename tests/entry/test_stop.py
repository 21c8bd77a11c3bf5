"""Timing of a planned stop: refusing callers, closing sessions and giving up."""

import unittest
from datetime import timedelta
from types import SimpleNamespace

import gevent
from bramleyrill_entry._gossip import Gossip
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._stop import PlannedStop
from bramleyrill_standins.prepared import LineGroup

from tests.entry.builders import SERVICE, make_state

GRACE_S = 1.0


class FakeFront:
    """Stand-in for `Front` that records the time of the first call of each method.

    Idle sessions end when closed; a busy one never does.
    """

    def __init__(self, now, busy):
        self.sessions = {"busy", "idle"} if busy else {"idle"}
        self.calls_by_name = {}
        self._now = now

    def record_call(self, name):
        self.calls_by_name.setdefault(name, self._now())

    def stop_accepting(self):
        self.record_call("stop_accepting")

    def abort_transactions(self, _reason):
        self.record_call("abort_transactions")

    def close_idle(self):
        self.record_call("close_idle")
        self.sessions.discard("idle")


class PlannedStopTest(unittest.TestCase):
    def run_stop(self, busy):
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        state = make_state(group, grace_s=GRACE_S)
        front = FakeFront(state.now, busy)
        net = SimpleNamespace(services={Gossip: SimpleNamespace(ping=lambda _vm: None)})
        started_at = state.now()
        with gevent.Timeout(10):
            PlannedStop(state, front, MemberSchedulers(state), net).run()
        duration = (state.now() - started_at) / timedelta(seconds=GRACE_S)
        shares = {
            name: (at - started_at) / timedelta(seconds=GRACE_S)
            for name, at in front.calls_by_name.items()
        }
        return duration, shares, state

    def test_listener_closes_while_there_is_time_to_answer(self):
        """Callers lost answers in the soak `grown trouble-3`.

        The exit cut off requests that were read late in a stop.
        """
        duration, shares, _ = self.run_stop(busy=True)
        self.assertLess(shares["stop_accepting"], 0.8)
        self.assertGreater(duration - shares["stop_accepting"], 0.2)

    def test_transactions_have_half_of_the_grace(self):
        _, shares, _ = self.run_stop(busy=True)
        self.assertGreaterEqual(shares["abort_transactions"], 0.5)

    def test_process_ends_before_the_grace_does(self):
        """A process that is killed at the end of the grace period cuts off its answers."""
        duration, _, _ = self.run_stop(busy=True)
        self.assertLess(duration, 1.0)

    def test_sessions_end_once_the_balancer_sends_no_more_callers(self):
        _, shares, state = self.run_stop(busy=False)
        self.assertGreaterEqual(shares["close_idle"], 0.8)
        self.assertTrue(state.closing_sessions)
        self.assertTrue(state.vms.own.leaving)
