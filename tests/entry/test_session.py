"""Caller sessions over the line protocol, with routing to stand-in members."""

import unittest
from datetime import timedelta
from unittest import mock

import gevent
import gevent.socket
from bramleyrill_core import Rank
from bramleyrill_core.catalog import Catalog, Consistency, DatabaseRoute, ServiceEntry
from bramleyrill_core.placement._repeats import MIN_SAMPLES
from bramleyrill_entry import _router, _session
from bramleyrill_entry._attempt import FIRST_ATTEMPT_TARGET_SHARE
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._load_reports import LoadReports
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._router import Router
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._session import CallerSession
from bramleyrill_standins.prepared import LineGroup

from tests.entry.builders import SERVICE, make_state

TWO_SECONDS = timedelta(seconds=2)


class LocalNet:
    """Stand-in for the links to other VMs, without any other VM."""

    def __init__(self, state, schedulers):
        self.state = state
        self.services = {MemberSchedulers: schedulers}


class SessionTest(unittest.TestCase):
    consistency = Consistency.PRIMARY

    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1", "m2"])
        self.addCleanup(self.group.close)
        self.state = make_state(self.group)
        self.put_route()
        self.schedulers = MemberSchedulers(self.state)
        self.addCleanup(self.schedulers.close)
        metrics = EntryMetrics()
        executor = Executor(LocalNet(self.state, self.schedulers), self.schedulers)
        loads = LoadReports(self.state, self.schedulers)
        self.router = Router(self.state, executor, metrics, loads)
        self.metrics = metrics

    def put_route(self, database="pieces-db", idle=TWO_SECONDS, target=TWO_SECONDS):
        limit = timedelta(seconds=1)
        route = DatabaseRoute(
            database, SERVICE, self.consistency, Rank.URGENT, limit, target, TWO_SECONDS
        )
        services = {SERVICE: ServiceEntry(SERVICE, 16)}
        version = self.state.catalog.version + 1
        self.state.catalog = Catalog(version, {database: route}, services, idle)

    def connect(self, database="pieces-db"):
        listener = gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        caller_side = gevent.socket.create_connection(listener.getsockname())
        proxy_side, _ = listener.accept()
        listener.close()
        self.addCleanup(caller_side.close)
        caller_side.settimeout(5)
        self.session = CallerSession(proxy_side, self.state, self.router, self.metrics)
        self.serving = gevent.spawn(self.session.serve)
        caller = Caller(caller_side)
        caller.send(f"OPEN {database}")
        return caller


class Caller:
    def __init__(self, sock):
        self.sock = sock
        self.reader = sock.makefile("rb")

    def send(self, read_line):
        self.sock.sendall(read_line.encode() + b"\r\n")

    def read_line(self):
        return self.reader.readline().decode().rstrip("\r\n")

    def query(self, text, statement_id="q1"):
        """Send a statement and return the lines of its answer."""
        self.send(f"QUERY {statement_id} {text}")
        answer_lines = [self.read_line()]
        while not answer_lines[-1].startswith("READY") and answer_lines[-1]:
            answer_lines.append(self.read_line())
        return answer_lines


class ProtocolTest(SessionTest):
    def test_write_and_read(self):
        caller = self.connect()
        self.assertEqual(caller.read_line(), "READY I -")
        self.assertTrue(caller.query("WRITE a 5")[0].startswith("COMPLETE s"))
        self.assertEqual(caller.query("READ a")[0], "ROW 5")

    def test_unknown_database_is_refused_and_closed(self):
        caller = self.connect("nowhere")
        self.assertTrue(caller.read_line().startswith("ERROR NODB"))
        self.assertEqual(caller.read_line(), "")

    def test_process_without_configuration_waits_for_it(self):
        """Callers of a process that had just started got "unknown database"."""
        catalog, self.state.catalog = self.state.catalog, Catalog(0)
        caller = self.connect()
        gevent.sleep(0.02)
        self.assertTrue(self.state.apply_catalog(catalog, {}, "test"))
        self.assertEqual(caller.read_line(), "READY I -")

    def test_malformed_statement_leaves_the_session_open(self):
        caller = self.connect()
        caller.read_line()
        self.assertTrue(caller.query("SYNCPOS 9.9 READ a")[0].startswith("ERROR MALFORMED"))
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE"))

    def test_unknown_message_ends_the_session(self):
        caller = self.connect()
        caller.read_line()
        caller.send("HELLO")
        self.assertTrue(caller.read_line().startswith("ERROR MALFORMED"))
        self.assertEqual(caller.read_line(), "")

    def test_route_that_was_removed_applies_from_the_next_statement(self):
        caller = self.connect()
        caller.read_line()
        self.put_route("other-db")
        self.assertTrue(caller.query("READ a")[0].startswith("ERROR NODB"))

    def test_prepared_name_that_is_unknown(self):
        caller = self.connect()
        caller.read_line()
        self.assertTrue(caller.query("EXECUTE s1 a")[0].startswith("ERROR NOSTMT"))
        caller.query("PREPARE s1 WRITE shape")
        self.assertTrue(caller.query("EXECUTE s1 a 7")[0].startswith("COMPLETE s"))
        self.assertEqual(caller.query("READ a")[0], "ROW 7")


class PlannedStopTest(SessionTest):
    def setUp(self):
        super().setUp()
        self.enterContext(mock.patch.object(_session, "QUIET_TIME", timedelta()))

    def test_session_that_was_just_opened_is_left_to_its_first_request(self):
        """In a domain with one VM callers still come during its stop; their first request, on its
        way when the session was closed, got no answer.
        """
        with mock.patch.object(_session, "QUIET_TIME", TWO_SECONDS):
            caller = self.connect()
            caller.read_line()
            self.state.closing_sessions = True
            self.assertFalse(self.session.close_if_idle())
            self.assertTrue(caller.query("WRITE a 5")[0].startswith("COMPLETE s"))
            self.assertEqual(caller.read_line(), "")

    def test_idle_session_is_closed(self):
        caller = self.connect()
        caller.read_line()
        gevent.sleep(0.01)
        self.assertTrue(self.session.close_if_idle())
        self.assertEqual(caller.read_line(), "")

    def test_session_with_a_request_that_was_not_read_yet_stays(self):
        """A planned stop must not cut off a request that has just arrived."""
        caller = self.connect()
        caller.read_line()
        caller.send("QUERY q1 WRITE a 5")
        self.assertFalse(self.session.close_if_idle())
        self.assertTrue(caller.read_line().startswith("COMPLETE s"))

    def test_request_that_crosses_the_close_gets_no_reset(self):
        """gevent closes a socket that is being read only later, and what arrived until then reset
        the connection of a caller that waited for its answer.
        """
        caller = self.connect()
        caller.read_line()
        gevent.sleep(0.01)

        def arrive_after_check():
            caller.send("QUERY q1 WRITE a 5")
            return False

        with mock.patch.object(self.session, "_has_input", arrive_after_check):
            self.assertTrue(self.session.close_if_idle())
        self.assertEqual(caller.read_line(), "")
        self.serving.join(5)
        self.assertTrue(self.serving.ready())
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_closed_session_ends_if_its_caller_keeps_the_connection(self):
        """A planned stop waits for its sessions, and some callers never read the end of one."""
        caller = self.connect()
        caller.read_line()
        with mock.patch.object(_session, "CLOSE_LINGER", timedelta(milliseconds=20)):
            self.session.close_if_idle()
            self.serving.join(5)
        self.assertTrue(self.serving.ready())

    def test_busy_session_ends_after_its_answer(self):
        """The exit cut off the last request of a caller that sends requests back to back."""
        caller = self.connect()
        caller.read_line()
        self.state.closing_sessions = True
        self.assertTrue(caller.query("WRITE a 5")[0].startswith("COMPLETE s"))
        self.assertEqual(caller.read_line(), "")

    def test_session_in_a_transaction_stays_until_it_is_ended(self):
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN")
        caller.query("WRITE a 5")
        self.assertFalse(self.session.close_if_idle())
        self.session.abort_transaction("shutting down")
        answer = caller.query("COMMIT")
        self.assertTrue(answer[0].startswith("ERROR ABORTED shutting down"))
        self.assertEqual(self.group.primary.log, [])


class TransactionTest(SessionTest):
    def test_commit(self):
        caller = self.connect()
        caller.read_line()
        self.assertEqual(caller.query("BEGIN"), ["COMPLETE -", "READY T -"])
        self.assertEqual(caller.query("WRITE a 5")[-1].split()[1], "T")
        self.assertEqual(self.group.primary.log, [])
        self.assertTrue(caller.query("COMMIT")[0].startswith("COMPLETE s"))
        self.assertEqual(self.group.primary.log[0].data, {"a": "5"})

    def test_transaction_of_a_lost_caller_is_rolled_back(self):
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN")
        caller.query("WRITE a 5")
        caller.reader.close()
        caller.sock.close()
        self.serving.join(timeout=5)
        gevent.sleep(0.02)
        self.assertEqual(
            (self.group.primary.log, self.schedulers.count_open_transactions()), ([], 0)
        )

    def test_idle_transaction_is_ended_and_reported(self):
        """Transactions of idle callers hold connections that others wait for."""
        self.put_route(idle=timedelta(milliseconds=30))
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN")
        caller.query("WRITE a 5")
        gevent.sleep(0.1)
        self.assertEqual(self.schedulers.count_open_transactions(), 0)
        self.assertTrue(caller.query("COMMIT")[0].startswith("ERROR ABORTED"))
        self.assertEqual(self.group.primary.log, [])

    def test_lost_answer_to_a_commit_is_an_unknown_outcome(self):
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN")
        caller.query("WRITE a 5")
        self.group.primary.lose_answers = True
        self.assertTrue(caller.query("COMMIT")[0].startswith("ERROR INDOUBT"))

    def test_lost_answer_inside_a_transaction_rolls_it_back(self):
        """Without a COMMIT nothing is kept, so the caller may retry at once."""
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN")
        self.group.primary.lose_answers = True
        answer = caller.query("WRITE a 5")
        self.assertTrue(answer[0].startswith("ERROR ABORTED"))
        self.assertEqual(answer[-1], "READY E -")
        self.assertEqual(caller.query("ROLLBACK")[-1], "READY I -")

    def test_failed_transaction_accepts_only_its_end(self):
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN")
        caller.query("EXECUTE unknown a")
        self.assertTrue(caller.query("READ a")[0].startswith("ERROR MALFORMED"))
        self.assertTrue(caller.query("COMMIT")[0].startswith("ERROR ABORTED"))
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE"))


class LostAnswerTest(SessionTest):
    def test_write_is_not_repeated(self):
        caller = self.connect()
        caller.read_line()
        self.group.primary.lose_answers = True
        self.assertTrue(caller.query("WRITE a 5")[0].startswith("ERROR INDOUBT"))
        self.assertEqual(len(self.group.runs_of("q1")), 1)

    def test_read_is_repeated(self):
        caller = self.connect()
        caller.read_line()
        self.group.primary.lose_answers = True
        gevent.spawn_later(0.05, setattr, self.group.primary, "lose_answers", False)
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE s"))

    def test_read_that_ran_is_not_reported_as_not_run(self):
        """A read ran and its answer was lost; its retry was refused and the caller got BUSY."""
        caller = self.connect()
        caller.read_line()
        self.group.primary.lose_answers = True
        with mock.patch.object(_router, "ROUTING_TIMEOUT", timedelta(milliseconds=200)):
            gevent.spawn_later(0.05, self.group.primary.stop)
            answer = caller.query("READ a")
        self.assertTrue(answer[0].startswith("ERROR FAILED"), answer)

    def test_write_follows_the_primary(self):
        """A statement refused by a replaced primary did not run, and is sent to the new one."""
        caller = self.connect()
        caller.read_line()
        caller.query("WRITE a 5")
        self.group.promote("m2")
        gevent.spawn_later(0.1, self.state.record_appointment, SERVICE, "m2", "test")
        self.assertTrue(caller.query("WRITE b 6", "q2")[0].startswith("COMPLETE s"))
        self.assertEqual([run.member for run in self.group.runs_of("q2")][-1], "m2")


class FailedReadTest(SessionTest):
    """Some members pass their health check but fail or delay part of their statements."""

    def test_read_that_the_primary_fails_is_repeated(self):
        caller = self.connect()
        caller.read_line()
        self.group.primary.failing = True
        gevent.spawn_later(0.02, setattr, self.group.primary, "failing", False)
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE s"))

    def test_read_that_keeps_failing_gets_the_answer_of_the_member(self):
        caller = self.connect()
        caller.read_line()
        self.group.primary.failing = True
        self.assertTrue(caller.query("READ a")[0].startswith("ERROR FAILED"))
        self.assertEqual(len(self.group.runs_of("q1")), _router.MAX_FAILED_READS)

    def test_failed_write_is_not_repeated(self):
        """A member that answers FAILED to a write may have applied it."""
        caller = self.connect()
        caller.read_line()
        self.group.primary.failing_writes = True
        self.assertTrue(caller.query("WRITE a 5")[0].startswith("ERROR FAILED"))
        self.assertEqual(len(self.group.runs_of("q1")), 1)

    def test_first_read_of_a_transaction_is_repeated(self):
        """Nothing ran before in the transaction, so the router can retry instead of the caller."""
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN")
        self.group.primary.failing = True
        gevent.spawn_later(0.02, setattr, self.group.primary, "failing", False)
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE s"))
        self.assertEqual(caller.query("WRITE a 5", "q2")[-1][:7], "READY T")


class SlowPrimaryTest(SessionTest):
    def test_transaction_begins_at_a_primary_that_takes_most_of_the_limit(self):
        """No other attempt would follow, so an early timeout would only lose the transaction."""
        self.put_route(target=timedelta(milliseconds=300))
        self.group.primary.statement_time = timedelta(milliseconds=250)
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN")
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE s"))


class SilentMemberTest(SessionTest):
    consistency = Consistency.BOUNDED

    def test_read_at_a_silent_member_is_on_time_at_another(self):
        """The statement timeout exceeds the latency target, so a read must not wait for it."""
        target = timedelta(milliseconds=600)
        self.put_route(target=target)
        self.assertIsNone(self.schedulers.scheduler_for("m1").prove())
        caller = self.connect()
        caller.read_line()
        caller.query("READ a", "q0")
        self.group.members_by_name["m2"].silent = True
        asked_at = self.state.now()
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE s"))
        self.assertLess(self.state.now() - asked_at, target)

    def test_read_that_outlives_its_kind_is_repeated_once_elsewhere(self):
        """A read waited at a slow member for most of its target although others were free."""
        self.assertIsNone(self.schedulers.scheduler_for("m1").prove())
        caller = self.connect()
        caller.read_line()
        for number in range(MIN_SAMPLES):
            caller.query("READ a", f"s{number}")
        self.group.members_by_name["m2"].silent = True
        asked_at = self.state.now()
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE s"))
        first_limit = FIRST_ATTEMPT_TARGET_SHARE * TWO_SECONDS
        self.assertLess(self.state.now() - asked_at, first_limit)
        self.assertEqual([run.member for run in self.group.runs_of("q1")], ["m1"])
        self.group.members_by_name["m2"].silent = False
        self.assertTrue(caller.query("READ a", "q2")[0].startswith("COMPLETE s"))


class OwnWritesTest(SessionTest):
    consistency = Consistency.OWN_WRITES

    def test_own_write_is_read_although_replicas_lag(self):
        self.group.members_by_name["m2"].lag = 5 * TWO_SECONDS
        caller = self.connect()
        caller.read_line()
        caller.query("WRITE a 5")
        self.assertEqual(caller.query("READ a")[0], "ROW 5")

    def test_after_an_unknown_outcome_only_the_primary_is_read(self):
        """The write may have been committed at an unknown position."""
        caller = self.connect()
        caller.read_line()
        self.schedulers.scheduler_for("m1").prove()
        self.group.members_by_name["m2"].lag = 5 * TWO_SECONDS
        self.group.primary.lose_answers = True
        self.assertTrue(caller.query("WRITE a 5")[0].startswith("ERROR INDOUBT"))
        self.group.primary.lose_answers = False
        self.assertEqual(caller.query("READ a", "q2")[0], "ROW 5")

    def test_position_discarded_by_a_promotion_does_not_block_reads(self):
        caller = self.connect()
        caller.read_line()
        self.group.members_by_name["m2"].lag = 5 * TWO_SECONDS
        caller.query("WRITE a 5")
        caller.query("WRITE b 5")
        self.group.promote("m2")
        self.state.record_appointment(SERVICE, "m2", "test")
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE s"))


class BoundedTest(SessionTest):
    consistency = Consistency.BOUNDED

    def test_replica_serves_the_read(self):
        self.assertIsNone(self.schedulers.scheduler_for("m1").prove())
        caller = self.connect()
        caller.read_line()
        caller.query("READ a")
        self.assertEqual([run.member for run in self.group.runs_of("q1")], ["m2"])

    def test_read_that_a_member_fails_is_served_by_another(self):
        """Some members pass their health check but fail part of their statements."""
        self.assertIsNone(self.schedulers.scheduler_for("m1").prove())
        self.group.members_by_name["m2"].failing = True
        caller = self.connect()
        caller.read_line()
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE s"))
        self.assertEqual([run.member for run in self.group.runs_of("q1")], ["m2", "m1"])

    def test_read_only_transaction_that_a_member_fails_begins_at_another(self):
        self.assertIsNone(self.schedulers.scheduler_for("m1").prove())
        self.group.members_by_name["m2"].failing = True
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN READ")
        self.assertTrue(caller.query("READ a")[0].startswith("COMPLETE s"))
        self.assertTrue(caller.query("COMMIT", "q2")[0].startswith("COMPLETE s"))

    def test_read_only_transaction_runs_at_a_replica(self):
        self.assertIsNone(self.schedulers.scheduler_for("m1").prove())
        caller = self.connect()
        caller.read_line()
        caller.query("BEGIN READ")
        caller.query("READ a")
        self.assertTrue(caller.query("COMMIT")[0].startswith("COMPLETE s"))
        self.assertEqual([run.member for run in self.group.runs_of("q1")], ["m2", "m2"])
