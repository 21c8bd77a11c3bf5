"""Tests with random faults in a simulated group; guarantees are checked on every answer."""

import unittest

from tests.succession.callers import CallerSimulation, GuaranteeViolationError
from tests.succession.simulation import NAMES

# Safety rules without which the simulation violates a guarantee. The check after a read makes up
# for a missing check before it, so both are switched off together.
NEEDED_RULES = (
    ("answer_expiry",),
    ("permit_wait",),
    ("lost_entry",),
    ("unknown_session",),
    ("read_age",),
    ("read_floor", "read_confirmed"),
)
FAULTS = ("crash", "cut", "split", "pause", "loss", "slow", "lag", "calm")


def inject_faults(simulation):
    """Replace the current faults by random ones."""
    random = simulation.random
    simulation.paused, simulation.cut, simulation.loss = set(), set(), 0.0
    simulation.max_delay, simulation.lag = 5, 0.0
    for member in simulation.members.values():
        member.up = True
    for fault in random.sample(FAULTS, random.choice((1, 1, 2))):
        if fault == "crash":
            simulation.members[random.choice(NAMES)].up = False
        elif fault == "cut":
            name = random.choice(NAMES)
            simulation.cut |= {(other, name) for other in (0, 1, 2, *NAMES)}
        elif fault == "split":
            isolated = random.randrange(3)
            inside = {isolated, NAMES[isolated]}
            outside = {0, 1, 2, *NAMES} - inside
            simulation.cut |= {(a, b) for a in inside for b in outside}
        elif fault == "pause":
            simulation.paused.add(random.randrange(3))
        elif fault == "lag":
            simulation.lag = 0.98
        elif fault == "loss":
            simulation.loss = 0.3
        elif fault == "slow":
            simulation.max_delay = 60


def run_with_faults(seed, rounds, rules_off=()):
    """Run rounds with random faults, sometimes with none, and return the simulation."""
    simulation = CallerSimulation(seed, rules_off)
    simulation.run(1000)
    for _ in range(rounds):
        inject_faults(simulation)
        simulation.run(simulation.random.randrange(300, 4500))
    return simulation


class PromiseTest(unittest.TestCase):
    def test_promises_hold_under_random_faults(self):
        """Guards against lost read-your-writes, late acknowledgements and stale reads."""
        totals = {"acknowledged": 0, "promotions": 0, "replica": 0, "primary": 0}
        for seed in range(10):
            try:
                simulation = run_with_faults(seed, 12)
            except GuaranteeViolationError as error:
                self.fail(f"seed {seed}: {error}")
            totals["acknowledged"] += len(simulation.acknowledged)
            totals["promotions"] += len(simulation.promotions)
            totals["replica"] += simulation.reads["replica"]
            totals["primary"] += simulation.reads["primary"]
        for name, minimum in {"acknowledged": 500, "promotions": 15, "replica": 200}.items():
            self.assertGreater(totals[name], minimum, totals)

    def test_group_recovers_after_the_faults(self):
        """Guards against a group that gets no primary after all faults have ended."""
        for seed in range(8):
            simulation = run_with_faults(seed, 6)
            simulation.paused, simulation.cut, simulation.loss = set(), set(), 0.0
            for member in simulation.members.values():
                member.up = True
            simulation.run(16_000)
            terms = {member.term for member in simulation.members.values()}
            self.assertEqual(len(terms), 1, f"seed {seed}")
            before = len(simulation.acknowledged)
            simulation.run(2000)
            self.assertGreater(len(simulation.acknowledged), before, f"seed {seed}")

    def test_rules_are_needed(self):
        """Guards against a simulation that would pass without the rules."""
        for rules in NEEDED_RULES:
            with self.assertRaises(GuaranteeViolationError, msg=rules):
                for seed in range(40):
                    run_with_faults(seed, 12, rules)
