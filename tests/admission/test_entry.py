"""Tests of the queue of an entry VM, with many fleets, services and ranks."""

import random
import unittest
from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import Rank
from bramleyrill_core.admission import (
    AdmissionPolicy,
    AdmissionQueue,
    ClassPolicy,
    Refused,
    Request,
    Started,
    WorkClass,
    policy_for_member,
    policy_for_vm,
)
from bramleyrill_core.text import example_source, parse_text

MS = timedelta(milliseconds=1)
SLOTS = 20


def build_policy(services, floors=True):
    classes, groups = {}, {}
    for fleet in ("flooding", "quiet"):
        groups[(fleet,)] = 0.4
        for number in range(services):
            share = 0.4 * 0.9 / services
            groups[(fleet, f"s{number}")] = share
            for rank in Rank:
                key = WorkClass(fleet, f"s{number}", rank)
                classes[key] = ClassPolicy(share * (0.4, 0.2, 0.1)[rank])
    return AdmissionPolicy(SLOTS, classes, groups, adaptive=False, floors=floors)


def run_flood(services, floors=True, seconds=6):
    """Flood the urgent classes of one fleet; return the served share of each part of the load."""
    clock = ManualClock()
    queue = AdmissionQueue(build_policy(services, floors), clock)
    rng = random.Random(5)
    offered = {"quiet": 0, "small": 0}
    served = dict(offered)
    part_by_request, ends = {}, []
    for number in range(seconds * 1000):
        clock.advance(MS)
        now = clock.monotonic()
        ends.sort(reverse=True)
        outcomes = list(queue.tick())
        while ends and ends[-1][0] <= now:
            outcomes += queue.finish(ends.pop()[1])
        arrivals = [
            ("flood", WorkClass("flooding", f"s{rng.randrange(services)}", Rank.URGENT))
        ] * 5
        if rng.random() < 0.6:
            service = f"s{rng.randrange(services)}"
            arrivals.append(("quiet", WorkClass("quiet", service, Rank.LEAST_URGENT)))
        if rng.random() < 0.02:
            arrivals.append(("small", WorkClass("flooding", "s0", Rank.EVERYDAY)))
        for part, work_class in arrivals:
            request = (number, len(part_by_request))
            part_by_request[request] = part
            offered[part] = offered.get(part, 0) + 1
            outcomes.append(queue.submit(Request(request, work_class, now + 2000 * MS)))
        for outcome in outcomes:
            if isinstance(outcome, Started):
                part = part_by_request[outcome.id]
                served[part] = served.get(part, 0) + 1
                ends.append((now + 10 * MS, outcome.id))
    return {part: served[part] / offered[part] for part in served}


class EntryTest(unittest.TestCase):
    def test_flood_of_one_fleet_leaves_the_other_its_floor(self):
        """Guards against one fleet's urgent flood that uses up the VM's slots for all fleets."""
        for services in (1, 12):
            shares = run_flood(services)
            # The quiet fleet needs 30% of the slots and has a floor of 40%.
            self.assertGreater(shares["quiet"], 0.95, services)
            self.assertLess(shares["flood"], 0.35, services)
        without = run_flood(12, floors=False)
        self.assertLess(without["quiet"], 0.5)

    def test_policies_follow_the_text(self):
        """Guards against policies that miss floors or slots of the configuration text."""
        text = parse_text(example_source()).unwrap()
        policy = policy_for_vm(text)
        self.assertEqual(policy.group_floors[("kintsugi",)], 0.4)
        self.assertFalse(policy.adaptive)
        member = text.databases["gatecare/gatebook/visits"].members[0].id
        policy = policy_for_member(text, member)
        self.assertEqual(policy.slots, 5)
        everyday = policy.classes[WorkClass("gatecare", "gatebook", Rank.EVERYDAY)]
        self.assertEqual((everyday.floor, everyday.target), (0.25, timedelta(seconds=1)))

    def test_new_policy_applies_to_waiting_work(self):
        """Guards against a policy change that has no effect on requests already in the queue."""
        clock = ManualClock()
        classes = {WorkClass("f", "s", rank): ClassPolicy() for rank in Rank}
        queue = AdmissionQueue(AdmissionPolicy(2, classes, predict=False), clock)
        queue.submit(Request(-1, WorkClass("f", "s", Rank.URGENT), 99_000 * MS))
        for number in range(400):
            rank = (Rank.URGENT, Rank.LEAST_URGENT)[number % 2]
            queue.submit(Request(number, WorkClass("f", "s", rank), 99_000 * MS))
        classes[WorkClass("f", "s", Rank.LEAST_URGENT)] = ClassPolicy(0.5)
        self.assertEqual(queue.replace_policy(AdmissionPolicy(1, classes)), [])
        running, least = [-1, 0], 0
        for _ in range(200):
            clock.advance(10 * MS)
            for outcome in queue.finish(running.pop(0)):
                running.append(outcome.id)
                least += outcome.id % 2
            self.assertLessEqual(len(running), 1)
        self.assertGreater(least, 60)
        started = queue.replace_policy(AdmissionPolicy(3, classes))
        self.assertEqual(len(started), 2)

    def test_service_time_is_remembered_when_the_queue_is_empty(self):
        """Guards against class state that is rebuilt for each request and loses its mean."""
        clock = ManualClock()
        queue = AdmissionQueue(AdmissionPolicy(1), clock)
        work_class = WorkClass("f", "s", Rank.EVERYDAY)
        for number in range(300):
            queue.submit(Request(number, work_class, clock.monotonic() + 1000 * MS))
            clock.advance(100 * MS)
            queue.finish(number)
        queue.submit(Request("running", work_class, clock.monotonic() + 1000 * MS))
        outcome = queue.submit(Request("next", work_class, clock.monotonic() + 50 * MS))
        self.assertIsInstance(outcome, Refused)
        self.assertAlmostEqual(outcome.problem.retry_after / MS, 100, delta=3)


if __name__ == "__main__":
    unittest.main()
