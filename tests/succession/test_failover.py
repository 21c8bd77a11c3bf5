"""Tests of the change of primary in a simulated group."""

import unittest
from datetime import timedelta

from bramleyrill_core import Core, MemberRole, Rules, TermStart
from bramleyrill_core.succession import (
    AppendSpan,
    PlannedChangeRequested,
    SendFence,
    Span,
    SpansChanged,
    SuccessionTables,
    entry_expiry,
    leader_of,
    next_span,
    pauses_writes,
    permit_for,
)
from bramleyrill_core.succession._terms import most_advanced

from tests.succession.simulation import DATABASE, NAMES, Simulation, ms
from tests.worlds import build_world, status


def permit_at(simulation, name):
    return permit_for(simulation.world(NAMES.index(name)), DATABASE)


def run_until_writable(simulation, above, limit=16_000):
    """Run until a primary of a term above `above` has a permit.

    Return the time taken in milliseconds, or None if that exceeds `limit`.
    """
    start = simulation.now
    while simulation.now - start < limit:
        simulation.run(10)
        leader = simulation.primary()
        if leader and leader.term > above and permit_at(simulation, leader.name):
            return simulation.now - start
    return None


class FailoverTest(unittest.TestCase):
    def test_gap_after_a_crash_and_a_cut(self):
        """Guards against a failover gap beyond 4 s, in simulated time."""
        for seed in range(8):
            for cut in (False, True):
                simulation = Simulation(seed)
                simulation.max_delay = 25
                simulation.run(2000 + 37 * seed)
                if cut:
                    others = (0, 1, 2, "m2", "m3")
                    simulation.cut = {(other, "m1") for other in others}
                else:
                    simulation.members["m1"].up = False
                self.assertLess(run_until_writable(simulation, 1), 4000, (seed, cut))

    def test_second_failure_in_a_row(self):
        """Guards against a group that fails over only once, or whose old primary stays fenced."""
        simulation = Simulation(1)
        simulation.run(2000)
        for _ in range(3):
            leader = simulation.primary()
            leader.up = False
            self.assertIsNotNone(run_until_writable(simulation, leader.term))
            leader.up = True
            simulation.run(6000)
            self.assertEqual(
                {m.term for m in simulation.members.values()}, {simulation.primary().term}
            )

    def test_cut_off_supervisor_fences_nobody(self):
        """Guards against a minority that raises terms and disrupts the group when it reconnects."""
        simulation = Simulation(2)
        simulation.run(2000)
        simulation.cut = {(2, 0), (2, 1), (2, "m1"), (2, "m2"), ("m3", "m1"), ("m3", "m2")}
        simulation.run(20_000)
        self.assertFalse([e for _, _, e in simulation.effects if isinstance(e, SendFence)])
        self.assertIsNotNone(permit_at(simulation, "m1"))

    def test_member_left_behind_at_a_higher_term_is_taken_back(self):
        """Guards against a member that stays fenced forever after an abandoned attempt."""
        simulation = Simulation(3)
        simulation.run(2000)
        simulation.members["m3"].fence(9)
        simulation.run(12_000)
        self.assertGreater(simulation.primary().term, 9)
        self.assertEqual(simulation.members["m3"].role, MemberRole.REPLICA)

    def test_planned_change_loses_no_entry(self):
        """Guards against a planned change that promotes a replica before it has every entry."""
        for seed in range(6):
            simulation = Simulation(seed)
            simulation.run(2000)
            for index in range(3):
                simulation.world(index)
                simulation.deliver(index, PlannedChangeRequested(DATABASE))
            entries = 0
            for _ in range(300):
                leader = simulation.primary()
                writes_paused = leader and pauses_writes(
                    simulation.world(NAMES.index(leader.name)), DATABASE
                )
                if leader and not writes_paused and permit_at(simulation, leader.name):
                    simulation.write(leader, entries)
                    entries += 1
                simulation.run(10)
            self.assertNotEqual(simulation.primary().name, "m1")
            self.assertEqual([p for _, p in simulation.primary().log], list(range(entries)))

    def test_no_platform_write_during_a_failover(self):
        """Guards against a failover that needs the platform."""
        simulation = Simulation(4)
        simulation.run(2000)
        simulation.members["m1"].up = False
        run_until_writable(simulation, 1)
        self.assertFalse([e for _, _, e in simulation.effects if isinstance(e, AppendSpan)])


class ProgressTest(unittest.TestCase):
    def test_started_term_outranks_more_entries_of_the_term_before(self):
        """Guards against entries that reappear after they were reported to callers as lost."""
        statuses = {
            "m1": status("m1", 6, 137, last_term=3, history=((1, 0), (3, 101), (4, 137))),
            "m3": status("m3", 6, 139, last_term=3, history=((1, 0), (3, 101))),
        }
        self.assertEqual(most_advanced(statuses, Rules()), ["m1"])

    def test_returned_log_with_entries_that_were_given_up_does_not_outrank_a_shorter_one(self):
        """Guards against entries that reappear when the leader that gave them up is lost.

        Term 4 began at 101. m3 was fenced into it and has received nothing of it yet.
        """
        statuses = {
            "m1": status("m1", 3, 137, last_term=3, history=((1, 0), (3, 90))),
            "m3": status("m3", 4, 95, last_term=3, history=((1, 0), (3, 90))),
        }
        starts = [TermStart(1, 0), TermStart(3, 90), TermStart(4, 101)]
        self.assertEqual(most_advanced(statuses, Rules()), ["m1"])
        self.assertEqual(most_advanced(statuses, Rules(), starts), ["m3"])
        self.assertEqual(most_advanced({"m1": statuses["m1"]}, Rules(), starts), ["m1"])


class SpanTest(unittest.TestCase):
    def test_member_lists_change_by_one_member_above_the_term_in_use(self):
        """Guards against successive member lists whose majorities share no member."""
        spans = (Span(1, NAMES),)
        first = next_span(spans, ("m4", "m5", "m3"), 7)
        self.assertEqual(first, Span(8, (*NAMES, "m4")))
        second = next_span((*spans, first), ("m3", "m4"), 8)
        self.assertEqual(second, Span(9, ("m2", "m3", "m4")))
        self.assertIsNone(next_span(spans, ("m3", "m2", "m1"), 7))
        self.assertEqual(
            [leader_of((*spans, first), t) for t in (6, 7, 8, 11)], ["m3", "m1", "m1", "m4"]
        )

    def test_late_answer_of_the_platform_takes_no_span_back(self):
        """Guards against an old answer that removes the span of the term in force."""
        core = Core(build_world())
        both = (Span(1, NAMES), Span(8, (*NAMES, "m4")))
        core.handle(SpansChanged(DATABASE, both))
        core.handle(SpansChanged(DATABASE, both[:1]))
        self.assertEqual(core.world.tables(SuccessionTables).spans.get(DATABASE), both)


class ExpiryTest(unittest.TestCase):
    def test_expiry_on_the_entry_side(self):
        """Guards against an answer acknowledged after its permit, even for a long statement."""
        self.assertEqual(entry_expiry(ms(5000), ms(200), ms(1000)), ms(5794))
        late = entry_expiry(ms(0), ms(-60_000), ms(1000))
        self.assertEqual(late, ms(61_000) - ms(61) - ms(5))
        self.assertIsInstance(late, timedelta)
