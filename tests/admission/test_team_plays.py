"""What callers of each team get in floods at one member, with fixed seeds."""

import unittest

from attrs import evolve
from bramleyrill_core import Rank
from bramleyrill_core.admission._team_plays import PLAYS, TeamPlan, play_teams, slowed

# Share of requests served on time that teams within their usual may lose to another team's flood.
MAX_LOSS = 0.02


def on_time(plan, policy="start_time", rank=None):
    return play_teams(plan, policy).total(True, rank).on_time_share


class TeamPlayTest(unittest.TestCase):
    def loss(self, plan, policy="start_time"):
        """Return what the other teams lose, compared with the same play without the flood."""
        without = evolve(plan, multiples=dict.fromkeys(plan.multiples, 1.0))
        return on_time(without, policy) - on_time(plan, policy)

    def test_others_keep_their_service_while_one_team_sends_eight_times_its_own(self):
        """Guards against one team's flood that other teams pay for, also at a slow member."""
        for seed in (1, 2, 3):
            plan = evolve(PLAYS["one team at 8"], seed=seed)
            self.assertLessEqual(self.loss(plan), MAX_LOSS, seed)
            self.assertLessEqual(self.loss(slowed(plan)), MAX_LOSS, seed)
            self.assertLessEqual(self.loss(plan, "by_limit"), MAX_LOSS, seed)
        self.assertGreater(self.loss(PLAYS["one team at 8"], "arrival"), 0.3)

    def test_worst_served_teams_keep_their_service_too(self):
        """Guards against a good mean that hides teams which are hardly served."""
        result = play_teams(PLAYS["one team at 8"], "start_time")
        self.assertGreaterEqual(result.worst_teams().on_time_share, 1.0 - MAX_LOSS)

    def test_flooding_team_gets_what_others_leave(self):
        """Guards against slots that stand idle while the flooding team is refused."""
        plan = PLAYS["one team at 8"]
        result = play_teams(plan, "start_time").total(False)
        capacity = (plan.flood_to_s - plan.flood_from_s) * plan.slots / plan.mean_service_s
        usual = play_teams(plan, "start_time").total(True)
        served = result.on_time + result.late + usual.on_time + usual.late
        self.assertGreater(served, 0.95 * capacity)

    def test_several_floods_leave_room_to_the_others(self):
        """Guards against four flooding teams that share out all slots among themselves."""
        for seed in (1, 2):
            plan = evolve(PLAYS["four teams at 12"], seed=seed)
            self.assertLess(self.loss(plan), 0.1 * self.loss(plan, "arrival"), seed)

    def test_resting_transactions_do_not_keep_others_from_beginning(self):
        """Guards against a team that rests in 120 transactions and holds all connections."""
        for seed in (1, 2):
            plan = evolve(PLAYS["120 resting"], seed=seed)
            missed = 1.0 - on_time(plan, "start_time", Rank.EVERYDAY)
            self.assertLess(missed, 0.5 * (1.0 - on_time(plan, "arrival", Rank.EVERYDAY)), seed)

    def test_burst_of_all_teams_is_served_as_well_as_in_order_of_arrival(self):
        """Guards against shares that cost service where no team is in excess."""
        self.assertGreaterEqual(on_time(PLAYS["burst of 2.4"]), 0.99)
        plan = slowed(TeamPlan())
        self.assertGreaterEqual(on_time(plan, "by_limit"), on_time(plan, "arrival"))


if __name__ == "__main__":
    unittest.main()
