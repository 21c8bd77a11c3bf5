"""Tests that sessions that move between real proxies read their own writes at once."""

import unittest

import psycopg
from bramleyrill_standins.callers import Endpoint, Login, connect, create_ledger
from bramleyrill_standins.processes import Behaviour, Deployment, wait_until

TOKEN = "bramleyrill.token"
USERS = {"kintsugi": "courier", "gatecare": "crew"}


class RoamingTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # With this lag, no replica has a caller's last write during the test.
        cls.deployment = Deployment(behaviour=Behaviour(lag_ms=60_000))
        cls.addClassCleanup(cls.deployment.stop)
        cls.endpoints = [Endpoint("127.0.0.1", proxy.port) for proxy in cls.deployment.proxies]
        for fleet in USERS:
            for endpoint in cls.endpoints:
                wait_until(
                    lambda fleet=fleet, endpoint=endpoint: cls.serves(fleet, endpoint),
                    f"the first write in {fleet} through {endpoint}",
                )

    @classmethod
    def serves(cls, fleet, endpoint):
        """Return whether a proxy reaches the primary; its holder changes while VMs start."""
        try:
            with cls.connect(fleet, endpoint) as caller:
                create_ledger(caller)
        except psycopg.errors.DuplicateTable:
            return True
        except psycopg.Error:
            return False
        return True

    @staticmethod
    def connect(fleet, endpoint, **settings):
        user = USERS[fleet]
        names = {f"bramleyrill.{name}": value for name, value in settings.items()}
        return connect(endpoint, Login(f"{user}@{fleet}", user, "records"), names)

    def roam(self, fleet):
        for number, first in enumerate(self.endpoints):
            for second in self.endpoints:
                key = f"{number}-{second.port}"
                with self.connect(fleet, first) as caller:
                    caller.execute("insert into ledger values (%s, 'mine')", (key,))
                    token = caller.info.parameter_status(TOKEN)
                with self.connect(fleet, second, token=token, age="30000") as caller:
                    cursor = caller.execute("select entry from ledger where key = %s", (key,))
                    self.assertEqual(cursor.fetchall(), [("mine",)], key)

    def test_reads_with_age_fall_back_to_the_primary(self):
        """A read that accepts 30 s of staleness still needs the session's own write (P1)."""
        for fleet in USERS:
            self.roam(fleet)

    def test_session_without_token_reads_fresh(self):
        """A session without a token reads first at the primary, whatever age it accepts."""
        for fleet in USERS:
            with self.connect(fleet, self.endpoints[0]) as caller:
                caller.execute("insert into ledger values ('no token', 'mine')")
            for endpoint in self.endpoints:
                with self.connect(fleet, endpoint, age="30000") as caller:
                    cursor = caller.execute("select entry from ledger where key = 'no token'")
                    self.assertEqual(cursor.fetchall(), [("mine",)])

    def test_token_of_another_fleet_is_refused(self):
        with self.connect("kintsugi", self.endpoints[0]) as caller:
            caller.execute("insert into ledger values ('token', 'mine')")
            token = caller.info.parameter_status(TOKEN)
        refused = self.assertRaises(psycopg.errors.InvalidParameterValue)
        with self.connect("gatecare", self.endpoints[1]) as caller, refused:
            caller.execute(f"set {TOKEN} = '{token}'")
