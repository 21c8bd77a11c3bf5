"""The pool on the connection decision: owner, limit, waiting leases, refusals and log lines."""

import contextlib
import unittest
from datetime import timedelta
from unittest import mock

import gevent
from attrs import evolve
from bramleyrill_base import SystemClock
from bramleyrill_core import MemberRole
from bramleyrill_core.catalog import MemberEntry, MemberState
from bramleyrill_core.connections import _limit
from bramleyrill_core.statements import Answer, AnswerCode, ConnectionState
from bramleyrill_entry import _pool
from bramleyrill_entry._pool import NoFreeConnectionError, UpstreamPool
from bramleyrill_entry._run_request import Opens, RunProblem
from bramleyrill_entry._upstream import RefusedByMemberError, UpstreamError
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.entry.builders import request
from tests.entry.test_scheduler import SchedulerTest

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
LIMIT = 3
TEAMS = ("a", "b", "c", "d")
MEMBER = MemberEntry(
    "m1", "pieces", ("127.0.0.1", 1), "north-a", 4, MemberState.READY, MemberRole.PRIMARY
)
FULL = RefusedByMemberError(Answer(AnswerCode.TOO_MANY_CONNECTIONS))

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("lease"), st.sampled_from((*TEAMS, None))),
        st.tuples(st.sampled_from(["release", "discard", "interrupt"]), st.integers(0, 9)),
        st.tuples(st.just("fail"), st.sampled_from([FULL, UpstreamError("silent")])),
    ),
    max_size=30,
)


class FakeConnection:
    def __init__(self, team, clock):
        self.team, self.state = team, ConnectionState()
        self.in_transaction = self.closed = False
        self.last_answer_at = clock.monotonic()

    def close(self):
        self.closed = True


class FakeMember:
    """Accepts connections unless the next dials are to fail; counts those that are open."""

    def __init__(self):
        self.opened, self.failures, self.most_open = [], [], 0

    def dial(self, _member, _timeout, clock, team=""):
        gevent.sleep(0)
        if self.failures:
            raise self.failures.pop()
        self.opened.append(FakeConnection(team, clock))
        open_now = sum(not connection.closed for connection in self.opened)
        self.most_open = max(self.most_open, open_now)
        return self.opened[-1]


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.start()

    def start(self):
        self.member = FakeMember()
        self.pool = UpstreamPool(MEMBER, LIMIT, SystemClock())
        self.leased, self.jobs = [], []
        patches = (
            mock.patch.object(_pool.UpstreamConnection, "dial", self.member.dial),
            mock.patch.object(_limit, "INITIAL_BACKOFF", MS),
            mock.patch.object(_limit, "MAX_BACKOFF", MS),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)

    def lease(self, team, timeout=60 * SECOND):
        connection = self.pool.lease(timeout, team=team)
        self.assertIn(team, (None, connection.team))
        self.assertNotIn(connection, self.leased)
        self.leased.append(connection)

    def try_lease(self, team):
        """Lease a connection, or fail because the member cannot be reached."""
        with contextlib.suppress(UpstreamError):
            self.lease(team)

    def step(self, action, value):
        if action == "lease":
            self.jobs.append(gevent.spawn(self.try_lease, value))
        elif action == "fail":
            self.member.failures.append(value)
        elif action == "interrupt" and self.jobs:
            gevent.kill(self.jobs[value % len(self.jobs)])
        elif action in ("release", "discard") and self.leased:
            connection = self.leased.pop(value % len(self.leased))
            getattr(self.pool, action)(connection)
        gevent.sleep(0)

    def finish(self):
        """Release all connections until no lease waits any more."""
        self.member.failures.clear()
        with gevent.Timeout(30):
            while not all(job.ready() for job in self.jobs):
                self.step("release", 0)
                gevent.sleep(0.001)

    @settings(derandomize=True, deadline=None, max_examples=60, database=None)
    @given(STEPS)
    def test_leases_keep_to_owner_and_limit_and_are_never_lost(self, steps):
        """A lease whose dial failed, or whose connection was closed, waited until its timeout."""
        self.start()
        for action, value in steps:
            self.step(action, value)
        self.finish()
        for job in self.jobs:
            self.assertIsNone(job.exception)
        self.assertLessEqual(self.member.most_open, LIMIT)
        for connection in self.leased:
            self.pool.release(connection)
        self.assertEqual(self.pool.allocator.waiting, 0)
        self.assertEqual(len(self.pool.allocator.idle()), self.pool.allocator.open_count)
        self.assertEqual(
            self.pool.allocator.open_count,
            sum(not connection.closed for connection in self.member.opened),
        )
        self.pool.close()
        self.doCleanups()

    def test_lease_that_finds_all_in_use_is_told_so(self):
        """It counted as an unreachable member, which then was avoided."""
        for team in TEAMS[:LIMIT]:
            self.lease(team)
        with self.assertRaises(NoFreeConnectionError):
            self.lease("d", MS)

    def test_lease_behind_a_silent_member_is_not_told_that_all_are_in_use(self):
        self.lease("a")
        self.member.failures += [UpstreamError("silent")] * 1000
        with self.assertRaises(UpstreamError) as caught:
            self.lease("b", 20 * MS)
        self.assertNotIsInstance(caught.exception, NoFreeConnectionError)

    def test_closed_pool_fails_waiting_leases_and_opens_nothing(self):
        for team in TEAMS[:LIMIT]:
            self.lease(team)
        job = gevent.spawn(self.assertRaises, UpstreamError, self.pool.lease, SECOND, team="d")
        gevent.sleep(0)
        self.pool.close()
        job.get()
        with self.assertRaises(UpstreamError):
            self.lease("a")
        self.assertEqual(self.pool.size, 0)

    def test_replaced_connections_are_logged_with_counts_once_a_second(self):
        """Under pressure each dial replaces a connection, and the log would fill the disk."""
        with mock.patch.object(_pool, "log_event") as log_event:
            for number in range(12):
                self.lease(TEAMS[number % len(TEAMS)])
                self.step("release", 0)
        lines = [call for call in log_event.call_args_list if "replaced" in call.args[0]]
        self.assertGreater(self.pool.allocator.counts.replaced, 1)
        self.assertEqual(len(lines), 1)


class SchedulerPoolTest(SchedulerTest):
    def test_full_pool_refuses_as_overloaded_and_runs_nothing(self):
        """The caller must learn that the statement did not run, and when to come back."""
        pool = self.schedulers.scheduler_for("m1").pool
        pool.limit = 1
        pool.lease(SECOND, team="a")
        with mock.patch("bramleyrill_entry._preparation.LEASE_TIMEOUT", MS):
            result = self.run_at("m1", "WRITE a 1", team="b")
        self.assertIs(result.problem, RunProblem.OVERLOADED)
        self.assertGreater(result.retry_after, timedelta())
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_resting_transaction_gives_way_to_a_blocked_statement(self):
        """Callers that rest inside transactions kept all others from the member."""
        scheduler = self.schedulers.scheduler_for("m1")
        scheduler.pool.limit = 1
        self.open_transaction("m1", "WRITE a 1", team="a")
        job = gevent.spawn(self.schedulers.run, "vm1", request("WRITE b 2", "m1", "q2", team="b"))
        while not scheduler.pool.allocator.waiting:
            gevent.sleep(0)
        allocator = "bramleyrill_core.connections._allocator"
        no_rest = evolve(self.state.catalog, transaction_idle_timeout=timedelta())
        with (
            mock.patch.object(self.state, "catalog", no_rest),
            mock.patch(f"{allocator}.MIN_BLOCKED", timedelta()),
        ):
            while not job.ready():
                scheduler.pool._carry_out(scheduler.pool.allocator.plan())
                scheduler.tick()
                gevent.sleep(0.001)
        self.assertTrue(job.value.answer.succeeded)
        result = self.run_at("m1", "COMMIT", transaction_id=7, team="a")
        self.assertIs(result.problem, RunProblem.NO_EXCHANGE)
        self.assertEqual([entry.data for entry in self.group.primary.log], [{"b": "2"}])

    def test_transaction_in_use_is_not_reclaimed(self):
        opened = self.open_transaction("m1", "READ a", opens=Opens.READ_WRITE, team="a")
        self.assertTrue(opened.transaction_open)
        self.schedulers.tick()
        self.assertTrue(self.run_at("m1", "COMMIT", transaction_id=7).answer.succeeded)
