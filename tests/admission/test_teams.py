"""Fair shares of a member's slots between teams."""

import random
import unittest
from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import Rank
from bramleyrill_core.admission import MemberAdmission, Queued, Refused, Started, TeamWeights
from bramleyrill_core.admission._choice import MAX_LEAD_REQUESTS
from bramleyrill_core.admission._team_ledger import TeamLedger
from bramleyrill_core.teams import Team, TeamDirectory

MS = timedelta(milliseconds=1)
WEIGHTS = {"large": 3.0}


class TeamsTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.admission = self.build(slots=2)
        self.number = 0
        self.teams_by_id = {}

    def build(self, slots):
        return MemberAdmission(
            "pieces", slots, 10 * MS, self.clock, lambda team: WEIGHTS.get(team, 1.0)
        )

    def submit(self, team, rank=Rank.EVERYDAY, on_time=5000, wait=9000, item=""):
        now = self.clock.monotonic()
        self.number += 1
        self.teams_by_id[self.number] = team
        return self.admission.submit(
            self.number, rank, now + on_time * MS, now + wait * MS, team, item
        )

    def fill(self, team, count, **options):
        return [self.submit(team, **options) for _ in range(count)]

    def serve(self, running, steps):
        """End the oldest of the running requests every 10 ms; return the teams that start."""
        started = []
        for _ in range(steps):
            self.clock.advance(10 * MS)
            for outcome in self.admission.finish(running.pop(0)):
                if type(outcome) is Started:
                    running.append(outcome.id)
                    started.append(self.teams_by_id[outcome.id])
        return started

    def test_team_under_its_share_waits_one_service_time(self):
        """Guards against a flood in one team's queue that all other teams wait behind."""
        self.fill("flood", 100)
        self.assertIsInstance(self.submit("small"), Queued)
        self.assertEqual(self.serve([1, 2], 1), ["small"])

    def test_shares_follow_the_weights(self):
        """Guards against weights of the configuration that have no effect."""
        self.fill("large", 100)
        self.fill("small", 100)
        started = self.serve([1, 2], 80)
        self.assertAlmostEqual(started.count("large") / started.count("small"), 3.0, delta=0.4)

    def test_unused_share_goes_to_whoever_waits_and_is_not_saved_up(self):
        """Guards against slots that stand idle, and a quiet team that later takes all slots."""
        self.fill("flood", 60)
        self.assertEqual(len(self.serve([1, 2], 30)), 30)
        self.fill("late", 60)
        started = self.serve([31, 32], 20)
        self.assertAlmostEqual(started.count("flood"), 10, delta=2)

    def test_excess_in_an_urgent_rank_does_not_starve_the_everyday_work_of_others(self):
        """Guards against a flood of one team's urgent work that uses up all other ranks' slots."""
        self.fill("flood", 200, rank=Rank.URGENT)
        self.fill("small", 4)
        self.assertEqual(self.serve([1, 2], 40).count("small"), 4)

    def test_rank_goes_first_among_teams_within_their_share(self):
        """Guards against shares that take the priority from urgent work."""
        self.fill("a", 2)
        self.submit("b")
        self.submit("c", rank=Rank.URGENT)
        self.assertEqual(self.serve([1, 2], 2), ["c", "b"])

    def test_work_that_can_be_on_time_goes_before_late_work(self):
        """Guards against late work that makes more work late, within rank and share."""
        self.fill("a", 2)
        self.submit("b", on_time=0)
        self.submit("c")
        self.assertEqual(self.serve([1, 2], 2), ["c", "b"])

    def test_late_work_within_its_share_goes_before_the_excess_of_another(self):
        """Guards against a flood that keeps another team's late work waiting to its deadline."""
        self.fill("flood", 100)
        self.serve([1, 2], 30)
        self.submit("small", on_time=0)
        self.assertIn("small", self.serve([31, 32], MAX_LEAD_REQUESTS + 2))

    def test_statements_of_transactions_of_a_flood_wait_behind_others(self):
        """Guards against a team that evades its share by transactions."""
        self.fill("flood", 2)
        self.admission.pause(1)
        self.admission.pause(2)
        self.fill("flood", 20)
        now = self.clock.monotonic()
        self.admission.resume(1, Rank.EVERYDAY, now + 5000 * MS, "flood")
        self.submit("small")
        self.assertEqual(self.serve([3, 4], 1), ["small"])

    def test_full_queue_has_room_for_a_team_that_has_none_waiting(self):
        """Guards against refusing every team because one has filled the queue."""
        outcomes = self.fill("flood", 1500, on_time=600_000, wait=600_000)
        self.assertIsInstance(outcomes[-1], Refused)
        self.assertIsInstance(self.submit("small"), Queued)

    def test_refusal_is_the_floods_and_tells_when_there_is_room(self):
        """Guards against refusing others for a flood, and hints that lead to another refusal."""
        outcomes = self.fill("flood", 200, on_time=300, wait=300)
        refused = [outcome for outcome in outcomes if type(outcome) is Refused]
        self.assertTrue(refused)
        self.assertIsInstance(self.submit("small", on_time=300, wait=300), Queued)
        hint = refused[-1].problem.retry_after
        self.serve([1, 2], hint // (5 * MS) // 2)
        self.assertNotIsInstance(self.submit("flood", on_time=300, wait=300), Refused)

    def test_hot_item_leaves_slots_to_other_work(self):
        """Guards against statements of one item that hold all slots of the primary."""
        self.admission = self.build(slots=4)
        self.fill("a", 1)
        for number in range(20):
            self.submit(f"hot{number}", item="k1")
        self.fill("a", 4)
        running = [1, 2, 3, 4]
        items = []
        for _ in range(6):
            items += self.serve(running, 1)
            hot = [item for item in running if self.teams_by_id[item].startswith("hot")]
            self.assertLessEqual(len(hot), 3)
        self.assertEqual(items.count("a"), 4)
        self.assertEqual(len(running), 4)
        self.assertEqual(len(self.serve(running, 10)), 10)

    def test_statement_of_a_hot_item_that_cannot_be_in_time_is_refused_at_once(self):
        """Guards against statements that are passed over until their deadline."""
        self.admission = self.build(slots=4)
        self.fill("a", 200)
        for number in range(40):
            self.submit(f"hot{number}", item="k1")
        self.serve([1, 2, 3, 4], 22)
        outcome = self.submit("last", on_time=30, wait=60, item="k1")
        self.assertIsInstance(outcome, Refused)
        self.assertGreaterEqual(outcome.problem.retry_after, 60 * MS)
        self.assertIsInstance(self.submit("last", on_time=30, wait=60), Queued)

    def test_withdrawn_and_expired_requests_never_start(self):
        """Guards against slots for callers that have gone, also if they were passed over."""
        self.fill("a", 2, item="k")
        self.submit("b", item="k")
        self.submit("c", on_time=20, wait=20)
        self.submit("d", item="k")
        self.serve([1, 2], 0)
        self.admission.withdraw(3)
        self.clock.advance(30 * MS)
        self.assertEqual([type(item) for item in self.admission.tick()], [Refused])
        self.assertEqual([item.id for item in self.admission.finish(1)], [5])
        self.assertEqual(self.admission.waiting, 0)

    def test_idle_teams_are_forgotten(self):
        """Guards against memory that grows with every team ever seen."""
        ledger = TeamLedger(lambda team: 1.0)
        ledger.begin_waiting(ledger.use_of("waits"))
        for number in range(20_000):
            ledger.advance_to(number * 0.001)
            ledger.start(f"team{number}", 0.001)
            ledger.end(f"team{number}", 0.001, 0.001)
        self.assertLess(len(ledger), 200)

    def test_single_team_is_served_as_before(self):
        """Guards against a change for deployments in which all work is of one team, or of none."""

        def outcomes_of(team):
            self.setUp()
            rng, running, seen = random.Random(7), [], []
            for _ in range(3000):
                self.clock.advance(rng.randrange(6) * MS)
                outcomes = list(self.admission.tick()) if rng.random() < 0.1 else []
                if running and rng.random() < 0.5:
                    outcomes += self.admission.finish(running.pop(0))
                else:
                    rank, on_time = rng.choice(list(Rank)), rng.choice((0, 60, 300))
                    outcomes.append(self.submit(team, rank, on_time, on_time + 200))
                running += [item.id for item in outcomes if type(item) is Started]
                seen += outcomes
            return seen

        self.assertEqual(outcomes_of("only"), outcomes_of(""))


class WeightsTest(unittest.TestCase):
    def test_share_follows_the_limit_above_the_mean(self):
        """Guards against refusing a large team within its limit for small ones beyond theirs."""
        teams = [Team("large", 30.0), Team("small", 10.0), Team("stated", 20.0, weight=2)]
        directory = TeamDirectory.of([(team, ()) for team in teams])
        weights = TeamWeights(lambda: directory)
        self.assertEqual([weights.of(team.name) for team in teams], [1.5, 1.0, 2.0])
        self.assertEqual(weights.of("unknown"), 1.0)


if __name__ == "__main__":
    unittest.main()
