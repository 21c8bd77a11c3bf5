"""Tests of the admission queue of the entry VM."""

import unittest
from datetime import timedelta

import gevent
from bramleyrill_base import ErrorKind, ManualClock
from bramleyrill_core import Rank, VmIdentity, World
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.text import example_source, parse_text
from bramleyrill_daemon.front._entry_queue import EntryQueue

FLOOD = WorkClass("kintsugi", "onarim-defteri", Rank.LEAST_URGENT)
OTHER = WorkClass("gatecare", "gatebook", Rank.EVERYDAY)
SLOTS = 256
DEADLINE = timedelta(seconds=60)


class EntryQueueTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        world = World(VmIdentity("vm-1", "marmara-a", "marmara"), self.clock)
        world.text = parse_text(example_source(), 1).unwrap()
        self.queue = EntryQueue(world)
        self.started = []
        self.running = [self.queue.new_request(FLOOD, DEADLINE) for _ in range(SLOTS)]
        for request in self.running:
            self.assertIsNone(self.queue.admit(request))

    def start_waiting(self, work_class, deadline=DEADLINE):
        request = self.queue.new_request(work_class, deadline)
        return request, gevent.spawn(self._admit, request)

    def _admit(self, request):
        problem = self.queue.admit(request)
        self.started.append((request.work_class, problem))

    def test_flood_of_one_fleet_lets_the_other_in_first(self):
        """Guards against a fleet whose requests wait behind all requests of a flooding fleet."""
        waiting = [self.start_waiting(FLOOD)[1] for _ in range(5)]
        waiting.append(self.start_waiting(OTHER)[1])
        gevent.sleep(0)
        self.queue.finish(self.running[0])
        gevent.sleep(0.01)
        self.assertEqual(self.started, [(OTHER, None)])
        gevent.killall(waiting)

    def test_canceled_request_leaves_the_queue(self):
        """Guards against a canceled request that still gets a slot and runs."""
        request, waiting = self.start_waiting(FLOOD)
        gevent.sleep(0)
        self.queue.withdraw(request)
        waiting.join(1)
        self.assertIs(self.started[0][1].kind, ErrorKind.CANCELED)
        self.queue.finish(self.running[0])
        self.assertEqual(len(self.started), 1)

    def test_request_past_its_deadline_is_told_not_run(self):
        """Guards against a request that waits behind a flood without a time limit."""
        _, waiting = self.start_waiting(FLOOD, timedelta(seconds=1))
        gevent.sleep(0)
        self.clock.advance(timedelta(seconds=2))
        self.queue.tick()
        waiting.join(1)
        self.assertIs(self.started[0][1].kind, ErrorKind.NOT_RUN_DEADLINE)
