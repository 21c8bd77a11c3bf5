"""Change of primary against stand-in members, store and appointing call."""

import unittest
from datetime import timedelta
from unittest import mock

import gevent
from bramleyrill_core.catalog import MemberState
from bramleyrill_core.leadership import DUTY_LEASE, DutyRecord, DutyView
from bramleyrill_entry import _supervisor
from bramleyrill_entry._desks import Desks
from bramleyrill_entry._exchange import Opens
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._supervisor import KIND_DUTIES, Supervisor, Watched
from bramleyrill_platform import DutyClient, StoreClient
from bramleyrill_standins.prepared import LineGroup, PreparedPlatform

from tests.entry.places import SERVICE, make_state, member_entry, request
from tests.entry.platform_thread import PlatformThread

OLD = timedelta(seconds=10)


class LocalNet:
    """Stands for the links to other VMs; there are none."""

    def __init__(self, state, desks):
        self.state = state
        self.services = {Desks: desks}
        self.sent = []

    def broadcast(self, frame):
        self.sent.append(frame)


class SupervisorTest(unittest.TestCase):
    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1", "m2", "m3"])
        self.addCleanup(self.group.close)
        self.platform = PreparedPlatform({SERVICE: self.group})
        address = PlatformThread(self.platform).address
        self.state = make_state(self.group)
        self.desks = Desks(self.state)
        self.addCleanup(self.desks.close)
        net = LocalNet(self.state, self.desks)
        executor = Executor(net, self.desks)
        self.supervisor = Supervisor(
            self.state, net, self.desks, executor, StoreClient(address), DutyClient(address)
        )
        # The primary was seen long ago, so that silence counts at once.
        self.watched = Watched(SERVICE, DutyView(), self.state.now() - OLD, member="m1")

    def write(self, member, text):
        return self.desks.run("vm1", request(text, member))

    def look(self):
        self.supervisor._look_after(self.watched)

    def leader(self):
        return self.group.primary.name


class UnplannedTest(SupervisorTest):
    def test_primary_that_answers_stays(self):
        """A primary without work gives no proofs by itself; that alone replaces nobody."""
        self.look()
        self.assertEqual((self.leader(), self.platform.appointments), ("m1", []))

    def test_primary_that_is_gone_is_replaced_by_the_most_advanced(self):
        self.group.members_by_name["m3"].lag = OLD
        self.write("m1", "WRITE a 1")
        gevent.sleep(0.01)
        self.group.members_by_name["m1"].stop()
        self.desks.close()
        with mock.patch.object(self.state, "proofs", type(self.state.proofs)()):
            self.look()
        self.assertEqual(self.platform.appointments, [(SERVICE, "m2", "vm1", 1)])
        self.assertEqual(self.state.members.primary_of(SERVICE).entry.id, "m2")

    def test_no_order_without_the_duty(self):
        """While the store is away nobody can know who holds the duty."""
        self.group.members_by_name["m1"].stop()
        self.platform.unavailable = True
        self.look()
        self.assertEqual(self.platform.appointments, [])

    def test_duty_of_another_vm_is_left_alone(self):
        """Two holders must not give orders in turns within a lease."""
        self.group.members_by_name["m1"].stop()
        self.platform.put(KIND_DUTIES, SERVICE, DutyRecord("vm9", 4, "m1").to_value())
        self.look()
        self.assertEqual(self.platform.appointments, [])
        self.watched.duty.seen_at -= DUTY_LEASE
        self.look()
        self.assertEqual([appointment[3] for appointment in self.platform.appointments], [5])

    def test_lost_answer_to_the_record_is_read_back(self):
        """The record was written; taking it for lost would wait for a lease of one's own."""
        self.group.members_by_name["m1"].stop()
        self.platform.lose_answers = True
        with mock.patch.object(_supervisor, "ORDER_ATTEMPTS", 1):
            self.look()
        self.assertEqual(self.platform.value(KIND_DUTIES, SERVICE)["holder"], "vm1")
        self.assertEqual(len(self.platform.appointments), 1)

    def test_repeated_order_keeps_its_token(self):
        """An unanswered order may be carried out later; its repetition must be the same order."""
        self.group.members_by_name["m1"].stop()
        self.platform.lose_answers = True
        with mock.patch.object(_supervisor, "ORDER_PAUSE", timedelta()):
            self.look()
        self.assertGreater(len(self.platform.appointments), 1)
        self.assertEqual({appointment[3] for appointment in self.platform.appointments}, {1})


class PlannedTest(SupervisorTest):
    def drain(self, name):
        entry = member_entry(self.group, name, MemberState.DRAINING, revision=9)
        self.state.members.put(entry)
        self.desks.maintain()

    def test_leaving_primary_hands_over_without_losing_an_entry(self):
        for name in ("m2", "m3"):
            self.group.members_by_name[name].lag = timedelta(milliseconds=60)
        self.write("m1", "WRITE a 1")
        self.drain("m1")
        self.look()
        self.assertNotEqual(self.leader(), "m1")
        self.assertEqual([entry.data for entry in self.group.primary.log], [{"a": "1"}])

    def test_open_transaction_ends_before_the_change(self):
        """A planned change must not roll back what a caller is in the middle of."""
        opened = request("WRITE a 1", "m1", exchange=5, opens=Opens.READ_WRITE)
        self.assertTrue(self.desks.run("vm1", opened).exchange_open)
        self.drain("m1")
        job = gevent.spawn(self.look)
        gevent.sleep(0.1)
        commit = request("COMMIT", "m1", exchange=5)
        self.assertTrue(self.desks.run("vm1", commit).answer.succeeded)
        job.get()
        self.assertNotEqual(self.leader(), "m1")
        self.assertEqual([entry.data for entry in self.group.primary.log], [{"a": "1"}])

    def test_write_that_comes_during_the_change_waits_for_it(self):
        for name in ("m2", "m3"):
            self.group.members_by_name[name].lag = timedelta(milliseconds=100)
        self.write("m1", "WRITE a 1")
        self.drain("m1")
        job = gevent.spawn(self.look)
        gevent.sleep(0.03)
        late = gevent.spawn(self.desks.run, "vm1", request("WRITE b 2", "m1", "late"))
        gevent.sleep(0.03)
        self.assertEqual(self.group.runs_of("late"), [])
        job.get()
        # It did not run at the old primary; the entry VM sends it to the new one.
        self.assertTrue(late.get().problem.not_run)
