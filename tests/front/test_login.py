"""Tests of logins and settings with real drivers."""

import ssl

import psycopg
import trustme

from tests.front.cases import DriverCase


class SettingTest(DriverCase):
    """Guards against settings that are lost or shown with the wrong value."""

    def test_options_and_set_in_both_protocols(self):
        connection = self.connect(options="-c bramleyrill.rank=urgent")
        self.assertEqual(connection.execute("SHOW bramleyrill.rank").fetchone(), ("urgent",))
        connection.execute("SET bramleyrill.rank = 'least_urgent'")
        connection.execute("SET bramleyrill.age TO 500", prepare=True)
        shown = connection.execute("SHOW bramleyrill.age", prepare=True)
        self.assertEqual(shown.fetchone(), ("500",))
        connection.execute("SELECT a")
        self.assertEqual(self.member.opened_requests[-1][1].rank.name, "LEAST_URGENT")
        self.assert_sqlstate("22023", connection.execute, "SET bramleyrill.rank = 'x'")
        self.assertEqual(self.member.statement_log, ["SELECT a"])

    def test_bad_startup_setting_ends_the_login(self):
        for options in ("-c bramleyrill.age=x", "-x", "-c work_mem=1"):
            with self.assertRaises(psycopg.OperationalError):
                self.connect(options=options)


class LoginTest(DriverCase):
    """Guards against logins under another identity, and refusals that reveal which users exist."""

    def assert_refused(self, text, **arguments):
        with self.assertRaises(psycopg.OperationalError) as caught:
            self.connect(**arguments)
        self.assertIn(text, str(caught.exception))

    def test_refusals(self):
        self.assert_refused("password authentication failed", password="x")
        self.assert_refused("password authentication failed", user="nobody")
        self.assert_refused("password authentication failed", user="aylin@gatecare")
        self.assert_refused("write office@kintsugi or office@gatecare", user="office")
        self.assert_refused("no fleet 'x'", user="aylin@x")
        self.assert_refused("has no database 'gates'", database="gates")
        self.assert_refused("password authentication failed", user="plain@gatecare")
        self.assert_refused("server does not support SSL", sslmode="require")

    def test_qualified_names(self):
        self.connect(user="office@gatecare", database="gatebook.gates").execute("SELECT a")
        self.assertEqual(self.member.opened_requests[-1][1].database, "gatecare/gatebook/gates")

    def test_clear_text_where_the_text_allows_it(self):
        self.connect(user="plain@kintsugi").execute("SELECT a")
        self.assert_refused("failed", user="plain@kintsugi", password="x")


class TlsTest(DriverCase):
    """Guards against TLS connections that behave differently from plain ones."""

    @classmethod
    def setUpClass(cls):
        cls.tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        trustme.CA().issue_cert("localhost").configure_cert(cls.tls)

    def test_statements_over_tls(self):
        connection = self.connect(sslmode="require")
        self.assertTrue(connection.pgconn.ssl_in_use)
        connection.execute("INSERT 1")
        self.assertEqual(len(connection.execute("SELECT big 3000").fetchall()), 3000)
