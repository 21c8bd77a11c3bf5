"""Tests of statements, transactions and session ends with real drivers."""

from datetime import timedelta

import pg8000.native
import psycopg
from bramleyrill_base import NullMetrics
from bramleyrill_core import Mark, StatementClass
from bramleyrill_core.burn import report
from bramleyrill_daemon._accounting import Accounting
from bramleyrill_daemon.front import FrontLimits

from tests.front.cases import DriverCase
from tests.front.fakes import refused_outcome, wait_for


class StatementTest(DriverCase):
    """Guards against answers that drivers do not accept."""

    def test_psycopg_simple_and_extended(self):
        with self.connect() as connection:
            self.assertEqual(connection.execute("SELECT a").fetchall(), [("1",)])
            self.assertEqual(connection.execute("SELECT a, %s", ["b"]).fetchone(), ("1",))
            cursor = connection.execute("INSERT INTO t VALUES (%s)", ["b"])
            self.assertEqual(cursor.rowcount, 1)
        # The transaction is closed after its answer was sent.
        wait_for(lambda: self.member.open_count == 0)

    def test_pg8000_with_parameters(self):
        connection = pg8000.native.Connection(
            "aylin",
            host=self.thread.host,
            port=self.thread.port,
            database="pieces",
            password="pencil",
        )
        self.addCleanup(connection.close)
        self.assertEqual(connection.run("SELECT a"), [["1"]])
        self.assertEqual(connection.run("SELECT a, :b", b="c"), [["1"]])
        prepared = connection.prepare("SELECT a, :b")
        self.assertEqual([prepared.run(b="c"), prepared.run(b="d")], [[["1"]], [["1"]]])
        prepared.close()

    def test_sql_error_leaves_the_session_usable(self):
        connection = self.connect()
        for prepare in (False, True):
            with self.assertRaises(psycopg.errors.UndefinedColumn):
                connection.execute("SELECT wrong", prepare=prepare)
        self.assertEqual(connection.execute("SELECT a").fetchone(), ("1",))

    def test_statement_that_is_too_large_gets_its_error(self):
        """The caller is still writing at the limit; closing early would lose the error."""
        connection = self.connect()
        with self.assertRaises(psycopg.OperationalError) as caught:
            connection.execute("SELECT '" + "x" * (17 << 20) + "'")
        self.assertEqual(caught.exception.sqlstate, "54000", caught.exception)

    def test_long_answer_is_complete(self):
        rows = self.connect().execute("SELECT big 3000").fetchall()
        self.assertEqual(len(rows), 3000)

    def test_prepared_statement_is_parsed_again_on_each_connection(self):
        connection = self.connect()
        for _ in range(3):
            row = connection.execute("SELECT a, %s", ["b"], prepare=True).fetchone()
            self.assertEqual(row, ("1",))
        with connection.transaction():
            for _ in range(2):
                connection.execute("SELECT a, %s", ["b"], prepare=True)
        self.assertTrue(all(r.alters_session for _, r in self.member.opened_requests))

    def test_statement_prepared_again_after_deallocate(self):
        connection = self.connect()
        with connection.transaction():
            for drop in ("DEALLOCATE ALL", 'DEALLOCATE "s"', "DEALLOCATE PREPARE s"):
                self.assertEqual(connection.pgconn.prepare(b"s", b"SELECT a").status, 1)
                self.assertEqual(connection.pgconn.exec_prepared(b"s", None).status, 2)
                connection.execute(drop)
        self.assertEqual(self.member.statement_log.count("SELECT a"), 3)
        self.assertEqual(connection.pgconn.exec_prepared(b"s", None).status, 7)

    def test_pipeline_with_flushes_and_an_error(self):
        connection = self.connect()
        with connection.pipeline() as pipeline:
            first = connection.execute("INSERT INTO t VALUES (%s)", ["b"])
            pipeline.sync()
            self.assertEqual(first.rowcount, 1)
            cursor = connection.execute("SELECT a, %s", ["b"])
            self.assertEqual(cursor.fetchone(), ("1",))
        with self.assertRaises(psycopg.Error), connection.pipeline():
            connection.execute("SELECT wrong", prepare=True)
            connection.execute("SELECT a")
        self.assertEqual(connection.execute("SELECT a").fetchone(), ("1",))

    def test_batch_longer_than_its_limit(self):
        connection = self.connect()
        with connection.pipeline():
            cursors = [connection.execute("SELECT a, %s", ["b" * 999]) for _ in range(300)]
        self.assertEqual({cursor.fetchone() for cursor in cursors}, {("1",)})


class RefusalTest(DriverCase):
    """Guards against refusals that end the session or lose their kind, and refused SQL sent on."""

    def test_unsupported_features_keep_the_session(self):
        connection = self.connect()
        for sql in ("COPY t FROM STDIN", "LISTEN x", "SET search_path = x"):
            error = self.assert_sqlstate("0A000", connection.execute, sql)
            self.assertTrue(error.diag.message_detail)
        self.assert_sqlstate("0A000", connection.execute, "NOTIFY x, %s", ["a"])
        self.assertEqual(connection.execute("SELECT a").fetchone(), ("1",))
        self.assertEqual(self.member.statement_log, ["SELECT a"])

    def test_not_run_has_its_state_and_retry_hint(self):
        connection = self.connect()
        retry = timedelta(milliseconds=250)
        self.member.scripted_outcomes = [refused_outcome("NOT_RUN_OVERLOADED", retry_after=retry)]
        error = self.assert_sqlstate("NR001", connection.execute, "INSERT 1")
        self.assertEqual(error.diag.message_hint, "retry after 250 ms")
        connection.execute("INSERT 1")
        self.assertEqual(self.member.statement_log, ["INSERT 1"])

    def test_write_without_answer_is_sent_once_and_a_read_is_retried(self):
        connection = self.connect()
        self.member.scripted_outcomes = [refused_outcome("OUTCOME_UNKNOWN")]
        self.assert_sqlstate("08007", connection.execute, "INSERT 1")
        self.assertEqual((len(self.member.opened_requests), self.member.statement_log), (1, []))
        self.member.scripted_outcomes = [refused_outcome("OUTCOME_UNKNOWN")]
        self.assertEqual(connection.execute("SELECT a").fetchone(), ("1",))

    def test_not_run_after_an_unknown_attempt_is_reported_as_unknown(self):
        connection = self.connect(options="-c bramleyrill.repeatable=on")
        self.member.scripted_outcomes = [
            refused_outcome("OUTCOME_UNKNOWN"),
            refused_outcome("NOT_RUN_DEADLINE"),
        ]
        self.assert_sqlstate("08007", connection.execute, "INSERT 1")

    def test_request_to_an_unreachable_holder_is_retried(self):
        connection = self.connect()
        self.member.scripted_outcomes = [
            refused_outcome("NOT_RUN_UNREACHABLE"),
            refused_outcome("NOT_RUN_NO_PRIMARY"),
        ]
        connection.execute("INSERT 1")
        self.assertEqual(
            (len(self.member.opened_requests), self.member.statement_log), (3, ["INSERT 1"])
        )

    def test_reader_may_not_write(self):
        connection = self.connect(user="reader@kintsugi")
        self.assert_sqlstate("25006", connection.execute, "INSERT 1")
        self.assert_sqlstate("25006", connection.execute, "INSERT %s", ["1"])
        self.assertEqual(self.member.statement_log, [])


class PermitTest(DriverCase):
    """Guards against acknowledging a commit after its permit has expired."""

    def test_expired_permit_gives_unknown_outcome(self):
        connection = self.connect()
        connection.execute("INSERT 1")
        for age, length in ((1.5, 1), (0, 0)):
            self.member.permit_age = timedelta(seconds=age)
            self.member.permit_length = timedelta(seconds=length)
            self.assert_sqlstate("08007", connection.execute, "INSERT 2")
            self.assert_sqlstate("08007", connection.execute, "INSERT %s", ["2"])
            connection.execute("BEGIN")
            connection.execute("INSERT 3")
            self.assert_sqlstate("08007", connection.execute, "COMMIT")
            self.assertEqual(connection.info.transaction_status.name, "IDLE")

    def test_answer_of_inner_commit_is_held(self):
        self.member.permit_length = timedelta()
        error = self.assert_sqlstate(
            "08007", self.connect().execute, "BEGIN; INSERT 1; COMMIT; SELECT a"
        )
        self.assertIsNone(error.diag.statement_position)

    def test_next_read_after_unknown_outcome_goes_to_the_primary(self):
        connection = self.connect(options="-c bramleyrill.age=1000")
        connection.execute("INSERT 1")
        self.member.permit_length = timedelta()
        self.assert_sqlstate("08007", connection.execute, "INSERT 2")
        self.member.permit_length = timedelta(seconds=1)
        connection.execute("SELECT a")
        self.assertTrue(self.member.opened_requests[-1][0].at_primary)

    def test_token_is_valid_in_another_session(self):
        connection = self.connect()
        connection.execute("INSERT 1")
        token = connection.pgconn.parameter_status(b"bramleyrill.token").decode()
        self.assertTrue(token)
        other = self.connect(
            options=f"-c bramleyrill.token={token} -c bramleyrill.age=1000",
        )
        other.execute("SELECT a")
        route = self.member.opened_requests[-1][0]
        self.assertEqual((route.at_primary, route.required_mark), (False, Mark(1, 1)))

    def test_lost_entry_fails_one_read(self):
        connection = self.connect()
        connection.execute("INSERT 1")
        self.member.lose_last_entry()
        self.assert_sqlstate("LE001", connection.execute, "SELECT a")
        self.assertEqual(connection.execute("SELECT a").fetchone(), ("1",))


class TransactionTest(DriverCase):
    """Guards against statements of a lost transaction that run outside any transaction."""

    limits = FrontLimits(
        sweep_interval=timedelta(milliseconds=20),
        idle_in_transaction_timeout=timedelta(milliseconds=100),
    )

    def test_transaction_keeps_its_connection(self):
        connection = self.connect()
        with connection.transaction():
            connection.execute("INSERT 1")
            connection.execute("SELECT a, %s", ["b"])
        self.assertEqual(len(self.member.opened_requests), 1)
        self.assertEqual(self.member.opened_requests[0][1].kind, StatementClass.BEGIN)
        self.assertEqual(self.member.statement_log[-1], "COMMIT")
        wait_for(lambda: self.member.open_count == 0)

    def test_lost_transaction_refuses_until_it_is_ended(self):
        connection = self.connect()
        for end, prepare in (("ROLLBACK", False), ("COMMIT", True)):
            connection.execute("BEGIN")
            self.member.scripted_outcomes = [refused_outcome("NOT_RUN_ROLLED_BACK")]
            self.assert_sqlstate("40001", connection.execute, "INSERT 1")
            self.assert_sqlstate("40001", connection.execute, "INSERT 2")
            self.assert_sqlstate("40001", connection.execute, "INSERT %s", ["2"])
            cursor = connection.execute(end, prepare=prepare)
            self.assertEqual(cursor.statusmessage, "ROLLBACK")
            self.assertEqual(connection.info.transaction_status.name, "IDLE")
        self.assertEqual(self.member.statement_log, ["BEGIN", "rolled back"] * 2)

    def test_refusal_inside_a_transaction_fails_it(self):
        connection = self.connect()
        connection.execute("BEGIN")
        self.assert_sqlstate("0A000", connection.execute, "LISTEN x")
        self.assertEqual(connection.info.transaction_status.name, "INERROR")
        connection.execute("ROLLBACK")

    def test_idle_transaction_is_rolled_back_and_the_session_kept(self):
        connection = self.connect()
        connection.execute("BEGIN")
        wait_for(lambda: self.member.statement_log[-1] == "rolled back")
        self.assert_sqlstate("40001", connection.execute, "INSERT 1")
        connection.execute("ROLLBACK")
        connection.execute("SELECT a")


class EndTest(DriverCase):
    """Guards against requests that a drain cuts off, or that outlive their caller's connection."""

    def test_cancel_reaches_the_transaction(self):
        connection = self.connect()
        # PQcancel holds the GIL and would block the front, which runs in this process.
        self.thread.call_when(lambda: self.member.hanging_statements, connection.cancel_safe)
        self.assert_sqlstate("57014", connection.execute, "SELECT hang")
        self.assertEqual(connection.execute("SELECT a").fetchone(), ("1",))

    def test_caller_that_leaves_has_its_request_canceled(self):
        connection = self.connect()
        connection.pgconn.send_query(b"SELECT hang")
        wait_for(lambda: self.member.hanging_statements)
        connection.pgconn.finish()
        wait_for(lambda: self.member.cancel_count)
        wait_for(lambda: not self.thread.front.sessions)
        self.assertEqual(self.member.open_count, 0)
        self.assertEqual([record[-1] for record in self.thread.records], [False])

    def test_drain_ends_idle_sessions_and_lets_transactions_finish(self):
        idle, busy = self.connect(), self.connect()
        notice_sqlstates = []
        busy.add_notice_handler(lambda diagnostic: notice_sqlstates.append(diagnostic.sqlstate))
        busy.execute("BEGIN")
        self.thread.call(self.thread.front.drain)
        wait_for(lambda: len(self.thread.front.sessions) == 1)
        self.assert_sqlstate("57P01", idle.execute, "SELECT a")
        busy.execute("INSERT 1")
        busy.execute("COMMIT")
        wait_for(lambda: not self.thread.front.sessions)
        # libpq treats the error as a notice if it arrives together with the previous answer.
        with self.assertRaises(psycopg.OperationalError) as caught:
            busy.execute("SELECT a")
        self.assertEqual([*notice_sqlstates, caught.exception.sqlstate or "none"][0], "57P01")
        self.assertEqual(self.member.statement_log, ["BEGIN", "INSERT 1", "COMMIT"])

    def test_end_of_a_drain_ends_idle_transactions_only(self):
        idle, busy = self.connect(), self.connect()
        idle.execute("BEGIN")
        busy.pgconn.send_query(b"SELECT hang")
        wait_for(lambda: self.member.hanging_statements)
        self.assertEqual(self.thread.front.requests_in_flight, 1)
        self.thread.call(self.thread.front.end_idle_transactions)
        wait_for(lambda: len(self.thread.front.sessions) == 1)
        self.assert_sqlstate("57P01", idle.execute, "SELECT a")
        self.assertEqual(self.member.cancel_count, 0)
        self.thread.call(lambda: self.thread.front.sessions[2].cancel())
        # A blocking read of libpq would hold the GIL, which the front in this process needs.
        wait_for(lambda: busy.pgconn.consume_input() or not busy.pgconn.is_busy())
        self.assertEqual(busy.pgconn.get_result().error_field(67), b"57014")

    def test_caller_that_leaves_a_transaction_has_it_rolled_back(self):
        connection = self.connect()
        connection.execute("BEGIN")
        connection.close()
        wait_for(lambda: self.member.statement_log[-1] == "rolled back")

    def test_outcomes_are_recorded(self):
        connection = self.connect()
        connection.execute("SELECT a")
        self.member.scripted_outcomes = [refused_outcome("NOT_RUN_OVERLOADED")]
        self.assert_sqlstate("NR001", connection.execute, "INSERT 1")
        recorded = [(row.user, served) for row, _, served in self.thread.records]
        self.assertEqual(recorded, [("aylin", True), ("aylin", False)])
        accounting = Accounting(self.thread.world, NullMetrics())
        for record in self.thread.records:
            accounting.record(*record)
        (row,) = (row for row in report(self.thread.world) if row.long.offered)
        self.assertEqual((row.long.offered, row.long.served), (2, 1))
