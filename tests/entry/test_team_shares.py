"""Shares of teams at a member's scheduler, their resting transactions and their metrics."""

import io
import tempfile
import unittest
from contextlib import redirect_stdout
from datetime import timedelta

import gevent
from bramleyrill_cli._report import burn
from bramleyrill_core.catalog import Catalog
from bramleyrill_entry import _team_metrics
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._run_request import Opens, RunProblem
from bramleyrill_entry._team_metrics import MAX_TEAM_SERIES, OTHER_TEAMS, TeamMetrics

from tests.entry import test_team_keys
from tests.entry.builders import SECOND
from tests.entry.test_scheduler import SchedulerTest

MS = timedelta(milliseconds=1)


class RestingTransactionTest(SchedulerTest):
    def setUp(self):
        super().setUp()
        catalog = self.state.catalog
        self.state.catalog = Catalog(1, {}, catalog.services_by_name, 20 * MS)
        # The member takes 16 connections, of which 2 stay spare and 2 serve its slots.
        self.slots = 12
        for number in range(1, self.slots + 1):
            self.begin(number, "many")

    def begin(self, number, team, **changes):
        return self.open_transaction(
            "m1", "READ a", transaction_id=number, team=team, opens=Opens.READ_WRITE, **changes
        )

    def test_transactions_rest_while_nobody_waits(self):
        """Guards against ending transactions that hurt nobody."""
        gevent.sleep(0.03)
        self.schedulers.tick()
        self.assertEqual(self.schedulers.count_open_transactions(), self.slots)

    def test_one_that_rested_is_ended_for_a_caller_that_waits(self):
        """Guards against a team that rests in all transactions a member can have."""
        waiter = gevent.spawn(self.begin, 99, "few")
        gevent.sleep(0.03)
        self.schedulers.tick()
        self.assertTrue(waiter.get(timeout=2).transaction_open)
        self.assertEqual(self.schedulers.count_open_transactions(), self.slots)
        ended = self.run_at("m1", "READ a", transaction_id=1, team="many")
        self.assertIs(ended.problem, RunProblem.NO_EXCHANGE)

    def test_refused_caller_is_counted_for_its_team(self):
        """Guards against metrics that do not tell which team was refused for lack of room."""
        result = self.begin(99, "few", on_time_left=0 * MS, max_wait=10 * MS)
        self.assertIs(result.problem, RunProblem.OVERLOADED)
        text = EntryMetrics(self.state.team_metrics).render().decode()
        self.assertIn('bramleyrill_team_refused_total{team="few"} 1.0', text)
        self.assertIn('bramleyrill_team_refused_total{team="many"} 0.0', text)


class RestingSessionTest(test_team_keys.KeyTest):
    def test_session_of_a_team_may_rest_in_a_transaction(self):
        """Guards against the entry VM ending what only the holder knows to be in the way."""
        self.put_route(idle=20 * MS)
        self.put_keys(harbour=["k1"])
        caller = self.open("k1")
        caller.query("BEGIN")
        caller.query("READ a")
        gevent.sleep(0.06)
        self.assertTrue(caller.query("COMMIT")[0].startswith("COMPLETE"))


class TeamMetricsTest(unittest.TestCase):
    def test_number_of_series_is_bounded_and_no_counter_falls(self):
        """Guards against series without bound, and counters that a graph reads as restarts."""
        metrics = TeamMetrics()
        earlier = {}
        for number in range(5 * _team_metrics._REQUESTS_PER_CHOICE):
            metrics.record_wait(f"team{number % 500}", 2 * MS, refused=True)
            if number % 3:
                metrics.record_wait(f"top{number // 3000}", 2 * MS, refused=False)
            if number % 997 == 0:
                _, refused, _ = metrics.collect()
                counts = {sample.labels["team"]: sample.value for sample in refused.samples}
                self.assertLessEqual(len(counts), MAX_TEAM_SERIES + 1)
                self.assertGreaterEqual(counts[OTHER_TEAMS], earlier.get(OTHER_TEAMS, 0.0))
                self.assertLessEqual(sum(counts.values()), number + 1)
                earlier = counts
        self.assertIn("top3", earlier)

    def test_report_shows_the_teams(self):
        """Guards against a report in which the refused team cannot be found."""
        metrics = TeamMetrics()
        for _ in range(9):
            metrics.record_wait("harbour", 30 * MS, refused=False)
        metrics.record_wait("harbour", 400 * MS, refused=True)
        metrics.record_slot_time("harbour", 2 * SECOND)
        output = io.StringIO()
        with tempfile.NamedTemporaryFile() as file, redirect_stdout(output):
            file.write(EntryMetrics(metrics).render())
            file.flush()
            burn(metrics=[file.name, file.name])
        row = next(line for line in output.getvalue().splitlines() if "harbour" in line)
        self.assertEqual(row.split(), ["harbour", "20", "2", "50ms", "500ms", "4.0s"])


if __name__ == "__main__":
    unittest.main()
