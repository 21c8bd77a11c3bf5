"""Sessions of callers with keys: whose work runs, and what a withdrawn key can still do."""

import gevent
from attrs import evolve
from bramleyrill_core.teams import NO_TEAMS, Team, TeamDirectory, key_digest

from tests.entry.test_session import SessionTest

HARBOUR, MILL = Team("harbour"), Team("mill")


class KeyTest(SessionTest):
    def setUp(self):
        super().setUp()
        self.put_keys(harbour=["k1"], mill=["k2"])

    def put_keys(self, harbour=(), mill=(), public=False):
        """Put a configuration in force with these keys of the two teams."""
        catalog = self.state.catalog
        directory = TeamDirectory.of(
            [(HARBOUR, map(key_digest, harbour)), (MILL, map(key_digest, mill))]
        )
        routes = {
            name: evolve(route, public=public) for name, route in catalog.routes_by_database.items()
        }
        changed = evolve(
            catalog, version=catalog.version + 1, teams=directory, routes_by_database=routes
        )
        self.state.apply_catalog(changed, {}, "test")

    def open(self, key):
        caller = self.connect(f"pieces-db {key}".rstrip())
        self.opening_answer = caller.read_line()
        return caller

    def teams_that_ran(self):
        return {run.team for run in self.group.runs}

    def test_statement_runs_under_the_team_of_the_key(self):
        self.open("k1").query("WRITE a 5")
        self.open("k2").query("READ a")
        self.assertEqual([run.team for run in self.group.runs], ["harbour", "mill"])

    def test_connection_of_one_team_is_not_used_by_another(self):
        """A pooled connection ran the next caller's statement, whoever that was."""
        callers = {"harbour": self.open("k1"), "mill": self.open("k2")}
        for number in range(4):
            for team, caller in callers.items():
                caller.query("READ a", f"{team}-{number}")
        for run in self.group.runs:
            self.assertEqual(run.statement_id.split("-")[0], run.team)

    def test_team_gets_a_connection_when_another_holds_them_all(self):
        """With every connection idle at other teams, a statement waited in vain."""
        pool = self.schedulers.scheduler_for("m1").pool
        pool.limit = 2
        self.open("k1").query("BEGIN")
        for number in range(2):
            self.open("k1").query("READ a", f"a{number}")
        self.assertTrue(self.open("k2").query("READ a")[0].startswith("COMPLETE"))
        self.assertLessEqual(pool.size, 2)

    def test_holder_leaves_connections_for_its_successor(self):
        """After a power loss members refused the next holder until they had dropped the old one."""
        self.assertEqual(self.group.max_connections, 16)
        self.assertEqual(self.schedulers.scheduler_for("m1").pool.limit, 10)

    def test_holder_without_teams_may_use_nearly_all_connections(self):
        catalog = self.state.catalog
        self.state.catalog = evolve(catalog, teams=NO_TEAMS)
        self.assertEqual(self.schedulers.scheduler_for("m1").pool.limit, 14)

    def test_unknown_or_missing_key_is_refused_at_once(self):
        for key in ("k3", "", "k1 k1", "\udcff"):
            self.open(key.encode("utf-8", "surrogateescape").decode("latin-1"))
            self.assertTrue(self.opening_answer.startswith("ERROR NOAUTH"), key)
        self.assertEqual(self.group.runs, [])

    def test_public_route_needs_no_key_and_runs_under_no_team(self):
        self.put_keys(harbour=["k1"], public=True)
        self.open("").query("READ a")
        self.open("k1").query("READ a")
        self.assertTrue(self.teams_that_ran().isdisjoint({"harbour", "mill"}))

    def test_withdrawn_key_starts_no_operation(self):
        callers = {text: self.open("k1") for text in ("READ a", "WRITE a 1", "BEGIN")}
        self.put_keys(mill=["k2"])
        for text, caller in callers.items():
            self.assertTrue(caller.query(text)[0].startswith("ERROR NOAUTH"))
            self.assertEqual(caller.read_line(), "")
        self.assertEqual(self.group.runs, [])

    def test_open_transaction_of_a_withdrawn_key_ends_in_order(self):
        """The transaction began under a valid key; only the next one is refused."""
        caller = self.open("k1")
        caller.query("BEGIN")
        caller.query("WRITE a 1")
        self.put_keys(mill=["k2"])
        self.session.end_if_unauthorized()
        self.assertTrue(caller.query("COMMIT")[0].startswith("COMPLETE s"))
        self.assertTrue(caller.query("READ a")[0].startswith("ERROR NOAUTH"))

    def test_idle_session_of_a_withdrawn_key_is_told_and_ended(self):
        caller = self.open("k1")
        self.put_keys(mill=["k2"])
        self.session.end_if_unauthorized()
        self.assertTrue(caller.read_line().startswith("ERROR NOAUTH"))
        self.assertEqual(caller.read_line(), "")

    def test_moved_key_runs_under_the_new_team(self):
        caller = self.open("k1")
        caller.query("READ a")
        self.put_keys(mill=["k1"])
        caller.query("READ a")
        self.assertEqual([run.team for run in self.group.runs], ["harbour", "mill"])

    def test_transaction_keeps_the_team_it_began_under(self):
        """A key that moved within a transaction split it between two connections."""
        caller = self.open("k1")
        caller.query("BEGIN")
        caller.query("WRITE a 1")
        self.put_keys(mill=["k1"])
        caller.query("COMMIT")
        self.assertEqual(self.teams_that_ran(), {"harbour"})

    def test_older_configuration_of_a_peer_brings_no_key_back(self):
        old = self.state.catalog
        self.put_keys(mill=["k2"])
        self.assertFalse(self.state.apply_catalog(old, {}, "peer"))
        self.open("k1")
        self.assertTrue(self.opening_answer.startswith("ERROR NOAUTH"))

    def test_concurrent_teams_share_a_small_pool_without_mixing(self):
        """Waiting leases of several teams took whichever connection was dialed first."""
        self.schedulers.scheduler_for("m1").pool.limit = 3
        callers = [(f"k{1 + number % 2}", self.open(f"k{1 + number % 2}")) for number in range(8)]
        jobs = [
            gevent.spawn(caller.query, "READ a", f"{key}-{number}")
            for number, (key, caller) in enumerate(callers)
        ]
        gevent.joinall(jobs, raise_error=True)
        self.assertTrue(all(job.value[0].startswith("COMPLETE") for job in jobs))
        team_by_key = {"k1": "harbour", "k2": "mill"}
        for run in self.group.runs:
            self.assertEqual(run.team, team_by_key[run.statement_id.split("-")[0]])
