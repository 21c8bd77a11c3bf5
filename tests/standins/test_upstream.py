"""Tests of the upstream stand-in: the behaviour that tests of the proxy rely on."""

import threading
import unittest

import psycopg
from bramleyrill_standins.processes import Group, wait_until


def connect(port: int, **options) -> psycopg.Connection:
    return psycopg.connect(
        host="127.0.0.1", port=port, user="app", dbname="d", autocommit=True, **options
    )


def sqlstate_of(function, *arguments) -> str:
    try:
        function(*arguments)
    except psycopg.Error as problem:
        return problem.sqlstate
    return ""


class GroupCase(unittest.TestCase):
    OPTIONS: tuple[str, ...] = ()

    def setUp(self):
        self.group = Group(["a", "b", "c"], *self.OPTIONS)
        self.addCleanup(self.group.stop)

    def connect(self, name, **options):
        connection = connect(self.group.ports[name], **options)
        self.addCleanup(connection.close)
        return connection

    def status(self, name):
        return self.group.state(name)["status"]

    def wait_for_position(self, name, position):
        wait_until(lambda: self.status(name)["position"] == position, f"{name} at {position}")


class ReplicationTest(GroupCase):
    def test_uncommitted_writes_are_seen_by_their_session_only(self):
        writer, other = self.connect("a"), self.connect("a")
        writer.execute("create table t (id bigint primary key, note text)")
        with writer.transaction():
            writer.execute("insert into t values (%s, %s)", (1, "x"))
            self.assertEqual(writer.execute("select * from t").fetchall(), [(1, "x")])
            self.assertEqual(other.execute("select * from t").fetchall(), [])
        self.assertEqual(other.execute("select * from t").fetchall(), [(1, "x")])

    def test_replica_waits_for_its_lag_and_refuses_writes(self):
        primary, replica = self.connect("a"), self.connect("b")
        self.group.switch("b", lag=3600)
        primary.execute("create table t (id bigint)")
        self.wait_for_position("c", 1)
        self.assertEqual(self.status("b")["position"], 0)
        self.group.switch("b", lag=0)
        self.wait_for_position("b", 1)
        self.assertEqual(sqlstate_of(replica.execute, "insert into t values (1)"), "25006")

    def test_rewind_drops_what_the_new_primary_does_not_have(self):
        old, new, third = (self.connect(name) for name in "abc")
        old.execute("create table t (id bigint)")
        for name in "bc":
            self.wait_for_position(name, 1)
        open_transaction = self.connect("a")
        open_transaction.execute("begin")
        open_transaction.execute("insert into t values (10)")
        for member in (new, third):
            member.execute("select * from group_fence(2)")
        old.execute("insert into t values (11)")
        old.execute("select * from group_fence(2)")
        self.assertEqual(sqlstate_of(open_transaction.execute, "commit"), "25006")
        self.assertEqual(sqlstate_of(old.execute, "insert into t values (12)"), "25006")
        new.execute("select * from group_promote(2)")
        new.execute("insert into t values (13)")
        for member in (old, third):
            member.execute("select * from group_follow(2, 'b')")
        self.wait_for_position("a", 2)
        self.assertEqual(old.execute("select id from t").fetchall(), [(13,)])
        self.assertEqual(self.status("a")["history"], "[[1, 0], [2, 1]]")
        self.assertEqual(self.status("a")["last_term"], 2)

    def test_term_rules(self):
        member = self.connect("b")
        refused = "55000"
        self.assertEqual(sqlstate_of(member.execute, "select * from group_fence(1)"), refused)
        self.assertEqual(sqlstate_of(member.execute, "select * from group_promote(2)"), refused)
        first = member.execute("select * from group_fence(5)").fetchone()
        self.assertEqual(member.execute("select * from group_fence(5)").fetchone(), first)
        self.assertEqual(sqlstate_of(member.execute, "select * from group_fence(4)"), refused)
        self.assertEqual(sqlstate_of(member.execute, "select * from group_promote(4)"), refused)
        member.execute("select * from group_promote(5)")
        self.assertEqual(sqlstate_of(member.execute, "select * from group_fence(5)"), refused)
        self.assertEqual(sqlstate_of(member.execute, "select * from group_follow(5, 'c')"), refused)


class SessionTest(GroupCase):
    OPTIONS = ("--connections", "3", "--slots", "1")

    def test_connection_limit_is_refused_with_53300(self):
        connections = [self.connect("a") for _ in range(3)]
        with self.assertRaisesRegex(psycopg.OperationalError, "too many clients"):
            self.connect("a")
        connections.pop().close()
        wait_until(
            lambda: self.group.state("a")["counters"]["connections"] == 2, "a free connection"
        )
        self.connect("a")

    def test_advisory_locks_end_with_their_session(self):
        holder, other = self.connect("a"), self.connect("a")
        self.assertTrue(holder.execute("select pg_try_advisory_lock(5)").fetchone()[0])
        self.assertFalse(other.execute("select pg_try_advisory_lock_shared(5)").fetchone()[0])
        locks = other.execute("select pid, mode from pg_locks where objid = 5").fetchall()
        self.assertEqual(locks, [(holder.info.backend_pid, "ExclusiveLock")])
        other.execute("select pg_terminate_backend(%s)", (holder.info.backend_pid,))
        self.assertEqual(sqlstate_of(holder.execute, "select 1"), "57P01")
        self.assertTrue(other.execute("select pg_try_advisory_lock(5)").fetchone()[0])

    def test_last_answer_arrives_over_a_latency(self):
        self.group.switch("a", latency=0.05)
        session, other = self.connect("a"), self.connect("a")
        other.execute("select pg_terminate_backend(%s)", (session.info.backend_pid,))
        self.assertEqual(sqlstate_of(session.execute, "select 1"), "57P01")

    def test_discard_all_clears_settings_and_locks(self):
        session, other = self.connect("a"), self.connect("a")
        session.execute("set app.restorer = 'x'")
        session.execute("select pg_try_advisory_lock(6)")
        session.execute("select 1 as one", prepare=True)
        session.execute("discard all")
        prepared = b"select 1 as one"
        self.assertEqual(session.pgconn.exec_prepared(b"_pg3_0", []).error_message[:5], b"ERROR")
        self.assertEqual(session.pgconn.prepare(b"_pg3_0", prepared).error_message, b"")
        self.assertEqual(sqlstate_of(session.execute, "show app.restorer"), "42704")
        self.assertTrue(other.execute("select pg_try_advisory_lock(6)").fetchone()[0])

    def test_statements_over_the_slots_are_counted_and_queued(self):
        first, second = self.connect("a"), self.connect("a")
        running = threading.Thread(target=first.execute, args=("select pg_sleep(1)",))
        running.start()
        wait_until(lambda: self.group.state("a")["counters"]["statements_now"] == 1, "a statement")
        second.execute("select 1")
        running.join()
        counters = self.group.state("a")["counters"]
        self.assertEqual((counters["slot_violations"], counters["statements_max"]), (1, 1))

    def test_cancel_ends_the_running_statement_only(self):
        session = self.connect("a")
        codes = []
        running = threading.Thread(
            target=lambda: codes.append(sqlstate_of(session.execute, "select pg_sleep(600)"))
        )
        running.start()
        wait_until(lambda: self.group.state("a")["counters"]["statements_now"] == 1, "a statement")
        session.cancel_safe()
        running.join()
        self.assertEqual(codes, ["57014"])
        self.assertEqual(session.execute("select 1").fetchone(), (1,))


class FaultTest(GroupCase):
    OPTIONS = ("--user", "app:secret")

    def connect(self, name, **options):
        return super().connect(name, password="secret", **options)

    def test_wrong_password_is_refused(self):
        with self.assertRaisesRegex(psycopg.OperationalError, "authentication failed"):
            connect(self.group.ports["a"], password="wrong")

    def test_existing_connections_go_silent_and_new_ones_work(self):
        silent = self.connect("a", options="-c statement_timeout=0")
        self.group.switch("a", silence="existing")
        answered = threading.Event()

        def ask():
            sqlstate_of(silent.execute, "select 1")
            answered.set()

        asking = threading.Thread(target=ask)
        asking.start()
        self.assertEqual(self.connect("a").execute("select 1").fetchone(), (1,))
        self.assertFalse(answered.is_set())
        self.group.switch("a", kill=True)
        asking.join()

    def test_frozen_member_answers_late_and_completely(self):
        session = self.connect("a")
        self.group.switch("a", freeze=True)
        rows = []
        asking = threading.Thread(
            target=lambda: rows.append(session.execute("select 7").fetchone())
        )
        asking.start()
        self.assertEqual(rows, [])
        self.group.switch("a", freeze=False)
        asking.join()
        self.assertEqual(rows, [(7,)])

    def test_cut_from_one_peer_leaves_the_others(self):
        near, far = (self.connect("a", application_name=name) for name in ("vm-1", "vm-2"))
        near.execute("create table t (id bigint)")
        self.wait_for_position("b", 1)
        self.group.switch("a", cut=["vm-2", "b"])
        rows = []
        asking = threading.Thread(target=lambda: rows.append(far.execute("select 7").fetchone()))
        asking.start()
        near.execute("insert into t values (1)")
        self.wait_for_position("c", 2)
        self.assertEqual((rows, self.status("b")["position"]), ([], 1))
        self.group.switch("a", cut=[])
        asking.join()
        self.assertEqual(rows, [(7,)])
        self.wait_for_position("b", 2)

    def test_killed_member_refuses_connections_and_keeps_its_log(self):
        self.connect("a").execute("create table t (id bigint)")
        self.group.switch("a", kill=True)
        with self.assertRaises(psycopg.OperationalError):
            self.connect("a")
        self.group.switch("a", kill=False)
        self.assertEqual(self.connect("a").execute("select count(*) from t").fetchone(), (0,))
        self.assertEqual(self.status("a")["position"], 1)
