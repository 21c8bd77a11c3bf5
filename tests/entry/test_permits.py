"""Permits for primaries that do not notice that they were replaced, against stand-ins."""

import contextlib
import unittest
from datetime import timedelta
from unittest import mock

import gevent
from attrs import evolve
from bramleyrill_base import ManualClock
from bramleyrill_core import Mark
from bramleyrill_core.catalog import MemberState, ServiceEntry
from bramleyrill_core.history import StoreHistory, StoreRevision
from bramleyrill_core.leadership import DUTY_LEASE, KIND_DUTIES, DutyRecord, DutyView
from bramleyrill_core.permits import LONGEST_PERMIT
from bramleyrill_entry import _fence, _supervisor
from bramleyrill_entry._duty_leases import SupervisedService
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._permits import PermitKeeper
from bramleyrill_entry._run_request import Opens, RunProblem
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._supervisor import Supervisor
from bramleyrill_platform import AppointResult, DutyClient, StoreClient
from bramleyrill_standins.prepared import LineGroup, PreparedPlatform

from tests.entry.builders import SERVICE, make_state, member_entry, request
from tests.entry.platform_thread import PlatformThread
from tests.entry.test_supervisor import LocalNet

TEN_SECONDS = timedelta(seconds=10)


class PermitCase(unittest.TestCase):
    """A VM on a platform that does not check fencing tokens, with a clock that tests advance."""

    ERA = None

    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1", "m2", "m3"])
        self.group.split = True
        self.addCleanup(self.group.close)
        self.platform = PreparedPlatform({SERVICE: self.group}, checks_tokens=False, era=self.ERA)
        thread = PlatformThread(self.platform)
        self.addCleanup(thread.close)
        self.state = make_state(self.group, fenced_orders=False)
        self.state.clock = ManualClock()
        self.state.history = StoreHistory(self.state.clock)
        self.store = StoreClient(thread.address, self.state.history)
        self.permits = PermitKeeper(self.state, self.store)
        self.addCleanup(self.permits.close)
        self.schedulers = MemberSchedulers(self.state, self.permits)
        self.addCleanup(self.schedulers.close)
        self.duties = DutyClient(thread.address)

    def run_at(self, member, text, statement_id="q1", **changes):
        return self.schedulers.run("vm1", request(text, member, statement_id, **changes))

    def record_order(self, member):
        self.platform.put(KIND_DUTIES, SERVICE, DutyRecord("vm9", 4, member).to_value())

    def expire_permits(self):
        self.state.clock.advance(LONGEST_PERMIT)


class WriteTest(PermitCase):
    def test_write_at_the_primary_is_served(self):
        self.assertTrue(self.run_at("m1", "WRITE a 1").answer.succeeded)

    def test_replaced_primary_gets_no_write(self):
        """A VM on its side of a cut went on committing there, and the entries were lost."""
        self.run_at("m1", "WRITE a 1", "q0")
        self.record_order("m2")
        self.group.promote("m2")
        self.expire_permits()
        self.assertIs(self.run_at("m1", "WRITE b 2").problem, RunProblem.NO_PERMIT)
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_replaced_primary_serves_no_read_and_proves_nothing(self):
        """Its answers counted as proof that reads there, and at its replicas, were fresh."""
        self.record_order("m2")
        self.group.promote("m2")
        self.assertIs(self.run_at("m1", "READ a").problem, RunProblem.NO_PERMIT)
        scheduler = self.schedulers.scheduler_for("m1")
        self.assertIs(scheduler.prove(), RunProblem.NO_PERMIT)
        self.assertIsNone(self.state.proofs.history_of(SERVICE).newest)

    def test_write_that_outlives_its_permit_has_an_unknown_outcome(self):
        """A holder that was suspended while the write ran must not acknowledge it."""
        self.group.primary.statement_time = timedelta(milliseconds=100)
        write = gevent.spawn(self.run_at, "m1", "WRITE a 1")
        while not self.group.runs_of("q1"):
            gevent.sleep(0.01)
        self.record_order("m2")
        self.expire_permits()
        self.assertIs(write.get().problem, RunProblem.LOST)

    def test_slow_write_is_acknowledged_with_a_new_permit(self):
        self.group.primary.statement_time = timedelta(milliseconds=100)
        write = gevent.spawn(self.run_at, "m1", "WRITE a 1")
        while not self.group.runs_of("q1"):
            gevent.sleep(0.01)
        self.expire_permits()
        self.assertTrue(write.get().answer.succeeded)

    def test_commit_without_a_permit_is_not_sent(self):
        """The caller is told that the transaction was rolled back, so it must be."""
        opened = self.run_at("m1", "WRITE a 1", transaction_id=7, opens=Opens.READ_WRITE)
        self.assertTrue(opened.transaction_open)
        self.record_order("m2")
        self.expire_permits()
        commit = self.run_at("m1", "COMMIT", "q2", transaction_id=7)
        self.assertIs(commit.problem, RunProblem.NO_EXCHANGE)
        self.assertEqual(self.group.runs_of("q2"), [])
        self.assertEqual(self.group.members_by_name["m1"].log, [])

    def test_commit_that_outlives_its_permit_has_an_unknown_outcome(self):
        self.run_at("m1", "WRITE a 1", transaction_id=7, opens=Opens.READ_WRITE)
        self.group.primary.statement_time = timedelta(milliseconds=100)
        commit = gevent.spawn(self.run_at, "m1", "COMMIT", "q2", transaction_id=7)
        while not self.group.runs_of("q2"):
            gevent.sleep(0.01)
        self.record_order("m2")
        self.expire_permits()
        self.assertIs(commit.get().problem, RunProblem.LOST)

    def test_successor_is_used_at_once(self):
        self.record_order("m2")
        self.group.promote("m2")
        self.assertTrue(self.run_at("m2", "WRITE a 1").answer.succeeded)

    def test_malformed_record_covers_nothing_and_the_replicas_are_asked(self):
        self.platform.put(KIND_DUTIES, SERVICE, {"holder": 7})
        self.expire_permits()
        self.assertTrue(self.run_at("m1", "WRITE a 1").answer.succeeded)
        self.group.members_by_name["m3"].stop()
        self.expire_permits()
        self.assertIs(self.run_at("m1", "WRITE b 2").problem, RunProblem.NO_PERMIT)


class StoreAwayTest(PermitCase):
    def setUp(self):
        super().setUp()
        self.platform.unavailable = True

    def test_replicas_carry_the_permit(self):
        """The store may be away for long, and writes must go on meanwhile."""
        self.assertTrue(self.run_at("m1", "WRITE a 1").answer.succeeded)

    def test_one_replica_out_of_reach_ends_the_permit(self):
        """The supervisor may have fenced just that one."""
        self.group.members_by_name["m3"].stop()
        self.assertIs(self.run_at("m1", "WRITE a 1").problem, RunProblem.NO_PERMIT)

    def test_fenced_replica_ends_the_permit(self):
        self.group.members_by_name["m3"].fenced_term = 2
        self.assertIs(self.run_at("m1", "WRITE a 1").problem, RunProblem.NO_PERMIT)

    def test_fence_shows_after_the_successor_was_announced(self):
        """The announced term was that of the fence, so the replica counted as not fenced.

        The old primary, back under its id, was presumed to lead again and acknowledged writes.
        """
        self.state.record_proof(SERVICE, "m1", 1, Mark(1, 0), self.state.now())
        self.group.members_by_name["m2"].fenced_term = 2
        self.state.record_appointment(SERVICE, "m2", "order")
        self.state.members.put(
            evolve(member_entry(self.group, "m1", revision=9), incarnation=7),
        )
        self.assertEqual(self.state.members.primary_of(SERVICE).entry.id, "m1")
        self.assertIs(self.run_at("m1", "WRITE a 1").problem, RunProblem.NO_PERMIT)
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_replica_that_follows_the_successor_gives_no_permit(self):
        """The replaced primary does not notice, and says that it leads."""
        self.state.record_proof(SERVICE, "m1", 1, Mark(1, 0), self.state.now())
        self.state.record_appointment(SERVICE, "m2", "order")
        self.group.promote("m2")
        self.assertFalse(self.permits.renewed(member_entry(self.group, "m1")))

    def test_replica_in_the_lead_is_learned_as_the_primary(self):
        """A VM that cannot reach the store or its peers learns of the change from the members."""
        self.group.promote("m2")
        self.assertIs(self.run_at("m1", "WRITE a 1").problem, RunProblem.NO_PERMIT)
        self.assertEqual(self.state.members.primary_of(SERVICE).entry.id, "m2")


class OrderCase(PermitCase):
    def setUp(self):
        super().setUp()
        net = LocalNet(self.state, self.schedulers)
        executor = Executor(net, self.schedulers)
        self.supervisor = Supervisor(
            self.state, net, self.schedulers, executor, self.store, self.duties, self.permits
        )
        self.state.clock.advance(TEN_SECONDS)
        self.supervised = SupervisedService(SERVICE, DutyView(), timedelta(), member="m1")

    def supervise(self):
        """Run one check; return the number of seconds that it waited for permits to expire."""
        with self.counted_waits() as waits:
            self.supervisor._supervise(self.supervised)
        return sum(waits)

    @contextlib.contextmanager
    def counted_waits(self, meanwhile=lambda: None):
        """Record each wait of a fence, and run `meanwhile` and advance the clock instead."""
        waits = []

        def advance(seconds):
            waits.append(seconds)
            meanwhile()
            self.state.clock.advance(timedelta(seconds=seconds))

        with mock.patch.object(_fence, "gevent", mock.Mock(wraps=gevent, sleep=advance)):
            yield waits

    def appointed(self):
        return [appointment[1] for appointment in self.platform.appointments]

    def replace_by_force(self, meanwhile=lambda: None):
        """Let the supervisor replace a primary that answers neither it nor the other VMs."""
        primary = member_entry(self.group, "m1")
        with (
            mock.patch.object(_fence, "demote", return_value=None),
            mock.patch.object(_fence, "refuses_connections", return_value=False),
            self.counted_waits(meanwhile) as waits,
        ):
            self.supervisor._replace_primary(self.supervised, primary)
        return sum(waits)


class OrderTest(OrderCase):
    def test_order_waits_until_every_permit_has_expired(self):
        waited = self.replace_by_force()
        self.assertGreaterEqual(waited, LONGEST_PERMIT.total_seconds())
        self.assertEqual(len(self.appointed()), 1)

    def test_writer_and_order_never_overlap(self):
        """The last write that the old primary's holder acknowledges comes before the order."""
        self.assertTrue(self.run_at("m1", "WRITE a 1", "q0").answer.succeeded)
        self.replace_by_force()
        self.assertIs(self.run_at("m1", "WRITE b 2").problem, RunProblem.NO_PERMIT)
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_commit_under_a_permit_that_has_not_expired_is_not_acknowledged(self):
        """With synchronous replicas the one that was not chosen confirmed it, and it was lost."""
        self.group.sync_replicas = 1
        self.state.catalog = evolve(
            self.state.catalog, services_by_name={SERVICE: ServiceEntry(SERVICE, 16, 1)}
        )
        commits = []

        def commit():
            commits.append(gevent.spawn(self.group.commit, {"a": "1"}))
            gevent.sleep(0.02)

        self.replace_by_force(commit)
        self.assertEqual(len(self.appointed()), 1)
        self.assertIs(commits[0].get(timeout=5), False)

    def test_primary_under_another_id_is_demoted_too(self):
        """The supervisor took a dead id for the primary, and VMs went on at the real one."""
        entry = member_entry(self.group, "m1")
        dead = evolve(entry, id="dead", address=("127.0.0.1", 1))
        with self.counted_waits() as waits:
            self.supervisor._replace_primary(self.supervised, dead)
        self.assertEqual((sum(waits), self.group.members_by_name["m1"].is_primary), (0, False))

    def test_order_waits_if_the_primary_under_another_id_does_not_answer(self):
        """The dead id refuses connections, which says nothing of the real primary."""
        self.group.members_by_name["m1"].silent = True
        dead = evolve(member_entry(self.group, "m1"), id="dead", address=("127.0.0.1", 1))
        with self.counted_waits() as waits:
            self.supervisor._replace_primary(self.supervised, dead)
        self.assertGreaterEqual(sum(waits), LONGEST_PERMIT.total_seconds())

    def test_successor_that_cannot_be_fenced_is_not_ordered(self):
        """A VM without the store would get a new permit from it during the wait."""
        for member in self.group.members_by_name.values():
            member.refused_control = "PAUSE"
        self.replace_by_force()
        self.assertEqual(self.appointed(), [])

    def test_successor_gets_permits_at_high_revisions_of_the_store(self):
        """The record seemed to be of another era, so no VM used the primary that it names."""
        self.platform.revision = 5_000_000_000
        self.platform.put(KIND_DUTIES, SERVICE, DutyRecord("vm1", 4, "m1").to_value())
        self.group.members_by_name["m1"].stop()
        self.supervise()
        (successor,) = self.appointed()
        self.assertTrue(self.run_at(successor, "WRITE a 1").answer.succeeded)

    def test_primary_that_ended_is_replaced_without_the_wait(self):
        self.group.members_by_name["m1"].stop()
        self.assertEqual(self.supervise(), 0)
        self.assertEqual(len(self.appointed()), 1)

    def test_primary_that_was_demoted_is_replaced_without_the_wait(self):
        primary = member_entry(self.group, "m1")
        self.supervisor._replace_primary(self.supervised, primary)
        self.assertEqual(len(self.appointed()), 1)
        self.assertFalse(self.group.members_by_name["m1"].is_primary)

    def test_primary_with_too_many_connections_is_not_replaced(self):
        """Cut-off VMs that dial it directly fill its limit; it lives and serves the others."""
        self.group.max_connections = 0
        self.supervise()
        self.assertEqual(self.appointed(), [])

    def test_order_of_another_vm_is_completed_before_a_new_one(self):
        """A platform that checks no tokens may execute the earlier order after the new one."""
        self.group.members_by_name["m3"].lag = TEN_SECONDS
        self.assertTrue(self.run_at("m1", "WRITE a 1").answer.succeeded)
        self.record_order("m3")
        self.supervised.duty.update(DutyRecord("vm9", 4, "m3"), StoreRevision(0, 2), timedelta())
        self.supervised.duty.revision = self.store.get(KIND_DUTIES, SERVICE).position
        self.replace_by_force()
        self.assertEqual(self.appointed(), ["m3"])

    def test_no_order_after_the_lease(self):
        """The next holder may have given its order, and a lower token must not follow it."""
        orders = []

        def lose_answer(*order):
            orders.append(order)
            self.state.clock.advance(DUTY_LEASE)
            return AppointResult.UNANSWERED

        with (
            mock.patch.object(self.duties, "appoint", lose_answer),
            mock.patch.object(_supervisor, "APPOINT_RETRY_PAUSE", timedelta()),
        ):
            self.replace_by_force()
        self.assertEqual(len(orders), 1)

    def test_repeated_order_in_a_new_lease_gets_a_new_token(self):
        """The record must change, or other VMs would see the lease expire."""
        with mock.patch.object(self.duties, "appoint", lambda *_: AppointResult.REFUSED):
            self.replace_by_force()
            first = self.platform.value(KIND_DUTIES, SERVICE)
            self.state.clock.advance(DUTY_LEASE)
            self.replace_by_force()
        second = self.platform.value(KIND_DUTIES, SERVICE)
        self.assertEqual(first["member"], second["member"])
        self.assertGreater(second["token"], first["token"])

    def test_planned_change_demotes_the_primary_and_loses_no_entry(self):
        """Permits of other VMs outlast the pause of new work at the holder."""
        for name in ("m2", "m3"):
            self.group.members_by_name[name].lag = timedelta(milliseconds=60)
        self.run_at("m1", "WRITE a 1")
        self.state.members.put(member_entry(self.group, "m1", MemberState.DRAINING, revision=9))
        self.assertEqual(self.supervise(), 0)
        self.assertFalse(self.group.members_by_name["m1"].is_primary)
        self.assertEqual([entry.data for entry in self.group.primary.log], [{"a": "1"}])


class RestoredTest(OrderCase):
    """A restore takes away the record that names the successor."""

    ERA = 1

    def setUp(self):
        super().setUp()
        self.store.list("config")
        self.state.clock.advance(DUTY_LEASE)

    def restore(self):
        self.platform.restore(self.platform.copy())
        self.platform.remove(KIND_DUTIES, SERVICE)
        self.store.list("config")
        self.expire_permits()

    def confirm(self):
        self.supervised.confirm_at = timedelta.min
        self.supervisor._confirmation.confirm(self.supervised, member_entry(self.group, "m1"))

    def test_lost_record_does_not_bring_the_old_primary_back(self):
        """Without a record the store seemed to say that no successor had been ordered."""
        self.replace_by_force()
        self.restore()
        self.assertIs(self.run_at("m1", "WRITE a 1").problem, RunProblem.NO_PERMIT)
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_record_of_the_copy_is_no_proof(self):
        self.confirm()
        copy = self.platform.copy()
        self.replace_by_force()
        self.platform.restore(copy)
        self.expire_permits()
        self.assertIs(self.run_at("m1", "WRITE a 1").problem, RunProblem.NO_PERMIT)

    def test_replicas_carry_the_permit_until_the_primary_is_confirmed(self):
        self.confirm()
        self.restore()
        self.assertTrue(self.run_at("m1", "WRITE a 1").answer.succeeded)
        self.group.members_by_name["m3"].stop()
        self.expire_permits()
        self.assertIs(self.run_at("m1", "WRITE b 2", "q2").problem, RunProblem.NO_PERMIT)
        self.state.clock.advance(DUTY_LEASE)
        self.confirm()
        self.assertTrue(self.run_at("m1", "WRITE c 3", "q3").answer.succeeded)

    def test_primary_is_not_confirmed_before_earlier_leases_have_expired(self):
        """The order of their holder may still be on its way."""
        self.restore()
        self.confirm()
        self.assertIsNone(self.platform.value(KIND_DUTIES, SERVICE))

    def test_other_vms_are_asked_only_after_a_restore(self):
        """At the start of a large fleet the first supervisors dialed all VMs."""
        self.state.history._known_since = self.state.now()
        with mock.patch.object(self.supervisor._inquiry, "ask") as ask:
            self.confirm()
            ask.assert_not_called()
            self.restore()
            self.confirm()
            ask.assert_called_once()

    def test_replaced_primary_is_not_confirmed(self):
        self.group.promote("m2")
        self.confirm()
        self.assertIsNone(self.platform.value(KIND_DUTIES, SERVICE))

    def test_confirmed_primary_leaves_the_duty_free(self):
        self.confirm()
        self.group.members_by_name["m1"].stop()
        self.assertEqual(self.supervise(), 0)
        self.assertEqual(len(self.appointed()), 1)
