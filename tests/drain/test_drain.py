"""Tests of planned stops and leaving members."""

import unittest

from bramleyrill_core import VmId
from bramleyrill_core.drain import (
    CloseSession,
    EndIdleTransactions,
    Exit,
    ReleaseHolders,
    RequestsInFlight,
    SessionIdle,
    StopAccepting,
    StopRequested,
    accepts_new_work,
    is_draining,
)
from bramleyrill_core.membership import (
    ListedVm,
    MembershipTables,
    SendHeartbeat,
    VmsListed,
    VmState,
    live_vms,
)

from tests.load_worlds import M1, M2, MS, S, build_core, build_sample_text, join, update


def types_of(effects):
    return [type(effect) for effect in effects]


class DrainTest(unittest.TestCase):
    def setUp(self):
        self.core = build_core()
        self.world = self.core.world
        join(self.core, update("b1", "b"), update("a2", "a"))
        self.core.tick()

    def run_until(self, seconds):
        effects = []
        for _ in range(round(seconds * 100)):
            self.world.clock.advance(10 * MS)
            effects += self.core.tick()
        return effects

    def test_stop_announces_leaving_before_anything_ends(self):
        """Guards against callers and requests that are routed to a VM that is about to exit."""
        effects = self.core.handle(StopRequested())
        self.assertTrue(is_draining(self.world))
        self.assertIn(StopAccepting, types_of(effects))
        self.assertIn(ReleaseHolders, types_of(effects))
        sent = [effect for effect in effects if isinstance(effect, SendHeartbeat)]
        self.assertTrue(sent)
        self.assertIs(sent[0].updates[0].state, VmState.LEAVING)
        self.assertNotIn("me", live_vms(self.world))
        self.assertEqual(self.core.handle(StopRequested()), [])

    def test_nothing_in_flight_is_cut_off(self):
        """Guards against an exit while a request is in flight, however long it takes."""
        for is_rule_on in (True, False):
            self.setUp()
            if not is_rule_on:
                self.world.rules.switch_off("finish_in_flight")
            self.core.handle(StopRequested())
            self.core.handle(RequestsInFlight(1, 1))
            self.assertEqual(Exit in types_of(self.run_until(60)), not is_rule_on)
        self.setUp()
        self.core.handle(StopRequested())
        self.core.handle(RequestsInFlight(1, 1))
        self.run_until(40)
        self.core.handle(RequestsInFlight(0, 0))
        effects = self.run_until(0.1)
        self.assertEqual(types_of(effects).count(Exit), 1)
        own_row = self.world.tables(MembershipTables).vms.by_id["me"]
        self.assertIs(own_row.state, VmState.LEFT)

    def test_exit_waits_for_the_first_report(self):
        """Guards against an exit before the shell has reported the requests in flight."""
        self.core.handle(StopRequested())
        self.assertNotIn(Exit, types_of(self.run_until(31)))

    def test_idle_sessions_are_closed_over_time_and_others_within_the_timeout(self):
        """Guards against thousands of callers that reconnect at the same moment."""
        self.core.handle(StopRequested())
        self.core.handle(RequestsInFlight(0, 1001))
        for number in range(1000):
            self.core.handle(SessionIdle(number))
        closed_early = types_of(self.run_until(0.1)).count(CloseSession)
        self.assertLess(closed_early, 50)
        self.assertEqual(closed_early + types_of(self.run_until(5)).count(CloseSession), 1000)
        self.core.handle(RequestsInFlight(0, 1))
        effects = self.run_until(25)
        self.assertIn(EndIdleTransactions, types_of(effects))
        self.assertIn(Exit, types_of(effects))

    def test_mark_of_the_platform_starts_a_stop(self):
        """Guards against a VM that the platform removes while requests are in flight."""
        me = ListedVm(VmId("me"), "a", "r", "127.0.0.1", 1, leaving=True)
        self.core.handle(VmsListed((me,)))
        self.assertIn(StopAccepting, types_of(self.core.tick()))
        self.assertTrue(is_draining(self.world))


class LeavingMemberTest(unittest.TestCase):
    def test_leaving_member_takes_no_new_work_within_3_s(self):
        """Guards against new work for an upstream that is leaving."""
        core = build_core()
        world = core.world
        core.tick()
        world.text = build_sample_text(leaving=("m1",))
        core.tick()
        self.assertTrue(accepts_new_work(world, M1))
        world.clock.advance(2 * S)
        world.text = build_sample_text(leaving=("m1",))
        core.tick()
        world.clock.advance(990 * MS)
        self.assertFalse(accepts_new_work(world, M1))
        self.assertTrue(accepts_new_work(world, M2))
        world.text = build_sample_text()
        self.assertTrue(accepts_new_work(world, M1))


if __name__ == "__main__":
    unittest.main()
