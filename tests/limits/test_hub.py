"""What a hub accepts from its peers, and what it grants."""

import unittest
from datetime import timedelta

from attrs import evolve
from bramleyrill_core.limits import (
    GRANT_LIFETIME,
    LEND_LIFETIME,
    Grant,
    Hub,
    QuotaNode,
    QuotaTerms,
    Report,
    TeamGrant,
    TeamLimit,
    TeamReport,
    team_limits,
)
from bramleyrill_core.limits._lender import Loan
from bramleyrill_core.limits._terms import digests_of, group_of
from bramleyrill_core.teams import Team

SECOND = timedelta(seconds=1)
US = timedelta(microseconds=1)
START = 1000 * SECOND
TEAM, GROUP = 7, 0
LIMIT = TeamLimit(10, 10)


class HubTest(unittest.TestCase):
    def setUp(self):
        self.now = START
        self.hub = Hub(QuotaTerms())
        self.hub.apply({GROUP: {TEAM: LIMIT}}, self.now)
        self.stamp = 0

    def report(self, vm="vm1@1", lent=0.0, age=timedelta(), number=0, teams=(), stamp=None, **told):
        """Send a report with the given lend, or of the team with the given tokens."""
        self.stamp += 1
        hub_stamp_us = (self.now - age) // US if lent else 0
        rows = teams or ((TeamReport(TEAM, **told),) if told else ())
        report = Report(GROUP, stamp or self.stamp, number, lent, hub_stamp_us, rows)
        return self.hub.report(vm, report, 1, self.now)

    def fraction(self):
        return next(self.hub.groups()).fraction_at(self.now)

    def given(self, **told):
        return self.report(**told).teams[0].given

    def test_lend_beyond_the_whole_is_bounded(self):
        self.report("vm1@1", lent=0.8)
        self.report("vm2@1", lent=0.8)
        self.assertAlmostEqual(self.fraction(), 1.0)
        self.assertTrue(self.hub.take_problems())

    def test_lend_that_is_out_of_bounds_is_refused(self):
        for lent, age in (
            (-0.5, timedelta()),
            (2.0, timedelta()),
            (float("nan"), timedelta()),
            (0.5, timedelta(hours=-1)),
            (0.5, LEND_LIFETIME),
        ):
            with self.subTest(lent=lent, age=age):
                self.report(lent=lent, age=age)
                self.assertEqual(self.fraction(), 0)
                self.assertTrue(self.hub.take_problems())

    def test_lend_ends_its_lifetime_after_the_stamp(self):
        self.report(lent=1.0, age=SECOND)
        self.now += LEND_LIFETIME - SECOND
        self.assertEqual(self.fraction(), 0)

    def test_repeated_report_returns_nothing_twice(self):
        self.report(lent=1.0)
        self.now += SECOND
        grant = self.report(urgent=6, wanted=6)
        self.assertEqual(grant.teams[0].given, 6)
        back = {"held": 0, "returned": 6, "number": grant.number, "stamp": 1_000_000}
        self.assertIsNotNone(self.report(**back))
        self.assertIsNone(self.report(**back))
        self.stamp = 1_000_000
        self.assertLessEqual(self.given(urgent=100, wanted=100), 10)

    def test_returned_tokens_that_were_not_given_are_refused(self):
        self.report(lent=1.0)
        self.report(returned=50, wanted=0)
        self.assertEqual(self.given(urgent=5, wanted=5), 0)

    def test_partial_report_keeps_what_is_known_of_other_teams(self):
        self.report(lent=1.0)
        self.now += SECOND
        self.assertEqual(self.given(urgent=10, wanted=10), 10)
        self.hub.report("vm1@1", Report(GROUP, 10_000, partial=True), 1, self.now)
        self.now += SECOND / 2
        self.assertEqual(self.given(vm="vm2@1", urgent=10, wanted=10), 0)

    def test_tokens_of_silent_vms_count_until_they_run_out(self):
        self.report(lent=1.0)
        self.now += SECOND
        self.assertEqual(self.given(urgent=10, wanted=10), 10)
        self.now += SECOND
        self.assertEqual(self.given(vm="vm2@1", urgent=10, wanted=10), 0)

    def test_tokens_of_what_is_not_lent_any_more_run_out(self):
        """Extended again and again, they would outlive the lock of what backed them."""
        self.report(lent=1.0)
        self.now += SECOND
        grant = self.report(urgent=10, wanted=10)
        self.now += LEND_LIFETIME - SECOND
        later = self.report(held=10, number=grant.number)
        self.assertFalse(later.teams[0].extended)

    def test_lender_waits_for_the_last_lend_and_grant(self):
        loan = Loan(self.now)
        loan.lend("vm2@1", self.now)
        self.assertTrue(loan.may_lend("vm2@1", self.now))
        last_use = self.now + LEND_LIFETIME + GRANT_LIFETIME
        self.assertFalse(loan.may_lend("vm2@2", last_use))
        self.assertTrue(loan.may_lend("vm2@2", last_use + SECOND))

    def test_team_without_a_limit_here_gets_nothing(self):
        """A peer of another version may report teams that this one does not limit."""
        self.report(lent=1.0)
        grant = self.report(teams=(TeamReport(99, urgent=5, wanted=5),))
        self.assertEqual(grant.teams, (TeamGrant(99, extended=False),))
        self.assertIsNone(self.hub.report("vm1@1", Report(5, 10_000), 1, self.now))

    def test_missing_token_has_the_time_of_the_next(self):
        self.report(lent=0.5)
        self.assertEqual(self.report(urgent=1, wanted=1).teams[0].retry_ms, 200)

    def test_tokens_do_not_survive_the_end_of_what_backed_them(self):
        self.report(lent=1.0)
        self.now += LEND_LIFETIME
        self.report(lent=1.0)
        self.assertEqual(self.given(urgent=10, wanted=10), 0)


class GrantTest(unittest.TestCase):
    """What a VM accepts from a hub."""

    def setUp(self):
        team = "harbour"
        self.node = QuotaNode("vm1", "vm1@1", QuotaTerms(), START)
        self.node.apply({team: LIMIT}, 5, START)
        self.digest = digests_of([team])[team]
        self.group = group_of(self.digest)
        self.node.record_arrival(team, START)
        messages = self.node.tick({"vm2": "vm2@1"}, START)
        report = next(item for vm, item in messages if item.group == self.group)
        row = TeamGrant(self.digest, 3)
        self.grant = Grant(self.group, 1, 1, report.stamp_us, (row,), version=5)

    def tokens_after(self, *grants, sender="vm2@1", now=START):
        for grant in grants:
            self.node.on_grant(sender, grant, now)
        return self.node.unused_tokens("harbour", now)

    def test_grant_of_the_hub_is_taken_once(self):
        self.assertEqual(self.tokens_after(self.grant, self.grant), 3)

    def test_tokens_run_out_by_this_clock(self):
        """A VM that was suspended wakes with tokens that others have got meanwhile."""
        self.tokens_after(self.grant)
        self.assertFalse(self.node.take("harbour", START + 2 * SECOND))

    def test_late_grant_is_refused(self):
        self.assertEqual(self.tokens_after(self.grant, now=START + 2 * SECOND), 0)

    def test_grant_of_another_process_is_refused(self):
        for sender in ("vm3@1", "vm2@2"):
            self.assertEqual(self.tokens_after(self.grant, sender=sender), 0)

    def test_grant_that_is_out_of_bounds_is_bounded(self):
        for row in (TeamGrant(self.digest, 10**9), TeamGrant(self.digest, -5), TeamGrant(99, 3)):
            with self.subTest(row=row):
                self.setUp()
                self.assertLessEqual(self.tokens_after(evolve(self.grant, teams=(row,))), 10)
                self.assertIn("quota_message_bounded", [event.name for event in self.node.events])

    def test_vm_holds_no_more_tokens_than_it_can_report(self):
        """The hub would think that the others were used, and grant them again."""
        self.node.apply({"harbour": TeamLimit(1e9, 1e9)}, 5, START)
        huge = evolve(self.grant, teams=(TeamGrant(self.digest, 10**8),))
        self.assertEqual(self.tokens_after(huge), 2**15 - 1)

    def test_partial_report_does_not_give_up_tokens_of_other_teams(self):
        """A request for one team would free the tokens of the others, which are still used."""
        limits = {"harbour": LIMIT, "mill": LIMIT, "quay": LIMIT, "weir": LIMIT, "yard": LIMIT}
        self.node.apply(limits, 5, START)
        self.tokens_after(self.grant)
        other = next(
            team
            for team in limits
            if team != "harbour" and self.node.group_of_team(team) == self.group
        )
        self.node.record_arrival(other, START).waiting = 1
        [(_, report)] = self.node.request(self.group, START)
        self.assertTrue(report.partial)
        self.assertEqual([row.urgent for row in report.teams], [1])

    def test_grant_for_a_report_that_was_not_sent_is_refused(self):
        future = evolve(self.grant, report_stamp_us=self.grant.report_stamp_us + 3_600_000_000)
        self.assertEqual(self.tokens_after(future), 0)

    def test_grant_of_a_version_before_the_limit_was_lowered_is_refused(self):
        self.node.apply({"harbour": TeamLimit(2, 2)}, 6, START)
        self.assertEqual(self.tokens_after(self.grant), 0)


class TeamLimitsTest(unittest.TestCase):
    def test_unusable_values_are_bounded_and_reported(self):
        """A limit that cannot be read must not be no limit."""
        for rate, burst, expected in (
            (-1, 5, TeamLimit(0, 5)),
            (float("nan"), 5, TeamLimit(0, 5)),
            ("many", 5, TeamLimit(0, 5)),
            (True, 5, TeamLimit(0, 5)),
            (1e12, 1e12, TeamLimit(1e9, 1e9)),
            (float("inf"), 5, TeamLimit(1e9, 5)),
            (5, -1, TeamLimit(5, 0)),
        ):
            with self.subTest(rate=rate, burst=burst):
                limits, problems = team_limits([Team("harbour", rate, burst)])
                self.assertEqual((limits["harbour"], len(problems)), (expected, 1))

    def test_usable_values_are_kept(self):
        for rate, burst, expected in (
            (0.25, 1, TeamLimit(0.25, 1)),
            (4, None, TeamLimit(4, 4)),
            (0, 0, TeamLimit(0, 0)),
        ):
            limits, problems = team_limits([Team("harbour", rate, burst)])
            self.assertEqual((limits["harbour"], problems), (expected, []))
        self.assertEqual(team_limits([Team("harbour", None, 5)]), ({}, []))
