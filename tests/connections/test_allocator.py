"""The connection decision: owner, waiting or dialing, closing for others, limits, reclaiming."""

import unittest
from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core.connections import Assign, Close, ConnectionAllocator, Dial, Use
from bramleyrill_core.connections._limit import INITIAL_HOLD, RECOVERY_INTERVAL, LearnedLimit

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
NOW = timedelta()


class AllocatorTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.allocator = self.allocator_with()

    def allocator_with(self, limit=3, slots=4, policy="least_recently_used"):
        return ConnectionAllocator(limit, slots, self.clock, policy)

    def lease(self, team, key):
        """Lease a new connection for a team."""
        self.assertIn(Dial(team, NOW), self.allocator.request(f"for-{key}", team))
        actions = self.allocator.record_dialed(team, key, 10 * MS)
        self.assertIn(Assign(f"for-{key}", key), actions)

    def add_idle(self, team, key):
        self.lease(team, key)
        self.assertEqual(self.allocator.release(key), [])
        self.clock.advance(MS)


class OwnerTest(AllocatorTest):
    def test_idle_connection_serves_its_own_team_only(self):
        """A statement ran on the connection of another team."""
        self.add_idle("a", "a1")
        self.assertEqual(self.allocator.request("w", "b"), [Dial("b", NOW)])
        self.assertEqual(self.allocator.request("v", "a"), [Assign("v", "a1")])

    def test_released_connection_passes_by_waiters_of_other_teams(self):
        self.lease("a", "a1")
        self.allocator.request("b-waits", "b")
        self.assertEqual(self.allocator.request("a-waits", "a"), [])
        self.assertEqual(self.allocator.release("a1"), [Assign("a-waits", "a1")])

    def test_work_of_the_proxy_uses_any_connection(self):
        """Each check of the primary would dial a connection that no team can use."""
        self.add_idle("a", "a1")
        self.assertEqual(self.allocator.request("check", None), [Assign("check", "a1")])

    def test_cheapest_own_connection_is_chosen(self):
        for waiter in ("w1", "w2"):
            self.assertEqual(self.allocator.request(waiter, "a"), [Dial("a", NOW)])
        for key in ("a1", "a2"):
            self.allocator.record_dialed("a", key, MS)
        for key in ("a1", "a2"):
            self.allocator.release(key)
        actions = self.allocator.request("w", "a", lambda key: key != "a1")
        self.assertEqual(actions, [Assign("w", "a1")])


class DialTest(AllocatorTest):
    def test_warm_connection_is_given_while_all_dials_are_taken(self):
        """A statement must not wait behind the dials of other teams if its team has one idle."""
        self.add_idle("a", "a1")
        self.allocator.request("w1", "b")
        self.allocator.request("w2", "c")
        self.assertEqual(self.allocator.dial_count, 2)
        self.assertEqual(self.allocator.request("w3", "a"), [Assign("w3", "a1")])

    def test_dials_at_once_are_limited_by_the_slots(self):
        """Dials that take all slots of a member stop its statements."""
        self.allocator = self.allocator_with(limit=20, slots=6)
        actions = [self.allocator.request(team, team) for team in "abcdef"]
        self.assertEqual(sum(map(len, actions)), 3)

    def test_connection_in_use_is_awaited_before_another_is_dialed(self):
        self.lease("a", "a1")
        self.assertEqual(self.allocator.request("w", "a"), [])
        self.clock.advance_to(self.allocator.dial_at("w"))
        self.assertEqual(self.allocator.plan(), [Dial("a", NOW)])

    def test_only_one_statement_waits_for_each_connection_in_use(self):
        """The statements of a team whose load rises queued behind its only connection."""
        self.lease("a", "a1")
        self.assertEqual(self.allocator.request("w1", "a"), [])
        self.assertEqual(self.allocator.request("w2", "a"), [Dial("a", NOW)])

    def test_patience_counts_only_when_a_connection_must_be_closed(self):
        self.lease("a", "a1")
        self.allocator.request("w1", "a", patience=SECOND)
        self.assertLess(self.allocator.dial_at("w1"), 100 * MS)
        self.add_idle("b", "b1")
        self.lease("c", "c1")
        self.allocator.request("w2", "c", patience=SECOND)
        self.assertEqual(self.allocator.dial_at("w2") - self.clock.monotonic(), SECOND)

    def test_unused_dial_serves_the_next_statement(self):
        """Two dials for one connection: the waiter got a released one, its dial was forgotten."""
        self.lease("a", "a1")
        self.allocator.request("w1", "a")
        self.clock.advance_to(self.allocator.dial_at("w1"))
        self.allocator.plan()
        self.allocator.release("a1")
        self.assertEqual(self.allocator.request("w2", "a"), [])
        self.assertEqual(self.allocator.dial_count, 1)

    def test_failed_dials_are_delayed_and_repeated(self):
        self.allocator.request("w", "a")
        self.allocator.record_failure("a", limit_reached=False)
        self.assertEqual(self.allocator.plan(), [Dial("a", 100 * MS)])

    def test_without_teams_a_statement_dials_at_once(self):
        self.lease("", "n1")
        self.assertEqual(self.allocator.request("w", ""), [Dial("", NOW)])
        self.assertEqual(len(self.allocator.warm_up(5)), 1)


class RoomTest(AllocatorTest):
    def test_idle_connection_is_closed_for_another_team(self):
        for number in (1, 2, 3):
            self.add_idle("a" * number, f"a{number}")
        self.assertEqual(self.allocator.request("w", "b"), [Close("a1"), Dial("b", NOW)])
        self.assertEqual(self.allocator.counts.replaced, 1)

    def test_expected_reuse_keeps_the_connection_of_a_frequent_team(self):
        """The longest idle connection may be the one that is needed next."""
        self.allocator = self.allocator_with(limit=2, policy="expected_reuse")
        self.add_idle("frequent", "f1")
        for number in range(20):
            self.allocator.request(number, "frequent")
            self.allocator.release("f1")
        self.clock.advance(SECOND)
        self.add_idle("rare", "r1")
        self.assertEqual(self.allocator.request("w", "b"), [Close("r1"), Dial("b", NOW)])

    def test_lowered_limit_closes_as_many_as_needed(self):
        """A pool above its lowered limit refused all teams without an idle connection."""
        for team in "abc":
            self.add_idle(team, team)
        self.allocator.limit.configured = 1
        actions = self.allocator.request("w", "d")
        self.assertEqual(actions, [Close("a"), Close("b"), Close("c"), Dial("d", NOW)])

    def test_team_at_its_cap_gets_no_more(self):
        self.allocator = self.allocator_with(limit=5, policy="team_cap")
        self.lease("a", "a1")
        self.allocator.request("w", "a")
        self.clock.advance(SECOND)
        self.assertEqual(self.allocator.plan(), [])

    def test_last_connection_of_a_team_is_kept_under_the_floor(self):
        self.allocator = self.allocator_with(policy="team_floor")
        self.add_idle("a", "a1")
        self.lease("b", "b1")
        self.allocator.request("w", "b")
        self.clock.advance(SECOND)
        self.allocator.plan()
        self.allocator.record_dialed("b", "b2", MS)
        self.allocator.release("b1")
        self.assertEqual(self.allocator.request("v", "c"), [Close("b1"), Dial("c", NOW)])


class RefusedTogetherTest(unittest.TestCase):
    def test_refusals_of_one_moment_hold_the_limit_once(self):
        """Five dials that a full member refused together held the limit for 30 s."""
        limit = LearnedLimit(16)
        for _ in range(5):
            limit.record_refusal(10, SECOND)
        self.assertEqual(limit.value(SECOND), 10)
        self.assertGreater(limit.value(SECOND + INITIAL_HOLD), 10)


class MemberLimitTest(AllocatorTest):
    def setUp(self):
        super().setUp()
        self.lease("a", "a1")
        self.allocator.request("w", "b")
        self.allocator.record_failure("b", limit_reached=True)

    def test_refusal_lowers_the_limit_for_a_while(self):
        """Each further dial would cost the member a slot, and be refused."""
        self.assertEqual(self.allocator.plan(), [])
        self.assertTrue(self.allocator.is_blocked("w"))
        self.clock.advance(2 * SECOND)
        self.assertEqual([type(action) for action in self.allocator.plan()], [Dial])

    def test_second_refusal_holds_longer_and_the_limit_recovers(self):
        limit = self.allocator.limit
        self.clock.advance(INITIAL_HOLD)
        limit.record_refusal(1, self.clock.monotonic())
        self.clock.advance(2 * INITIAL_HOLD - MS)
        self.assertEqual(limit.value(self.clock.monotonic()), 1)
        self.clock.advance(MS + RECOVERY_INTERVAL)
        self.assertEqual(limit.value(self.clock.monotonic()), 3)

    def test_closed_connection_makes_room_below_the_lowered_limit(self):
        actions = self.allocator.release("a1")
        self.assertEqual(actions, [Close("a1"), Dial("b", 100 * MS)])


class ReclaimTest(AllocatorTest):
    def rest(self, team, key):
        self.lease(team, key)
        self.allocator.set_use(key, Use.RESTING)
        self.clock.advance(MS)

    def test_resting_transactions_are_offered_when_a_statement_is_blocked(self):
        """Transactions at rest held all connections, and the other teams waited in vain."""
        for team, key in (("a", "a1"), ("b", "b1"), ("c", "c1")):
            self.rest(team, key)
        self.clock.advance(SECOND)
        self.assertEqual(self.allocator.reclaimable(SECOND), [])
        self.allocator.request("w", "d")
        self.assertEqual(self.allocator.reclaimable(SECOND), [])
        self.clock.advance(SECOND)
        self.assertEqual(self.allocator.reclaimable(SECOND), ["a1"])

    def test_transaction_between_two_statements_is_not_offered(self):
        for team, key in (("a", "a1"), ("b", "b1"), ("c", "c1")):
            self.rest(team, key)
        self.allocator.request("w", "d")
        self.clock.advance(SECOND)
        for key in ("a1", "b1", "c1"):
            self.allocator.set_use(key, Use.TRANSACTION)
            self.allocator.set_use(key, Use.RESTING)
        self.assertEqual(self.allocator.reclaimable(SECOND), [])


class UpkeepTest(AllocatorTest):
    def test_connections_of_teams_are_kept_between_rare_statements(self):
        """A team with a statement in 30 s dialed for each of them."""
        self.add_idle("a", "a1")
        self.clock.advance(60 * SECOND)
        self.assertEqual(self.allocator.close_expired(), [])
        self.clock.advance(600 * SECOND)
        self.assertEqual(self.allocator.close_expired(), [Close("a1")])


class DrainTest(AllocatorTest):
    """A VM that leaves gives its connections up for the next holder of the member."""

    def test_idle_connections_are_closed_at_once(self):
        """They counted against the member's limit until the VM had ended."""
        self.lease("", "c1")
        self.lease("", "c2")
        self.assertEqual(self.allocator.release("c1"), [])
        self.assertEqual(self.allocator.drain(), [Close("c1")])
        self.assertEqual(self.allocator.release("c2"), [Close("c2")])
        self.assertEqual(self.allocator.open_count, 0)
        self.assertEqual(self.allocator.warm_up(2), [])

    def test_connection_goes_to_a_statement_that_waits(self):
        self.allocator = self.allocator_with(limit=1)
        self.lease("", "c1")
        self.assertEqual(self.allocator.request("late", ""), [])
        self.allocator.drain()
        self.assertEqual(self.allocator.release("c1"), [Assign("late", "c1")])
        self.assertEqual(self.allocator.release("c1"), [Close("c1")])

    def test_statement_that_still_runs_here_gets_a_connection(self):
        """A VM that alone reaches a member serves it until it ends."""
        self.allocator.drain()
        self.lease("", "c1")
        self.assertEqual(self.allocator.release("c1"), [Close("c1")])
