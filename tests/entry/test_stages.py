"""Admission at a member: on-time and late stage, ranks, and overload."""

import unittest
from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import Rank
from bramleyrill_core.admission import (
    MemberAdmission,
    Queued,
    Refused,
    Started,
    max_start_delay,
)

MS = timedelta(milliseconds=1)


class StagesTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.admission = MemberAdmission("pieces", 1, 10 * MS, self.clock)

    def submit(self, request_id, on_time=100, max_wait=1000, rank=Rank.EVERYDAY):
        now = self.clock.monotonic()
        return self.admission.submit(request_id, rank, now + on_time * MS, now + max_wait * MS)

    def test_request_that_can_still_be_on_time_goes_before_a_late_one(self):
        """With first come, first served, a long burst would make every request late."""
        self.assertIsInstance(self.submit(1), Started)
        self.assertIsInstance(self.submit(2, on_time=0), Queued)
        self.assertIsInstance(self.submit(3), Queued)
        self.assertEqual([item.id for item in self.admission.finish(1)], [3])
        self.assertEqual([item.id for item in self.admission.finish(3)], [2])

    def test_request_that_becomes_late_stays_queued(self):
        """A late answer is more useful to a caller than a refusal."""
        self.submit(1)
        self.submit(2, on_time=20)
        self.clock.advance(50 * MS)
        self.assertEqual(self.admission.tick(), [])
        self.assertEqual(self.admission.finish(1), [Started(2)])

    def test_request_that_waited_too_long_is_refused(self):
        self.submit(1)
        self.submit(2, on_time=20, max_wait=40)
        self.clock.advance(25 * MS)
        self.admission.tick()
        self.clock.advance(25 * MS)
        outcomes = self.admission.tick()
        self.assertEqual([type(item) for item in outcomes], [Refused])

    def test_urgent_goes_first(self):
        self.submit(1)
        self.submit(2)
        self.submit(3, rank=Rank.URGENT)
        self.assertEqual(self.admission.finish(1), [Started(3)])

    def test_transaction_that_started_late_goes_on(self):
        """Its next statement failed, as no request of its rank had been on time there yet."""
        self.assertIsInstance(self.submit(1, on_time=0), Started)
        self.admission.pause(1)
        now = self.clock.monotonic()
        self.assertEqual(self.admission.resume(1, Rank.EVERYDAY, now + 100 * MS), Started(1))

    def test_transaction_gives_its_slot_back_between_statements(self):
        self.submit(1)
        self.submit(2)
        self.assertEqual(self.admission.pause(1), [Started(2)])
        now = self.clock.monotonic()
        self.assertIsInstance(self.admission.resume(1, Rank.EVERYDAY, now + 100 * MS), Queued)
        self.assertEqual(self.admission.finish(2), [Started(1)])


class OverloadTest(unittest.TestCase):
    """Twice the load that a member's slot can take, for several seconds."""

    SERVICE_TIME = 10 * MS
    TARGET = 500 * MS
    # Round trip between the caller and the member's holder.
    ROUND_TRIP = 50 * MS
    STEPS = 1000

    def setUp(self):
        self.clock = ManualClock()
        self.admission = MemberAdmission("pieces", 1, self.SERVICE_TIME, self.clock)
        self.arrived_by_id = {}
        self.running = {}
        self.on_time = 0

    def test_requests_that_are_served_are_on_time(self):
        """A request that starts just before its target is late after its run and the network."""
        capacity = self.STEPS * (5 * MS) / self.SERVICE_TIME
        for number in range(self.STEPS):
            self.step(number)
        self.assertGreater(self.on_time, 0.85 * capacity)

    def step(self, number):
        now = self.clock.monotonic()
        for running, ends in list(self.running.items()):
            if ends <= now:
                self.finish(running, now)
        left = max_start_delay(self.TARGET, False)
        self.arrived_by_id[number] = now
        outcome = self.admission.submit(number, Rank.EVERYDAY, now + left, now + 6000 * MS)
        self.start([outcome], now)
        if number % 20 == 0:
            self.start(self.admission.tick(), now)
        self.clock.advance(5 * MS)

    def finish(self, number, now):
        del self.running[number]
        if now + self.ROUND_TRIP - self.arrived_by_id[number] <= self.TARGET:
            self.on_time += 1
        self.start(self.admission.finish(number), now)

    def start(self, outcomes, now):
        for outcome in outcomes:
            if type(outcome) is Started:
                self.running[outcome.id] = now + self.SERVICE_TIME

    def test_transaction_has_time_for_its_other_statements(self):
        self.assertLess(max_start_delay(self.TARGET, True), max_start_delay(self.TARGET, False))
