"""Tests of drivers through a real proxy, with the forms of statements that they use."""

import unittest

import pg8000.native
import psycopg
from bramleyrill_standins.callers import Endpoint, Login, connect, create_ledger
from bramleyrill_standins.processes import Deployment, wait_until

INSERT = "insert into ledger values (%s, %s)"
SELECT = "select entry from ledger where key = %s"


class DriverTest(unittest.TestCase):
    """Guards against an entry side and a holder that disagree on the end of a request."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(proxies=2, fleets=("kintsugi",), one_process=True)
        cls.addClassCleanup(cls.deployment.stop)
        # One of the proxies holds the primary; the other reaches it through that one.
        cls.endpoints = [Endpoint("127.0.0.1", proxy.port) for proxy in cls.deployment.proxies]
        for endpoint in cls.endpoints:
            wait_until(lambda endpoint=endpoint: cls.serves(endpoint), "the first write")

    @classmethod
    def serves(cls, endpoint):
        try:
            with cls.connect(endpoint) as caller:
                create_ledger(caller)
        except psycopg.errors.DuplicateTable:
            return True
        except psycopg.Error:
            return False
        return True

    @staticmethod
    def connect(endpoint):
        return connect(endpoint, Login("courier@kintsugi", "courier", "records"), {})

    def connections(self):
        for number, endpoint in enumerate(self.endpoints):
            with self.connect(endpoint) as caller:
                caller.autocommit = True
                yield f"{self.id()}-{number}", caller

    def test_prepared_statements_in_and_out_of_transactions(self):
        for key, caller in self.connections():
            with caller.transaction():
                for part in range(3):
                    caller.execute(INSERT, (f"{key}-{part}", "a"), prepare=True)
                    cursor = caller.execute(SELECT, (f"{key}-{part}",), prepare=True)
                    self.assertEqual(cursor.fetchall(), [("a",)])
            for part in range(3):
                cursor = caller.execute(SELECT, (f"{key}-{part}",), prepare=True)
                self.assertEqual(cursor.fetchall(), [("a",)])

    def test_rollback_and_sql_errors(self):
        for key, caller in self.connections():
            with self.assertRaises(psycopg.errors.UndefinedTable), caller.transaction():
                caller.execute(INSERT, (key, "a"))
                caller.execute("select a from nowhere")
            self.assertEqual(caller.execute(SELECT, (key,)).fetchall(), [])

    def test_pipeline_longer_than_one_part(self):
        for key, caller in self.connections():
            with caller.pipeline():
                cursors = [
                    caller.execute(INSERT, (f"{key}-{part}", "a" * 1000)) for part in range(100)
                ]
            self.assertEqual(sum(cursor.rowcount for cursor in cursors), 100)

    def test_pipeline_with_a_flush_before_its_sync(self):
        for key, caller in self.connections():
            with caller.pipeline():
                cursor = caller.execute(INSERT, (key, "a"))
                rows = caller.execute(SELECT, (key,)).fetchall()
            self.assertEqual((cursor.rowcount, rows), (1, [("a",)]))

    def test_pg8000(self):
        for endpoint in self.endpoints:
            caller = pg8000.native.Connection(
                "courier@kintsugi",
                host=endpoint.host,
                port=endpoint.port,
                database="records",
                password="courier",
            )
            self.addCleanup(caller.close)
            key = f"{self.id()}-{endpoint.port}"
            caller.run("insert into ledger values (:key, 'a')", key=key)
            rows = caller.run("select entry from ledger where key = :key", key=key)
            self.assertEqual(rows, [["a"]])
