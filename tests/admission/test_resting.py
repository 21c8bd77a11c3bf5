"""Which resting transactions are ended for callers that wait."""

import unittest
from datetime import timedelta

from bramleyrill_core.admission import RestingTransaction, resting_to_end

SECOND = timedelta(seconds=1)


def choose(idle_by_team, waiting, held=None, weights=None):
    resting = [
        RestingTransaction((team, number), team, idle * SECOND)
        for team, idles in idle_by_team.items()
        for number, idle in enumerate(idles)
    ]
    held = held or {team: len(idles) for team, idles in idle_by_team.items()}
    weight_of = lambda team: (weights or {}).get(team, 1.0)  # noqa: E731
    return resting_to_end(resting, waiting, held, 3 * SECOND, weight_of)


class RestingTest(unittest.TestCase):
    def test_nothing_is_ended_while_nobody_waits(self):
        """Guards against ending a caller's transaction that hurts nobody."""
        self.assertEqual(choose({"a": [900, 4]}, {}), [])

    def test_no_more_are_ended_than_wait_and_none_before_the_idle_time(self):
        """Guards against ending transactions that rested for less than the configuration allows."""
        self.assertEqual(choose({"a": [2, 5, 9, 4]}, {"b": 2}), [("a", 2), ("a", 1)])
        self.assertEqual(choose({"a": [2, 1]}, {"b": 2}), [])

    def test_team_that_rests_in_many_pays_first(self):
        """Guards against ending a small team's transaction for the callers of a hoarding team."""
        idle = {"many": [4] * 40, "one": [60]}
        self.assertEqual({key[0] for key in choose(idle, {"small": 5})}, {"many"})
        self.assertEqual({key[0] for key in choose(idle, {"many": 5})}, {"many"})
        self.assertEqual(choose({"one": [60]}, {"many": 5}, {"many": 40, "one": 1}), [])

    def test_held_transactions_count_by_weight(self):
        """Guards against ending those of a team that holds more because its share is larger."""
        chosen = choose({"large": [9] * 6, "small": [9] * 3}, {"c": 1}, weights={"large": 4.0})
        self.assertEqual(chosen[0][0], "small")


if __name__ == "__main__":
    unittest.main()
