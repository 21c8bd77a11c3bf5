"""Verdicts on recorded delays, and what follows from them."""

import unittest
from datetime import timedelta

from bramleyrill_core.vm_health import (
    Change,
    RotationBudget,
    RoundTrips,
    SelfObservation,
    SlownessState,
    Verdict,
    accepted_delay,
)

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
TICK = 100 * MS
PROBE = timedelta(microseconds=15)


class Machine:
    """A VM's own observation over recorded delays, one timer after the other."""

    def __init__(self, peers=8):
        self.peers = peers
        self.observation = SelfObservation()
        self.state = SlownessState()
        self.now = 10 * SECOND
        self.changes = []
        self.timers = 0
        self.run(40)

    def run(self, timers, late_by=2 * MS, slowdown=1.0, use=0.1, peer_delay=2 * MS, may=True):
        """Play timers that are late by `late_by`; return the last evidence."""
        for _ in range(timers):
            self.timers += 1
            is_regular = self.timers % 5 == 0
            self.now += TICK + late_by
            self.observation.record_timer(late_by)
            if self.observation.suspicious or is_regular:
                self.observation.record_probe(PROBE * slowdown, is_regular)
                self.observation.record_processor(use * TICK, TICK)
            for peer in range(self.peers):
                self.observation.record_peer_delay(f"vm{peer}", peer_delay, self.now)
            evidence = self.observation.judge(self.now, self.peers)
            change = self.state.update(evidence, self.now, may)
            if change is not None:
                self.changes.append(change)
        return evidence

    def report(self, count, late_by):
        for peer in range(count):
            self.observation.record_report(f"vm{peer}", late_by, self.now)


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.machine = Machine()

    def test_healthy_vm_is_never_marked(self):
        self.machine.run(600, late_by=20 * MS)
        self.assertEqual(self.machine.changes, [])

    def test_slow_processor_is_found_within_two_seconds(self):
        """Nothing failed over while each statement at the VM took six times as long."""
        began = self.machine.now
        while not self.machine.state.slow:
            evidence = self.machine.run(1, late_by=40 * MS, slowdown=6)
        self.assertLess(self.machine.now - began, 2 * SECOND)
        self.assertIs(evidence.verdict, Verdict.SLOW)
        self.assertEqual(evidence.reason, "processor")

    def test_late_timers_without_own_work_are_slow(self):
        """A process that is not given the processor sees neither work nor a slow processor."""
        began = self.machine.now
        while not self.machine.state.slow:
            evidence = self.machine.run(1, late_by=200 * MS, use=0.1)
        self.assertLess(self.machine.now - began, 2.5 * SECOND)
        self.assertEqual(evidence.reason, "timers")

    def test_much_own_work_is_busy_and_marks_only_when_it_lasts(self):
        """A burst of seconds would move members to and fro, at the price of new connections."""
        evidence = self.machine.run(12, late_by=150 * MS, use=0.9)
        self.assertIs(evidence.verdict, Verdict.BUSY)
        self.assertEqual(self.machine.changes, [])
        self.machine.run(24, late_by=150 * MS, use=0.9)
        self.assertEqual(self.machine.changes, [Change.MARK])
        self.assertFalse(self.machine.state.is_clear)

    def test_freeze_is_one_late_timer_and_no_slowness(self):
        """A VM that woke up is as fast as before; its peers found it dead meanwhile."""
        self.assertIs(self.machine.run(1, late_by=6 * SECOND).verdict, Verdict.FINE)
        self.machine.run(20)
        self.assertEqual(self.machine.changes, [])

    def test_delay_that_all_vms_have_is_no_reason(self):
        """If all are slow at once, moving their work to each other helps nobody."""
        evidence = self.machine.run(60, late_by=200 * MS, use=0.3, peer_delay=180 * MS)
        self.assertIs(evidence.verdict, Verdict.FINE)
        self.assertEqual(self.machine.changes, [])

    def test_one_slow_peer_does_not_hide_a_slow_vm(self):
        self.machine.observation.record_peer_delay("vm9", 900 * MS, self.machine.now)
        self.machine.run(20, late_by=200 * MS)
        self.assertEqual(self.machine.changes, [Change.MARK])

    def test_slow_vm_without_peers_is_judged_by_its_own_delays(self):
        machine = Machine(peers=0)
        machine.run(20, late_by=200 * MS)
        self.assertEqual(machine.changes, [Change.MARK])

    def test_clock_that_runs_backwards_is_no_delay(self):
        self.machine.observation.record_timer(-5 * SECOND)
        self.machine.observation.record_probe(-PROBE)
        self.machine.observation.record_processor(-SECOND, -SECOND)
        self.assertIs(self.machine.run(1).verdict, Verdict.FINE)

    def test_nothing_is_marked_beyond_the_bound(self):
        self.machine.run(40, slowdown=6, may=False)
        self.assertEqual(self.machine.changes, [])

    def test_processor_that_stays_slower_becomes_the_usual(self):
        """A VM that was moved to a slower machine for good would be passed by for ever."""
        began = self.machine.now
        while self.machine.changes != [Change.MARK, Change.CLEAR]:
            self.machine.run(1, slowdown=4)
        self.assertLess(self.machine.now - began, 30 * SECOND)
        self.machine.run(600, slowdown=4)
        self.assertFalse(self.machine.state.slow)


class ReportTest(unittest.TestCase):
    def judge(self, observers, peers=8):
        machine = Machine(peers)
        for _ in range(12):
            machine.report(observers, 300 * MS)
            machine.run(1)
        return machine

    def test_vm_whose_answers_are_late_at_many_peers_is_slow(self):
        """Its timers fire in time if only its link is bad."""
        machine = self.judge(3)
        self.assertEqual(machine.changes, [Change.MARK])
        evidence = machine.observation.judge(machine.now, 8)
        self.assertEqual((evidence.reason, len(evidence.observer_vms)), ("answers", 3))

    def test_one_observer_with_a_bad_link_marks_nobody(self):
        for observers, peers in ((1, 8), (2, 8), (1, 1), (1, 2)):
            with self.subTest(observers=observers, peers=peers):
                self.assertEqual(self.judge(observers, peers).changes, [])

    def test_round_trip_is_late_beside_the_domain(self):
        round_trips = RoundTrips()
        for number in range(20):
            self.assertFalse(round_trips.record("near", (1 + number % 3) * MS))
            self.assertFalse(round_trips.record("far", (40 + number % 3) * MS))
        self.assertGreater(round_trips.record("near", 100 * MS), 90 * MS)
        self.assertFalse(round_trips.record("far", 80 * MS))
        self.assertIsNone(round_trips.record("near", -MS))

    def test_observer_with_a_bad_link_finds_all_its_round_trips_usual(self):
        round_trips = RoundTrips()
        late = [round_trips.record("near", (300 + 17 * (n % 5)) * MS) for n in range(40)]
        self.assertFalse(any(late))

    def test_domains_are_bounded(self):
        round_trips = RoundTrips()
        for number in range(1000):
            round_trips.record(f"zone-{number}", MS)
        self.assertEqual(len(round_trips._recent_by_domain), 64)

    def test_impossible_delay_of_a_peer_is_rejected(self):
        self.assertIsNone(accepted_delay(None))
        self.assertEqual(accepted_delay(2000), 2 * MS)
        for told in (-1, 10**9, 2**62, "5", 1.5):
            with self.subTest(told=told), self.assertRaises(ValueError):
                accepted_delay(told)

    def test_what_peers_tell_is_bounded(self):
        observation = SelfObservation()
        for number in range(10_000):
            observation.record_peer_delay(f"vm{number}", MS, SECOND)
        self.assertLessEqual(len(observation._delay_by_peer), 256)


class HysteresisTest(unittest.TestCase):
    def spell(self, machine):
        """Play a slow spell and return how long the VM calls itself slow after it."""
        machine.run(15, slowdown=6)
        self.assertTrue(machine.state.slow)
        ended = machine.now
        while machine.state.slow:
            machine.run(1)
        return machine.now - ended

    def test_mark_ends_slowly_and_later_each_time(self):
        """A VM that is fine without work is slow again as soon as the work is back."""
        machine = Machine()
        for seconds in (3, 6, 12, 12):
            length = self.spell(machine)
            self.assertGreater(length, seconds * SECOND)
            self.assertLess(length, (seconds + 1) * SECOND)
        machine.run(400)
        self.assertLess(self.spell(machine), 4 * SECOND)

    def test_vm_is_out_of_rotation_for_at_most_a_tenth_of_the_time(self):
        """A wrong verdict that stays would cost the domain a VM for good."""
        budget = RotationBudget()
        seconds = [budget.is_out(True, second * SECOND) for second in range(1000)]
        self.assertTrue(seconds[0])
        self.assertLessEqual(sum(seconds), 101)

    def test_short_spell_ends_at_once_and_allows_another_soon(self):
        budget = RotationBudget()
        self.assertTrue(budget.is_out(True, SECOND))
        self.assertFalse(budget.is_out(False, 3 * SECOND))
        self.assertFalse(budget.is_out(True, 5 * SECOND))
        self.assertTrue(budget.is_out(True, 22 * SECOND))
