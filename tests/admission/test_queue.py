"""Tests of the admission queue."""

import unittest
from datetime import timedelta

from bramleyrill_base import ErrorKind, ManualClock
from bramleyrill_core import Rank
from bramleyrill_core.admission import (
    AdmissionPolicy,
    AdmissionQueue,
    ClassPolicy,
    Queued,
    Refused,
    Request,
    Started,
    WorkClass,
)

MS = timedelta(milliseconds=1)


def work(rank, fleet="f", service="s"):
    return WorkClass(fleet, service, rank)


URGENT, EVERYDAY, LEAST = (work(rank) for rank in Rank)


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()

    def build(self, **options):
        return AdmissionQueue(AdmissionPolicy(slots=1, **options), self.clock)

    def request(self, number, work_class, wait=1000 * MS):
        return Request(number, work_class, self.clock.monotonic() + wait)

    def test_urgent_overtakes(self):
        """Guards against urgent requests that wait behind less urgent ones."""
        for urgent_first, expected in ((True, 3), (False, 2)):
            queue = self.build(urgent_first=urgent_first)
            self.assertEqual(queue.submit(self.request(1, LEAST)), Started(1))
            self.assertEqual(queue.submit(self.request(2, LEAST)), Queued(2))
            self.assertEqual(queue.submit(self.request(3, URGENT, 1100 * MS)), Queued(3))
            self.clock.advance(5 * MS)
            self.assertEqual(queue.finish(1), [Started(expected)])

    def test_floor_is_kept_under_urgent_work(self):
        """Guards against a lower rank that is starved by a flood of urgent requests."""
        for floors, least in ((True, 200), (False, 0)):
            policy = {LEAST: ClassPolicy(floor=0.1)}
            queue = self.build(classes=policy, floors=floors, predict=False)
            running, served = ("u", -1), []
            queue.submit(self.request(running, URGENT))
            for number in range(2000):
                queue.submit(self.request(("u", number), URGENT, 90000 * MS))
                queue.submit(self.request(("l", number), LEAST, 90000 * MS))
                self.clock.advance(5 * MS)
                (started,) = queue.finish(running)
                running = started.id
                served.append(running[0])
            self.assertGreaterEqual(served.count("l"), least)
            self.assertLessEqual(served.count("l"), 1.25 * least)

    def test_hopeless_request_is_refused_at_once_with_hint(self):
        """Guards against a caller that waits until its deadline only to be refused."""
        for predict, kind in ((True, Refused), (False, Queued)):
            queue = self.build(predict=predict)
            for number in range(10):
                queue.submit(self.request(number, EVERYDAY))
            outcome = queue.submit(self.request(99, EVERYDAY, 20 * MS))
            self.assertIsInstance(outcome, kind)
        queue = self.build()
        for number in range(10):
            queue.submit(self.request(number, EVERYDAY))
        problem = queue.submit(self.request(99, EVERYDAY, 20 * MS)).problem
        self.assertIs(problem.kind, ErrorKind.NOT_RUN_OVERLOADED)
        self.assertAlmostEqual(problem.retry_after / MS, 50, delta=1)

    def test_expired_request_is_refused_and_not_started(self):
        """Guards against running a request whose caller has already given up."""
        queue = self.build()
        queue.submit(self.request(1, EVERYDAY))
        queue.submit(self.request(2, EVERYDAY, 50 * MS))
        self.clock.advance(60 * MS)
        (refused,) = queue.tick()
        self.assertEqual((refused.id, refused.problem.kind), (2, ErrorKind.NOT_RUN_DEADLINE))
        self.assertEqual(queue.finish(1), [])

    def test_idle_transaction_gives_its_slot_back(self):
        """Guards against an idle transaction that keeps a slot from others."""
        queue = self.build()
        queue.submit(self.request(1, EVERYDAY))
        queue.submit(self.request(2, EVERYDAY))
        self.assertEqual(queue.pause(1), [Started(2)])
        queue.submit(self.request(3, EVERYDAY))
        self.assertEqual(queue.resume(self.request(1, EVERYDAY)), Queued(1))
        self.assertEqual(queue.finish(2), [Started(1)])
        self.assertEqual(queue.finish(1), [Started(3)])

    def test_withdrawn_request_never_starts(self):
        """Guards against giving a slot to a caller that has disconnected."""
        queue = self.build()
        queue.submit(self.request(1, EVERYDAY))
        queue.submit(self.request(2, EVERYDAY))
        queue.withdraw(2)
        self.assertEqual(queue.withdraw(1), [])
        self.assertEqual((queue.in_flight, queue.waiting), (0, 0))


if __name__ == "__main__":
    unittest.main()
