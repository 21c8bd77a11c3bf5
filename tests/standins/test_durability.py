"""Tests of the upstream stand-in: kills, timeouts and implicit transactions."""

import tempfile
import threading
import unittest

import pg8000.dbapi
import psycopg
from bramleyrill_standins.processes import Group, wait_until

from tests.standins.test_upstream import GroupCase, connect, sqlstate_of


class JournalTest(unittest.TestCase):
    """Guards against a member that loses its term or log when its process is killed."""

    def test_term_and_log_survive_sigkill(self):
        with tempfile.TemporaryDirectory() as directory:
            group = Group(["a", "b"], "--journal", f"{directory}/m", one_process=False)
            self.addCleanup(group.stop)
            with connect(group.ports["a"]) as primary:
                primary.execute("create table t (id bigint, data bytea)")
                primary.execute("insert into t values (%s, %s)", (1, b"\x00\xff"))
            wait_until(lambda: group.state("b")["status"]["position"] == 2, "b has both entries")
            with connect(group.ports["b"]) as replica:
                replica.execute("select * from group_fence(4)")
            before = {name: group.state(name)["status"] for name in "ab"}
            for name in "ab":
                group.processes[name].kill()
                group.restart(name)
            self.assertEqual({name: group.state(name)["status"] for name in "ab"}, before)
            with connect(group.ports["a"]) as primary:
                rows = primary.execute("select id, data from t").fetchall()
            self.assertEqual(rows, [(1, b"\x00\xff")])


class ImplicitTransactionTest(GroupCase):
    OPTIONS = ("--slots", "1", "--idle-in-transaction-ms", "300")

    def test_error_before_sync_rolls_the_whole_pipeline_back(self):
        session = self.connect("a")
        session.execute("create table t (id bigint primary key)")
        with self.assertRaises(psycopg.errors.UniqueViolation), session.pipeline():
            session.execute("insert into t values (1)")
            session.execute("insert into t values (1)")
        self.assertEqual(session.execute("select count(*) from t").fetchone(), (0,))

    def test_error_in_a_query_of_two_statements_rolls_both_back(self):
        session = self.connect("a")
        session.execute("create table t (id bigint primary key)")
        self.assertEqual(
            sqlstate_of(session.execute, "insert into t values (1); insert into t values (1)"),
            "23505",
        )
        self.assertEqual(session.execute("select count(*) from t").fetchone(), (0,))

    def test_rollback_to_savepoint_keeps_what_was_before(self):
        session = self.connect("a")
        session.execute("create table t (id bigint primary key)")
        with session.transaction():
            session.execute("insert into t values (1)")
            self.assertEqual(sqlstate_of(self.fail_inside, session), "23505")
            session.execute("insert into t values (2)")
        self.assertEqual(session.execute("select id from t").fetchall(), [(1,), (2,)])

    def fail_inside(self, session):
        with session.transaction():
            session.execute("insert into t values (3)")
            session.execute("insert into t values (1)")

    def test_idle_transaction_is_terminated(self):
        session = self.connect("a")
        session.execute("begin")
        wait_until(lambda: self.group.state("a")["counters"]["connections"] == 0, "the end")
        self.assertEqual(sqlstate_of(session.execute, "select 1"), "25P03")

    def test_session_ended_in_the_queue_for_a_slot_does_not_write(self):
        running, waiting, other = (self.connect("a") for _ in range(3))
        other.execute("create table t (id bigint)")
        sleeping = threading.Thread(target=running.execute, args=("select pg_sleep(1)",))
        sleeping.start()
        wait_until(lambda: self.group.state("a")["counters"]["statements_now"] == 1, "a statement")
        codes = []
        writing = threading.Thread(
            target=lambda: codes.append(sqlstate_of(waiting.execute, "insert into t values (1)"))
        )
        writing.start()
        wait_until(lambda: self.group.state("a")["counters"]["slot_violations"] == 1, "the queue")
        other.execute("select pg_terminate_backend(%s)", (waiting.info.backend_pid,))
        sleeping.join()
        writing.join()
        self.assertEqual(codes, ["57P01"])
        self.assertEqual(other.execute("select count(*) from t").fetchone(), (0,))

    def test_statement_described_before_it_runs(self):
        """pg8000 describes the prepared statement instead of a portal."""
        connection = pg8000.dbapi.connect("app", "127.0.0.1", "d", self.group.ports["a"])
        self.addCleanup(connection.close)
        cursor = connection.cursor()
        cursor.execute("create table t (id bigint, note text)")
        cursor.execute("insert into t values (%s, %s)", (7, "x"))
        cursor.execute("select id, note from t where id = %s", (7,))
        self.assertEqual(tuple(cursor.fetchone()), (7, "x"))
        connection.commit()
