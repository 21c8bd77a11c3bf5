"""The limit holds in every window, whatever fails; and a team gets what its limit allows."""

import unittest
from datetime import timedelta

from bramleyrill_core.limits import GRANT_LIFETIME, LOCK, Hub, QuotaTerms, Report, TeamLimit
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.limits.fleet import MS, TERMS, Fleet, largest_excess

SECOND = timedelta(seconds=1)
SIZE = 6
LIMITS = {"large": TeamLimit(40, 40), "small": TeamLimit(0.5, 1)}
OVER_LIMIT = {"large": 120, "small": 4}
VMS = st.integers(0, SIZE - 1)
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["restart", "stop", "cut", "heal", "lose", "limits", "freeze", "leave", "join"]
        ),
        VMS,
        st.integers(1, 30),
    ),
    min_size=3,
    max_size=8,
)


def started_fleet(size=SIZE, limits=LIMITS, **changes):
    fleet = Fleet(size, limits, **changes)
    fleet.run(LOCK + 2 * SECOND, {})
    return fleet


def inject(fleet, fault, number, tenths):
    """Bring one failure about."""
    vm = f"vm{number}"
    if fault == "restart":
        fleet.start(vm, listed=True)
    elif fault == "stop":
        fleet.stop(vm)
    elif fault == "cut":
        fleet.side_of = {f"vm{other}": int(other <= number) for other in range(SIZE)}
    elif fault == "heal":
        fleet.side_of, fleet.loss, fleet.repeat, fleet.lag = {}, 0.0, 0.0, timedelta()
    elif fault == "lose":
        fleet.loss, fleet.repeat, fleet.lag = 0.2, 0.3, 3 * SECOND
    elif fault == "limits":
        fleet.change_limits({team: TeamLimit(tenths, tenths) for team in LIMITS})
    elif fault == "freeze":
        fleet.freeze(vm, tenths * 200 * MS)
    elif fault == "join":
        fleet.start(f"vm{SIZE + number}", listed=True)
    elif vm not in fleet.down and len(fleet.nodes) - len(fleet.down) > 1:
        fleet.send(vm, fleet.nodes[vm].leave(fleet.now))
        fleet.stop(vm)


class BoundTest(unittest.TestCase):
    @settings(
        max_examples=25,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(faults=FAULTS, seed=st.integers(0, 999))
    def test_no_history_passes_the_limit(self, faults, seed):
        """Three times the limit arrives at random VMs while messages, VMs and limits fail."""
        for terms in (TERMS, QuotaTerms()):
            fleet = started_fleet(terms=terms, seed=seed)
            fleet.checks = True
            for fault, number, tenths in faults:
                inject(fleet, fault, number, tenths)
                fleet.run(tenths * 100 * MS, OVER_LIMIT)
            # The rules that the bound follows from; a window alone shows a breach of them late.
            self.assertEqual(fleet.broken, [])
            for team, limit in fleet.highest.items():
                # Without stated terms a window of the same length has no tolerance at all.
                checked = QuotaTerms(TERMS.window, terms.over, terms.slack)
                self.assertLessEqual(largest_excess(fleet.runs_by_team[team], limit, checked), 0)


class ServiceTest(unittest.TestCase):
    """What a team gets below its limit."""

    def refused_share(self, fleet, seconds, rates):
        refused, ran = fleet.refused, sum(map(len, fleet.runs_by_team.values()))
        fleet.run(seconds * SECOND, rates)
        ran = sum(map(len, fleet.runs_by_team.values())) - ran
        return (fleet.refused - refused) / (ran + fleet.refused - refused)

    def test_team_with_fewer_operations_than_vms_is_served(self):
        """An equal share of such a limit is below one token at each VM."""
        fleet = started_fleet(30, {"small": TeamLimit(0.5, 1)})
        self.assertLessEqual(self.refused_share(fleet, 60, {"small": 0.3}), 0.02)

    def test_uneven_use_gets_what_the_limit_allows(self):
        fleet = started_fleet(12, {"large": TeamLimit(60, 60)})
        fleet.run(10 * SECOND, {"large": 40})
        self.assertLessEqual(self.refused_share(fleet, 20, {"large": 40}), 0.02)

    def test_team_over_its_limit_gets_its_limit(self):
        fleet = started_fleet(12, {"large": TeamLimit(60, 60)})
        fleet.run(20 * SECOND, {"large": 300})
        self.assertGreaterEqual(len(fleet.runs_by_team["large"]), 0.95 * 60 * 20)

    def test_team_within_its_limit_is_served_beside_one_over_it(self):
        fleet = started_fleet(12, {"hot": TeamLimit(20, 20), "calm": TeamLimit(20, 20)})
        fleet.run(20 * SECOND, {"hot": 160, "calm": 12})
        use = sum(node.uses["calm"].refused for node in fleet.nodes.values())
        self.assertLessEqual(use, 0.02 * 12 * 20)

    def test_third_that_is_cut_off_gets_its_part(self):
        """All VMs take their part of the callers; what each side owns suffices for them."""
        fleet = started_fleet(12, {"large": TeamLimit(64, 64)})
        fleet.run(5 * SECOND, {"large": 40})
        fleet.side_of = {f"vm{number}": 1 for number in range(4)}
        # A fraction that was lent across the cut is locked first.
        fleet.run(LOCK + 2 * SECOND, {"large": 40})
        self.assertLessEqual(self.refused_share(fleet, 20, {"large": 40}), 0.05)

    def test_first_operation_after_a_pause_finds_a_token(self):
        """Without lends in the pause the tokens of all teams were lost."""
        fleet = started_fleet(12, {"small": TeamLimit(2, 2)})
        fleet.run(60 * SECOND, {})
        self.assertEqual(self.refused_share(fleet, 10, {"small": 1}), 0)

    def test_started_vm_uses_tokens_of_the_others_at_once(self):
        """It owns nothing yet, and its callers would be refused for seconds."""
        fleet = started_fleet(12, {"large": TeamLimit(60, 60)})
        fleet.run(5 * SECOND, {"large": 30})
        fleet.start("vm12", listed=True)
        fleet.run(2 * SECOND, {"large": 30})
        self.assertEqual(fleet.nodes["vm12"].count.fraction(fleet.now), 0)
        self.assertGreater(fleet.nodes["vm12"].uses["large"].used, 0)

    def test_hub_that_stops_by_plan_releases_what_is_lent(self):
        """Its lenders would otherwise wait until its last lend and grant have run out."""
        fleet = started_fleet(6, {"large": TeamLimit(60, 60)})
        fleet.run(5 * SECOND, {"large": 30})
        hub = next(vm for vm in fleet.nodes if any(fleet.lent_to(vm)))
        fleet.send(hub, fleet.nodes[hub].leave(fleet.now))
        fleet.advance(30 * MS)
        fleet.stop(hub)
        fleet.run(3500 * MS, {"large": 30})
        lent = sum(sum(fleet.lent_to(vm)) for vm in fleet.nodes if vm != hub)
        self.assertGreaterEqual(lent, 0.8)

    def test_fleet_that_restarts_as_a_whole_serves_within_two_seconds(self):
        """Each VM waited for a whole lock, though no VM could hold what it had lent before."""
        fleet = started_fleet(12, {"large": TeamLimit(60, 60)})
        fleet.run(5 * SECOND, {"large": 40})
        for number in range(12):
            fleet.start(f"vm{number}", listed=True)
        fleet.run(2 * SECOND, {"large": 40})
        self.assertLessEqual(self.refused_share(fleet, 5, {"large": 40}), 0.05)

    def test_vm_that_restarts_lends_when_the_tokens_of_its_old_lends_are_gone(self):
        """Its fraction was unused for the length of a lock."""
        fleet = started_fleet(6, {"large": TeamLimit(60, 60)})
        fleet.run(5 * SECOND, {"large": 40})
        lender = next(vm for vm in fleet.nodes if not any(fleet.lent_to(vm)))
        fleet.start(lender, listed=True)
        fleet.run(GRANT_LIFETIME + 2 * SECOND, {"large": 40})
        lent = max(sum(fleet.lent_to(vm)) for vm in fleet.nodes)
        self.assertAlmostEqual(lent, 1.0, places=6)

    def test_late_report_of_an_ended_process_lends_nothing(self):
        """What it lent is lent to another hub already."""
        hub = Hub(TERMS)
        hub.apply({0: {1: TeamLimit(10, 10)}}, SECOND)
        hub.forget_earlier("vm1@7", SECOND)
        report = Report(0, 5, 0, 0.5, SECOND // timedelta(microseconds=1))
        hub.report("vm1@6", report, 1, SECOND)
        self.assertEqual(hub.serve(0, SECOND).fraction_at(SECOND), 0.0)
        hub.report("vm1@7", report, 1, SECOND)
        self.assertEqual(hub.serve(0, SECOND).fraction_at(SECOND), 0.5)

    def test_lowered_limit_binds_at_once(self):
        fleet = started_fleet(12, {"large": TeamLimit(100, 100)})
        fleet.run(5 * SECOND, {"large": 60})
        fleet.change_limits({"large": TeamLimit(5, 5)})
        changed_at = fleet.now
        fleet.run(10 * SECOND, {"large": 60})
        later = [time for time in fleet.runs_by_team["large"] if time > changed_at]
        self.assertLessEqual(largest_excess(later, TeamLimit(5, 5)), 0)

    def test_raised_limit_is_used_within_two_windows(self):
        fleet = started_fleet(12, {"large": TeamLimit(5, 5)})
        fleet.change_limits({"large": TeamLimit(100, 100)})
        fleet.run(2 * TERMS.window, {"large": 60})
        self.assertLessEqual(self.refused_share(fleet, 5, {"large": 60}), 0.02)

    def test_team_without_use_costs_no_message_of_its_own(self):
        """Without use only the lends are renewed, whatever the number of teams."""
        costs = []
        for teams in (1, 40):
            limits = {f"team{number}": TeamLimit(5, 5) for number in range(teams)}
            fleet = started_fleet(12, limits)
            before = fleet.messages
            fleet.run(10 * SECOND, {})
            costs.append((fleet.messages - before) / 12 / 10)
        # A request to lend and its answer for each of three groups, at most once a second.
        self.assertLessEqual(max(costs), 2 * 3)
