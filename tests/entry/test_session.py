"""A caller's session over the line protocol, down to stand-in members."""

import unittest
from datetime import timedelta
from unittest import mock

import gevent
import gevent.socket
from bramleyrill_core import Rank
from bramleyrill_core.catalog import Catalog, Consistency, DatabaseRoute, ServiceEntry
from bramleyrill_entry import _router
from bramleyrill_entry._desks import Desks
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._router import Router
from bramleyrill_entry._session import CallerSession
from bramleyrill_standins.prepared import LineGroup

from tests.entry.places import SERVICE, make_state

AGE = timedelta(seconds=2)


class LocalNet:
    """Stands for the links to other VMs; there are none."""

    def __init__(self, state, desks):
        self.state = state
        self.services = {Desks: desks}


class SessionTest(unittest.TestCase):
    consistency = Consistency.PRIMARY

    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1", "m2"])
        self.addCleanup(self.group.close)
        self.state = make_state(self.group)
        self.put_route()
        self.desks = Desks(self.state)
        self.addCleanup(self.desks.close)
        metrics = EntryMetrics()
        executor = Executor(LocalNet(self.state, self.desks), self.desks)
        self.router = Router(self.state, executor, metrics)
        self.metrics = metrics

    def put_route(self, database="pieces-db", idle=AGE, target=AGE):
        limit = timedelta(seconds=1)
        route = DatabaseRoute(database, SERVICE, self.consistency, Rank.URGENT, limit, target, AGE)
        services = {SERVICE: ServiceEntry(SERVICE, 16)}
        version = self.state.catalog.version + 1
        self.state.catalog = Catalog(version, {database: route}, services, idle)

    def connect(self, database="pieces-db"):
        listener = gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        ours = gevent.socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
        listener.close()
        self.addCleanup(ours.close)
        ours.settimeout(5)
        self.session = CallerSession(theirs, self.state, self.router, self.metrics)
        self.job = gevent.spawn(self.session.serve)
        caller = Caller(ours)
        caller.send(f"OPEN {database}")
        return caller


class Caller:
    def __init__(self, sock):
        self.sock = sock
        self.reader = sock.makefile("rb")

    def send(self, line):
        self.sock.sendall(line.encode() + b"\r\n")

    def line(self):
        return self.reader.readline().decode().rstrip("\r\n")

    def ask(self, text, number="q1"):
        """Send a statement and return the lines of its answer."""
        self.send(f"QUERY {number} {text}")
        found = [self.line()]
        while not found[-1].startswith("READY") and found[-1]:
            found.append(self.line())
        return found


class ProtocolTest(SessionTest):
    def test_write_and_read(self):
        caller = self.connect()
        self.assertEqual(caller.line(), "READY I -")
        self.assertTrue(caller.ask("WRITE a 5")[0].startswith("COMPLETE s"))
        self.assertEqual(caller.ask("READ a")[0], "ROW 5")

    def test_unknown_database_is_refused_and_closed(self):
        caller = self.connect("nowhere")
        self.assertTrue(caller.line().startswith("ERROR NODB"))
        self.assertEqual(caller.line(), "")

    def test_process_without_configuration_does_not_deny_a_database(self):
        """Callers of a process that has just started were told that their database is unknown."""
        catalog, self.state.catalog = self.state.catalog, Catalog(0)
        caller = self.connect()
        gevent.sleep(0.02)
        self.assertTrue(self.state.adopt_catalog(catalog, {}, "test"))
        self.assertEqual(caller.line(), "READY I -")

    def test_malformed_statement_leaves_the_session_open(self):
        caller = self.connect()
        caller.line()
        self.assertTrue(caller.ask("SYNCPOS 9.9 READ a")[0].startswith("ERROR MALFORMED"))
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE"))

    def test_message_that_is_none_ends_the_session(self):
        caller = self.connect()
        caller.line()
        caller.send("HELLO")
        self.assertTrue(caller.line().startswith("ERROR MALFORMED"))
        self.assertEqual(caller.line(), "")

    def test_route_that_was_removed_applies_from_the_next_statement(self):
        caller = self.connect()
        caller.line()
        self.put_route("other-db")
        self.assertTrue(caller.ask("READ a")[0].startswith("ERROR NODB"))

    def test_prepared_name_that_is_unknown(self):
        caller = self.connect()
        caller.line()
        self.assertTrue(caller.ask("EXECUTE s1 a")[0].startswith("ERROR NOSTMT"))
        caller.ask("PREPARE s1 WRITE shape")
        self.assertTrue(caller.ask("EXECUTE s1 a 7")[0].startswith("COMPLETE s"))
        self.assertEqual(caller.ask("READ a")[0], "ROW 7")


class PlannedStopTest(SessionTest):
    def test_idle_session_is_closed(self):
        caller = self.connect()
        caller.line()
        gevent.sleep(0.01)
        self.assertTrue(self.session.close_if_idle())
        self.assertEqual(caller.line(), "")

    def test_session_with_a_request_that_was_not_read_yet_stays(self):
        """A planned stop cuts no request, also none that has just arrived."""
        caller = self.connect()
        caller.line()
        caller.send("QUERY q1 WRITE a 5")
        self.assertFalse(self.session.close_if_idle())
        self.assertTrue(caller.line().startswith("COMPLETE s"))

    def test_busy_session_ends_after_its_answer(self):
        """A caller that sends one request after the other had its last one cut by the exit."""
        caller = self.connect()
        caller.line()
        self.state.closing_sessions = True
        self.assertTrue(caller.ask("WRITE a 5")[0].startswith("COMPLETE s"))
        self.assertEqual(caller.line(), "")

    def test_session_in_a_transaction_stays_until_it_is_ended(self):
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN")
        caller.ask("WRITE a 5")
        self.assertFalse(self.session.close_if_idle())
        self.session.abort_transaction("shutting down")
        answer = caller.ask("COMMIT")
        self.assertTrue(answer[0].startswith("ERROR ABORTED shutting down"))
        self.assertEqual(self.group.primary.log, [])


class TransactionTest(SessionTest):
    def test_commit(self):
        caller = self.connect()
        caller.line()
        self.assertEqual(caller.ask("BEGIN"), ["COMPLETE -", "READY T -"])
        self.assertEqual(caller.ask("WRITE a 5")[-1].split()[1], "T")
        self.assertEqual(self.group.primary.log, [])
        self.assertTrue(caller.ask("COMMIT")[0].startswith("COMPLETE s"))
        self.assertEqual(self.group.primary.log[0].data, {"a": "5"})

    def test_caller_that_leaves_in_a_transaction_leaves_nothing(self):
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN")
        caller.ask("WRITE a 5")
        caller.reader.close()
        caller.sock.close()
        self.job.join(timeout=5)
        gevent.sleep(0.02)
        self.assertEqual((self.group.primary.log, self.desks.transactions_open()), ([], 0))

    def test_resting_transaction_is_ended_and_told_so(self):
        """Callers that rest inside transactions hold what others wait for."""
        self.put_route(idle=timedelta(milliseconds=30))
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN")
        caller.ask("WRITE a 5")
        gevent.sleep(0.1)
        self.assertEqual(self.desks.transactions_open(), 0)
        self.assertTrue(caller.ask("COMMIT")[0].startswith("ERROR ABORTED"))
        self.assertEqual(self.group.primary.log, [])

    def test_lost_answer_to_a_commit_is_no_promise(self):
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN")
        caller.ask("WRITE a 5")
        self.group.primary.lose_answers = True
        self.assertTrue(caller.ask("COMMIT")[0].startswith("ERROR INDOUBT"))

    def test_lost_answer_inside_a_transaction_is_a_promise(self):
        """Without its COMMIT nothing is kept, so the caller may try again at once."""
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN")
        self.group.primary.lose_answers = True
        answer = caller.ask("WRITE a 5")
        self.assertTrue(answer[0].startswith("ERROR ABORTED"))
        self.assertEqual(answer[-1], "READY E -")
        self.assertEqual(caller.ask("ROLLBACK")[-1], "READY I -")

    def test_failed_transaction_takes_only_its_end(self):
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN")
        caller.ask("EXECUTE unknown a")
        self.assertTrue(caller.ask("READ a")[0].startswith("ERROR MALFORMED"))
        self.assertTrue(caller.ask("COMMIT")[0].startswith("ERROR ABORTED"))
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE"))


class LostAnswerTest(SessionTest):
    def test_write_is_not_repeated(self):
        caller = self.connect()
        caller.line()
        self.group.primary.lose_answers = True
        self.assertTrue(caller.ask("WRITE a 5")[0].startswith("ERROR INDOUBT"))
        self.assertEqual(len(self.group.runs_of("q1")), 1)

    def test_read_is_repeated(self):
        caller = self.connect()
        caller.line()
        self.group.primary.lose_answers = True
        gevent.spawn_later(0.05, setattr, self.group.primary, "lose_answers", False)
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE s"))

    def test_read_that_ran_is_not_called_not_run(self):
        """A read ran and lost its answer; its repetition was refused and the caller told busy."""
        caller = self.connect()
        caller.line()
        self.group.primary.lose_answers = True
        with mock.patch.object(_router, "PATIENCE", timedelta(milliseconds=200)):
            gevent.spawn_later(0.05, self.group.primary.stop)
            answer = caller.ask("READ a")
        self.assertTrue(answer[0].startswith("ERROR FAILED"), answer)

    def test_write_follows_the_primary(self):
        """A statement refused by a replaced primary did not run and goes to the new one."""
        caller = self.connect()
        caller.line()
        caller.ask("WRITE a 5")
        self.group.promote("m2")
        gevent.spawn_later(0.1, self.state.note_appointed, SERVICE, "m2", "test")
        self.assertTrue(caller.ask("WRITE b 6", "q2")[0].startswith("COMPLETE s"))
        self.assertEqual([run.member for run in self.group.runs_of("q2")][-1], "m2")


class FailedReadTest(SessionTest):
    """Some members answer their health check and fail or hold part of what they are sent."""

    def test_read_that_the_primary_fails_is_repeated(self):
        caller = self.connect()
        caller.line()
        self.group.primary.failing = True
        gevent.spawn_later(0.02, setattr, self.group.primary, "failing", False)
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE s"))

    def test_read_that_keeps_failing_gets_the_answer_of_the_member(self):
        caller = self.connect()
        caller.line()
        self.group.primary.failing = True
        self.assertTrue(caller.ask("READ a")[0].startswith("ERROR FAILED"))
        self.assertEqual(len(self.group.runs_of("q1")), _router.FAILED_ATTEMPTS)

    def test_failed_write_is_not_repeated(self):
        """A member that fails a write may have kept it."""
        caller = self.connect()
        caller.line()
        self.group.primary.failing_writes = True
        self.assertTrue(caller.ask("WRITE a 5")[0].startswith("ERROR FAILED"))
        self.assertEqual(len(self.group.runs_of("q1")), 1)

    def test_first_read_of_a_transaction_is_repeated(self):
        """Nothing of the transaction ran before, so the caller need not begin again."""
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN")
        self.group.primary.failing = True
        gevent.spawn_later(0.02, setattr, self.group.primary, "failing", False)
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE s"))
        self.assertEqual(caller.ask("WRITE a 5", "q2")[-1][:7], "READY T")


class SlowPrimaryTest(SessionTest):
    def test_transaction_begins_at_a_primary_that_takes_most_of_the_limit(self):
        """No other attempt would follow, so giving up early only loses the transaction."""
        self.put_route(target=timedelta(milliseconds=300))
        self.group.primary.statement_time = timedelta(milliseconds=250)
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN")
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE s"))


class SilentMemberTest(SessionTest):
    consistency = Consistency.BOUNDED

    def test_read_at_a_silent_member_is_on_time_at_another(self):
        """The limit of a statement is longer than the target of a read that others can serve."""
        target = timedelta(milliseconds=600)
        self.put_route(target=target)
        self.assertIsNone(self.desks.desk_for("m1").prove())
        caller = self.connect()
        caller.line()
        caller.ask("READ a", "q0")
        self.group.members_by_name["m2"].silent = True
        asked_at = self.state.now()
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE s"))
        self.assertLess(self.state.now() - asked_at, target)


class OwnWritesTest(SessionTest):
    consistency = Consistency.OWN_WRITES

    def test_own_write_is_read_although_replicas_lag(self):
        self.group.members_by_name["m2"].lag = 5 * AGE
        caller = self.connect()
        caller.line()
        caller.ask("WRITE a 5")
        self.assertEqual(caller.ask("READ a")[0], "ROW 5")

    def test_after_an_unknown_outcome_only_the_primary_is_read(self):
        """The write may have taken effect, and no position is known that includes it."""
        caller = self.connect()
        caller.line()
        self.desks.desk_for("m1").prove()
        self.group.members_by_name["m2"].lag = 5 * AGE
        self.group.primary.lose_answers = True
        self.assertTrue(caller.ask("WRITE a 5")[0].startswith("ERROR INDOUBT"))
        self.group.primary.lose_answers = False
        self.assertEqual(caller.ask("READ a", "q2")[0], "ROW 5")

    def test_position_that_a_promotion_cut_off_does_not_block_reads(self):
        caller = self.connect()
        caller.line()
        self.group.members_by_name["m2"].lag = 5 * AGE
        caller.ask("WRITE a 5")
        caller.ask("WRITE b 5")
        self.group.promote("m2")
        self.state.note_appointed(SERVICE, "m2", "test")
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE s"))


class BoundedTest(SessionTest):
    consistency = Consistency.BOUNDED

    def test_replica_serves_the_read(self):
        self.assertIsNone(self.desks.desk_for("m1").prove())
        caller = self.connect()
        caller.line()
        caller.ask("READ a")
        self.assertEqual([run.member for run in self.group.runs_of("q1")], ["m2"])

    def test_read_that_a_member_fails_is_served_by_another(self):
        """Some members answer their health check and fail part of what they are sent."""
        self.assertIsNone(self.desks.desk_for("m1").prove())
        self.group.members_by_name["m2"].failing = True
        caller = self.connect()
        caller.line()
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE s"))
        self.assertEqual([run.member for run in self.group.runs_of("q1")], ["m2", "m1"])

    def test_read_only_transaction_that_a_member_fails_begins_at_another(self):
        self.assertIsNone(self.desks.desk_for("m1").prove())
        self.group.members_by_name["m2"].failing = True
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN READ")
        self.assertTrue(caller.ask("READ a")[0].startswith("COMPLETE s"))
        self.assertTrue(caller.ask("COMMIT", "q2")[0].startswith("COMPLETE s"))

    def test_read_only_transaction_runs_at_a_replica(self):
        self.assertIsNone(self.desks.desk_for("m1").prove())
        caller = self.connect()
        caller.line()
        caller.ask("BEGIN READ")
        caller.ask("READ a")
        self.assertTrue(caller.ask("COMMIT")[0].startswith("COMPLETE s"))
        self.assertEqual([run.member for run in self.group.runs_of("q1")], ["m2", "m2"])
