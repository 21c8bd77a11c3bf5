"""Member schedulers against stand-in members: proofs, transactions, connections, lost answers."""

import functools
import time
import unittest
from datetime import timedelta
from unittest import mock

import gevent
from attrs import evolve
from bramleyrill_base import ErrorKind, ManualClock, Problem
from bramleyrill_core import Mark
from bramleyrill_core.admission import Refused
from bramleyrill_core.catalog import MemberState
from bramleyrill_core.placement import VmEntry, holder_candidates
from bramleyrill_core.statements import AnswerCode, Prepared
from bramleyrill_entry import _pool, _schedulers
from bramleyrill_entry._run_request import Opens, RunProblem
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_standins.prepared import LineGroup

from tests.entry.builders import DOMAIN, SERVICE, make_state, member_entry, request, statement

MS = timedelta(milliseconds=1)
MAX_STALENESS = timedelta(seconds=2)
SECOND = timedelta(seconds=1)


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1", "m2"])
        self.addCleanup(self.group.close)
        self.state = make_state(self.group)
        self.schedulers = MemberSchedulers(self.state)
        self.addCleanup(self.schedulers.close)

    def run_at(self, member, text, statement_id="q1", **changes):
        return self.schedulers.run("vm1", request(text, member, statement_id, **changes))

    def open_transaction(self, member, text, transaction_id=7, opens=Opens.READ_WRITE, **changes):
        return self.run_at(member, text, transaction_id=transaction_id, opens=opens, **changes)


class RefusedTransactionTest(SchedulerTest):
    def test_transaction_whose_first_statement_was_refused_is_not_left_open(self):
        """Each retry left one, and they locked a member's transactions for 30 s."""
        member = self.group.members_by_name["m1"]
        member.refusing = True
        for transaction_id in range(1, 20):
            result = self.open_transaction("m1", "READ a", transaction_id)
            self.assertIs(result.answer.code, AnswerCode.BUSY)
            self.assertFalse(result.transaction_open)
        self.assertEqual(self.schedulers.count_open_transactions(), 0)
        member.refusing = False
        self.assertTrue(self.open_transaction("m1", "READ a", 20).transaction_open)

    def test_transaction_stays_open_after_a_later_statement_was_refused(self):
        """The caller decides what to do with what has run before."""
        self.open_transaction("m1", "WRITE a 1")
        member = self.group.members_by_name["m1"]
        member.refusing = True
        self.assertTrue(self.run_at("m1", "READ a", transaction_id=7).transaction_open)
        member.refusing = False
        self.assertTrue(self.run_at("m1", "COMMIT", transaction_id=7).answer.succeeded)


class LeavingTest(SchedulerTest):
    """A member that leaves gets no new work, also none that was accepted before."""

    def let_primary_leave(self):
        """Let m1 drain for longer than it gets new work."""
        self.state.members.put(member_entry(self.group, "m1", MemberState.DRAINING, revision=9))
        since = self.state.now() - _schedulers.DRAINING_PRIMARY_GRACE
        self.schedulers._draining_since["m1"] = since

    def test_request_that_waited_for_the_end_of_a_pause_is_not_sent(self):
        """First statements reached a draining primary 8.4 s after it had said so."""
        self.run_at("m1", "READ a", "q0")
        self.schedulers.scheduler_for("m1").paused_until = self.state.now() + 60 * SECOND
        waiting = gevent.spawn(self.open_transaction, "m1", "READ a", max_wait=60 * SECOND)
        gevent.sleep(0.01)
        self.let_primary_leave()
        result = waiting.get(timeout=5)
        self.assertTrue(result.problem.not_run)
        self.assertEqual(self.group.runs_of("q1"), [])

    def fill_slots(self):
        """Keep all slots of m1 in use, and leave its transaction 5 open; return the statements."""
        self.assertTrue(
            self.open_transaction("m1", "READ a", 5, statement_id="q0").transaction_open
        )
        self.group.members_by_name["m1"].statement_time = SECOND / 2
        running = [gevent.spawn(self.run_at, "m1", "READ a", f"r{n}") for n in range(3)]
        gevent.sleep(0.05)
        return running

    def test_request_that_waits_for_a_slot_is_refused(self):
        """It held its caller up until the member's transactions had ended, and was sent then."""
        running = self.fill_slots()
        waiting = gevent.spawn(self.open_transaction, "m1", "READ a", max_wait=60 * SECOND)
        gevent.sleep(0.01)
        self.let_primary_leave()
        self.schedulers.tick()
        self.assertIs(waiting.get(timeout=5).problem, RunProblem.STOPPING)
        self.assertEqual(self.group.runs_of("q1"), [])
        self.assertTrue(all(item.get(timeout=5).answer.succeeded for item in running))

    def test_open_transaction_that_waits_for_a_slot_goes_on(self):
        self.fill_slots()
        waiting = gevent.spawn(self.run_at, "m1", "READ b", transaction_id=5, max_wait=60 * SECOND)
        gevent.sleep(0.01)
        self.let_primary_leave()
        self.schedulers.tick()
        self.assertTrue(waiting.get(timeout=5).answer.succeeded)

    def run_while(self, change, text):
        """Run a statement at m1, and `change` while it waits for a connection."""
        scheduler = self.schedulers.scheduler_for("m1")

        def lease_late(*args):
            change()
            return lease(*args)

        lease = scheduler._preparation.lease
        with mock.patch.object(scheduler._preparation, "lease", lease_late):
            return self.run_at("m1", text)

    def test_request_that_waited_for_a_connection_is_not_sent(self):
        """The pool may give one out seconds after the request was admitted."""
        result = self.run_while(self.let_primary_leave, "READ a")
        self.assertIs(result.problem, RunProblem.UNREACHABLE)
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_write_that_waited_for_a_connection_is_not_sent_to_a_replaced_primary(self):
        """A replica that had just started confirmed it, and the successor did not have it."""
        replace = functools.partial(self.state.record_replacement, "m1", SECOND)
        result = self.run_while(replace, "WRITE a 1")
        self.assertIs(result.problem, RunProblem.UNREACHABLE)
        self.assertEqual(self.group.history, [])

    def test_all_waits_of_a_request_share_its_limit(self):
        """A pause and two queues took the limit each, so callers waited three times as long."""
        self.state.clock = ManualClock()
        scheduler = self.schedulers.scheduler_for("m1")
        deadlines = []

        def submit(*args):
            deadlines.append(args[3])
            self.state.clock.advance(SECOND)
            return Refused(args[0], Problem(ErrorKind.NOT_RUN_OVERLOADED))

        def pause(*_):
            self.state.clock.advance(SECOND)

        started = self.state.now()
        with (
            mock.patch.object(scheduler, "_wait_while_paused", pause),
            mock.patch.object(scheduler._transaction_admission, "submit", submit),
        ):
            self.open_transaction("m1", "READ a", max_wait=3 * SECOND)
        self.assertEqual(deadlines, [started + 3 * SECOND])


class ProofTest(SchedulerTest):
    def test_fenced_read_does_not_run_at_a_replica(self):
        """The store may still name a replaced primary, which must not serve a stale read."""
        self.assertIs(self.run_at("m2", "READ a").problem, RunProblem.NOT_PRIMARY)
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_fenced_read_proves_the_position(self):
        self.run_at("m1", "WRITE a 1", "q0")
        self.assertEqual(self.run_at("m1", "READ a").answer.rows, ["1"])
        self.assertEqual(self.state.proofs.history_of(SERVICE).newest.mark, Mark(1, 1))

    def test_commit_of_a_read_only_transaction_proves_nothing(self):
        """A replica's COMMIT counted as proof of its primary role: stale reads without a fault."""
        self.run_at("m1", "WRITE a 1", "q0")
        gevent.sleep(0.01)
        opened = self.open_transaction(
            "m2", "READ a", opens=Opens.READ_ONLY, fence=False, max_staleness=MAX_STALENESS
        )
        self.assertTrue(opened.transaction_open)
        newest = self.state.proofs.history_of(SERVICE).newest
        self.assertTrue(self.run_at("m2", "COMMIT", transaction_id=7).answer.succeeded)
        self.assertIs(self.state.proofs.history_of(SERVICE).newest, newest)
        self.assertEqual(self.state.members.primary_of(SERVICE).entry.id, "m1")

    def test_bounded_read_without_a_proof_does_not_run(self):
        result = self.run_at("m2", "READ a", fence=False, max_staleness=MAX_STALENESS)
        self.assertIs(result.problem, RunProblem.NO_PROOF)
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_replica_that_lags_behind_the_proof_refuses(self):
        self.group.members_by_name["m2"].lag = MAX_STALENESS
        self.run_at("m1", "WRITE a 1", "q0")
        result = self.run_at("m2", "READ a", fence=False, max_staleness=MAX_STALENESS)
        self.assertIs(result.answer.code, AnswerCode.TOO_STALE)

    def test_own_write_is_required_beyond_the_proof(self):
        """Read-your-writes requires the session's mark even if the staleness limit allows less."""
        self.assertIsNone(self.schedulers.scheduler_for("m1").prove())
        mark = Mark(1, 5)
        result = self.run_at("m2", "READ a", fence=False, max_staleness=MAX_STALENESS, mark=mark)
        self.assertIs(result.answer.code, AnswerCode.TOO_STALE)


class TransactionTest(SchedulerTest):
    def test_statements_of_a_transaction_share_a_connection(self):
        self.open_transaction("m1", "WRITE a 1")
        self.run_at("m1", "READ a", "other", fence=True)
        self.run_at("m1", "WRITE b 2", transaction_id=7)
        self.assertEqual(self.group.primary.log, [])
        self.assertTrue(self.run_at("m1", "COMMIT", transaction_id=7).answer.succeeded)
        self.assertEqual(self.group.primary.log[0].data, {"a": "1", "b": "2"})

    def test_ended_transaction_is_rolled_back(self):
        """The next user of the connection must not commit the transaction of a lost caller."""
        self.open_transaction("m1", "WRITE a 1")
        self.schedulers.end_transaction("vm1", 7)
        gevent.sleep(0.02)
        self.assertTrue(self.run_at("m1", "WRITE b 2").answer.succeeded)
        self.assertEqual([entry.data for entry in self.group.primary.log], [{"b": "2"}])

    def test_unknown_transaction_does_not_run(self):
        result = self.run_at("m1", "WRITE a 1", transaction_id=99)
        self.assertIs(result.problem, RunProblem.NO_EXCHANGE)
        self.assertEqual(self.group.runs, [])

    def test_transactions_of_a_lost_peer_are_rolled_back(self):
        self.schedulers.run(
            "vm2", request("WRITE a 1", "m1", transaction_id=3, opens=Opens.READ_WRITE)
        )
        self.schedulers.end_transactions("vm2")
        self.assertEqual(self.schedulers.count_open_transactions(), 0)

    def test_idle_transactions_leave_slots_to_others(self):
        """Callers pause inside transactions, and a slot held meanwhile would be wasted."""
        for transaction_id in range(1, 5):
            self.open_transaction("m1", f"WRITE a{transaction_id} 1", transaction_id=transaction_id)
        self.assertTrue(self.run_at("m1", "WRITE b 2").answer.succeeded)


class HeldElsewhereTest(SchedulerTest):
    """A VM that started first served a member in place of its holder, and kept the connections.

    The holder then met the member's connection limit until they had been idle for 20 s.
    """

    def connections_after_upkeep(self):
        self.schedulers.maintain()
        gevent.sleep(0.02)
        return self.group.members_by_name["m1"].connections

    def test_idle_connections_are_left_to_the_holder(self):
        self.run_at("m1", "WRITE a 1")
        self.state.vms.update_all(
            [VmEntry(f"vm{number}", DOMAIN, ("127.0.0.1", 1), 1) for number in range(2, 30)],
            self.state.now(),
        )
        self.assertNotEqual(holder_candidates(self.state.vms, self.row().entry)[0], "vm1")
        with mock.patch.object(_schedulers, "MAX_IDLE_TIME_ELSEWHERE", timedelta()):
            self.assertEqual(self.connections_after_upkeep(), 0)

    def test_connection_in_use_stays(self):
        self.open_transaction("m1", "WRITE a 1")
        self.state.vms.update_all(
            [VmEntry(f"vm{number}", DOMAIN, ("127.0.0.1", 1), 1) for number in range(2, 30)],
            self.state.now(),
        )
        with mock.patch.object(_schedulers, "MAX_IDLE_TIME_ELSEWHERE", timedelta()):
            self.assertEqual(self.connections_after_upkeep(), 1)
        self.assertTrue(self.run_at("m1", "COMMIT", transaction_id=7).answer.succeeded)

    def test_holder_keeps_its_connections(self):
        self.run_at("m1", "WRITE a 1")
        with mock.patch.object(_schedulers, "MAX_IDLE_TIME_ELSEWHERE", timedelta()):
            self.assertGreater(self.connections_after_upkeep(), 0)

    def row(self):
        return self.state.members.members.get("m1")


class ConnectionTest(SchedulerTest):
    def test_values_of_one_session_do_not_reach_the_next(self):
        self.run_at("m1", "WRITE a 1", values={"zone": "utc"})
        self.run_at("m1", "WRITE b 1", values={"lang": "tr"})
        connection = self.schedulers.scheduler_for("m1").pool.lease(SECOND)
        self.assertEqual(connection.state.values, {"lang": "tr"})

    def test_statement_gets_the_connection_with_the_least_setup(self):
        """Sessions with different values alternate; each change of values costs a round trip."""
        pool = self.schedulers.scheduler_for("m1").pool
        leased = [pool.lease(SECOND), pool.lease(SECOND)]
        for connection in leased:
            pool.release(connection)
        for number in range(6):
            self.run_at("m1", f"WRITE a {number}", values={"zone": "utc" if number % 2 else "cet"})
        self.assertLessEqual(self.group.primary.controls.count("SET"), 2)

    def test_refused_setup_sends_no_statement(self):
        """A statement must not run on a connection whose pipelined setup failed in part."""
        self.group.primary.refused_control = "PREPARE"
        prepared = Prepared(True, "shape")
        result = self.run_at("m1", statement("EXECUTE s1 a 5", "q1", prepared), values={"a": "b"})
        self.assertIs(result.problem, RunProblem.UNREACHABLE)
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_sessions_with_one_name_for_two_shapes_run_their_own(self):
        """Sessions may use the same name for different prepared statements."""
        for writes, expected in ((True, "WRITE"), (False, "READ")):
            prepared = Prepared(writes, "shape")
            text = statement("EXECUTE s1 a 5" if writes else "EXECUTE s1 a", expected, prepared)
            self.assertTrue(self.run_at("m1", text).answer.succeeded)
        self.assertEqual(self.group.primary.log[0].data, {"a": "5"})
        self.assertNotEqual(*(self.group.runs_of(n)[0].text.split()[1] for n in ("WRITE", "READ")))

    def test_sessions_with_similar_shapes_run_their_own(self):
        """A statement ran another session's shape, whose name at the member was the same."""
        shapes = ("lot by", "lot_by", "lot  by", "lot by ", "lot\tby", "lot%20by")
        for turn in range(2):
            for number, shape in enumerate(shapes):
                text = statement("EXECUTE s1 a 5", f"q{turn}.{number}", Prepared(True, shape))
                self.assertTrue(self.run_at("m1", text).answer.succeeded)
        for turn in range(2):
            ran = [self.group.runs_of(f"q{turn}.{n}")[0].shape for n in range(len(shapes))]
            self.assertEqual(ran, list(shapes))

    def test_statement_that_the_member_forgot_is_prepared_again(self):
        """After NOSTMT the connection's record of the statement was wrong, and must go."""
        prepared = Prepared(True, "lot by")
        text = statement("EXECUTE s1 a 5", "q1", prepared)
        pool = self.schedulers.scheduler_for("m1").pool
        connection = pool.lease(SECOND)
        connection.state.add_prepared(prepared)
        pool.release(connection)
        self.assertIs(self.run_at("m1", text).answer.code, AnswerCode.NOT_PREPARED)
        self.assertTrue(self.run_at("m1", text).answer.succeeded)

    def test_write_whose_answer_is_lost_is_not_repeated(self):
        """The write may have run, and a duplicate entry would bill a client twice."""
        self.group.primary.lose_answers = True
        self.assertIs(self.run_at("m1", "WRITE a 1").problem, RunProblem.LOST)
        self.assertEqual(len(self.group.runs_of("q1")), 1)

    def test_dead_connection_is_replaced_before_a_write(self):
        """A write on a dead connection would have an unknown outcome."""
        self.run_at("m1", "WRITE a 1", "q0")
        member = self.group.primary
        with mock.patch.object(_pool, "CHECK_AFTER_IDLE", timedelta()):
            member.silent = True
            job = gevent.spawn(self.run_at, "m1", "WRITE b 2")
            gevent.sleep(0.1)
            member.silent = False
            self.assertTrue(job.get().answer.succeeded)
        self.assertEqual(len(self.group.runs_of("q1")), 1)

    def test_member_that_refuses_connections_is_reported_at_once(self):
        """A statement that cannot be served is refused at once, not at its deadline."""
        self.group.members_by_name["m2"].stop()
        started = time.monotonic()
        result = self.run_at("m2", "READ a", max_wait=60 * SECOND)
        self.assertIs(result.problem, RunProblem.UNREACHABLE)
        self.assertLess(time.monotonic() - started, 30)

    def test_member_at_another_address_gets_a_new_scheduler(self):
        """Another service may have taken over the old address and would return wrong data."""
        self.run_at("m1", "WRITE a 1", "q0")
        scheduler = self.schedulers.scheduler_for("m1")
        other = LineGroup(SERVICE, ["m1"])
        self.addCleanup(other.close)
        entry = self.state.members.members.get("m1").entry
        moved = type(entry)(
            entry.id,
            entry.service,
            other.primary.address,
            entry.domain,
            entry.slots,
            entry.state,
            entry.role,
            incarnation=entry.incarnation + 1,
            revision=evolve(entry.revision, number=entry.revision.number + 1),
        )
        self.state.members.put(moved)
        self.assertIsNot(self.schedulers.scheduler_for("m1"), scheduler)
        self.assertTrue(self.run_at("m1", "WRITE b 1").answer.succeeded)
        self.assertEqual(len(other.runs_of("q1")), 1)
