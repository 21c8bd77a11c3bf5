"""Base class of the tests that use PostgreSQL drivers."""

import unittest
from datetime import timedelta

import psycopg
from bramleyrill_daemon.front import FrontLimits

from tests.front.fakes import FrontThread


class DriverCase(unittest.TestCase):
    """Starts a front for each test."""

    limits = FrontLimits(sweep_interval=timedelta(milliseconds=20))
    tls = None

    def setUp(self):
        self.thread = FrontThread(self.limits, self.tls)
        self.enterContext(self.thread)
        self.member = self.thread.member

    def connect(self, user="aylin", database="pieces", options="", password="pencil", **more):
        connection = psycopg.connect(
            host=self.thread.host,
            port=self.thread.port,
            user=user,
            password=password,
            dbname=database,
            options=options,
            autocommit=True,
            connect_timeout=10,
            **more,
        )
        self.addCleanup(connection.close)
        return connection

    def assert_sqlstate(self, sqlstate, function, *arguments):
        with self.assertRaises(psycopg.Error) as caught:
            function(*arguments)
        error = caught.exception
        actual = error.sqlstate or (error.pgconn and error.pgconn.error_message.decode())
        self.assertEqual(actual, sqlstate, error)
        return error
