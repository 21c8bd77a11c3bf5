"""Tests of callers with real drivers."""

import unittest

import pg8000.native
import psycopg

from tests.front.fakes import FrontThread


class DriverCase(unittest.TestCase):
    """Starts a front for each test."""

    def setUp(self):
        self.thread = FrontThread()
        self.enterContext(self.thread)
        self.member = self.thread.member

    def connect(self, user="aylin", database="pieces", options="", **more):
        return psycopg.connect(
            host=self.thread.host,
            port=self.thread.port,
            user=user,
            password="pencil",
            dbname=database,
            options=options,
            autocommit=True,
            connect_timeout=10,
            **more,
        )


class StatementTest(DriverCase):
    """Guards against answers that drivers do not accept."""

    def test_psycopg_simple_and_extended(self):
        with self.connect() as connection:
            self.assertEqual(connection.execute("SELECT a").fetchall(), [("1",)])
            self.assertEqual(connection.execute("SELECT a, %s", ["b"]).fetchone(), ("1",))
            cursor = connection.execute("INSERT INTO t VALUES (%s)", ["b"])
            self.assertEqual(cursor.rowcount, 1)
        self.assertEqual(self.member.open_count, 0)

    def test_pg8000_with_parameters(self):
        connection = pg8000.native.Connection(
            "aylin",
            host=self.thread.host,
            port=self.thread.port,
            database="pieces",
            password="pencil",
        )
        self.assertEqual(connection.run("SELECT a"), [["1"]])
        self.assertEqual(connection.run("SELECT a, :b", b="c"), [["1"]])
        prepared = connection.prepare("SELECT a, :b")
        self.assertEqual([prepared.run(b="c"), prepared.run(b="d")], [[["1"]], [["1"]]])
        prepared.close()
        connection.close()

    def test_sql_error_leaves_the_session_usable(self):
        with self.connect() as connection:
            with self.assertRaises(psycopg.errors.UndefinedColumn):
                connection.execute("SELECT wrong")
            with self.assertRaises(psycopg.errors.UndefinedColumn):
                connection.execute("SELECT wrong", prepare=True)
            self.assertEqual(connection.execute("SELECT a").fetchone(), ("1",))

    def test_long_answer_is_complete(self):
        with self.connect() as connection:
            rows = connection.execute("SELECT big 3000").fetchall()
        self.assertEqual(len(rows), 3000)


if __name__ == "__main__":
    unittest.main()
