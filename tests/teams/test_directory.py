"""Lookup of teams by key, and decoding of teams from the platform's configuration."""

import unittest

from bramleyrill_core.teams import NO_TEAMS, Team, TeamDirectory, key_digest
from bramleyrill_platform import decode_catalog, without_keys

MANY_KEYS = 10_000


def decode(*teams):
    return decode_catalog({"version": 1, "tenants": list(teams)}).teams


class DirectoryTest(unittest.TestCase):
    def test_key_under_two_teams_belongs_to_neither(self):
        """A caller's work could have run under another team's name."""
        shared, own = key_digest("shared"), key_digest("own")
        directory = TeamDirectory.of([(Team("a"), [shared, own]), (Team("b"), [shared])])
        self.assertIsNone(directory.team_of(shared))
        self.assertEqual(directory.team_of(own), Team("a"))

    def test_missing_key_belongs_to_no_team(self):
        self.assertIsNone(TeamDirectory.of([(Team("a"), [])]).team_of(None))

    def test_moved_key_belongs_to_the_new_team_only(self):
        digest = key_digest("k")
        before = TeamDirectory.of([(Team("a"), [digest]), (Team("b"), [])])
        after = TeamDirectory.of([(Team("a"), []), (Team("b"), [digest])])
        self.assertEqual(before.team_of(digest).name, "a")
        self.assertEqual(after.team_of(digest).name, "b")

    def test_many_keys_are_all_known(self):
        keys = [f"key-{number}" for number in range(MANY_KEYS)]
        directory = decode({"name": "a", "apiKeys": keys})
        self.assertTrue(all(directory.team_of(key_digest(key)) for key in keys))


class DecodeTest(unittest.TestCase):
    def test_configuration_without_teams_needs_no_keys(self):
        self.assertIs(decode_catalog({"version": 1}).teams, NO_TEAMS)

    def test_malformed_teams_refuse_all_keys(self):
        """With the field ignored, callers were served without a key."""
        for value in (None, "a", {}, 5):
            teams = decode_catalog({"version": 1, "tenants": value}).teams
            self.assertTrue(teams.enabled)
            self.assertIsNone(teams.team_of(key_digest("k")))

    def test_malformed_team_leaves_the_others(self):
        directory = decode(
            {"apiKeys": ["x"]},
            {"name": "with space", "apiKeys": ["y"]},
            None,
            {"name": "a", "apiKeys": ["", 5, "k" * 10_000, "good", "good"]},
            {"name": "a", "apiKeys": ["second"]},
        )
        self.assertEqual(list(directory.teams_by_name), ["a"])
        self.assertEqual(directory.team_of(key_digest("good")).name, "a")
        for key in ("x", "y", "", "k" * 10_000, "second"):
            self.assertIsNone(directory.team_of(key_digest(key)))

    def test_malformed_limit_is_bounded_and_never_lifted(self):
        """A huge integer kept the whole configuration out; a malformed limit was no limit."""
        cases = {
            ("ratePerS", 2.5): 2.5,
            ("ratePerS", 0): 0.0,
            ("ratePerS", 10**12): 1e9,
            ("ratePerS", float("inf")): 1e9,
            ("ratePerS", 10**400): 1e9,
            ("ratePerS", float("nan")): 0.0,
            ("ratePerS", -1): 0.0,
            ("ratePerS", "5"): 0.0,
            ("ratePerS", True): 0.0,
            ("ratePerS", None): None,
        }
        for (name, value), expected in cases.items():
            team = decode({"name": "a", name: value}).teams_by_name["a"]
            self.assertEqual(team.rate_per_s, expected, (name, value))

    def test_missing_burst_is_one_second_of_the_rate(self):
        self.assertEqual(decode({"name": "a", "ratePerS": 4}).teams_by_name["a"].burst, 4.0)

    def test_keys_are_not_passed_on(self):
        """Peers received the keys in clear with the configuration."""
        configuration = {"version": 1, "tenants": [{"name": "a", "apiKeys": ["secret"]}, 5]}
        passed_on = without_keys(configuration)
        self.assertNotIn("secret", repr(passed_on))
        teams = decode_catalog(passed_on).teams
        self.assertEqual(teams.team_of(key_digest("secret")).name, "a")
        self.assertEqual(configuration["tenants"][0]["apiKeys"], ["secret"])
