"""Change of primary against stand-in members, store and failover call."""

import unittest
from datetime import timedelta
from unittest import mock

import gevent
from attrs import evolve
from bramleyrill_base import ManualClock
from bramleyrill_core.catalog import MemberState, MemberTable
from bramleyrill_core.leadership import (
    DIVERGED_LOG_WAIT,
    DUTY_LEASE,
    KIND_DUTIES,
    DutyRecord,
    DutyView,
)
from bramleyrill_core.placement import VmEntry
from bramleyrill_entry import _supervisor
from bramleyrill_entry._duty_leases import SupervisedService
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._peer_link import PeerLostError
from bramleyrill_entry._run_request import Opens
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._supervisor import Supervisor
from bramleyrill_platform import DutyClient, StoreClient, UnansweredError
from bramleyrill_standins.prepared import LineGroup, PreparedPlatform
from bramleyrill_wire.entries import frames
from gevent.event import Event

from tests.entry.builders import SERVICE, make_state, member_entry, request
from tests.entry.platform_thread import PlatformThread

TEN_SECONDS = timedelta(seconds=10)


class LocalNet:
    """Stand-in for the links to other VMs, without any other VM."""

    def __init__(self, state, schedulers):
        self.state = state
        self.services = {MemberSchedulers: schedulers}
        self.sent = []

    def broadcast(self, frame):
        self.sent.append(frame)


class SupervisorTest(unittest.TestCase):
    ERA = None

    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1", "m2", "m3"])
        self.addCleanup(self.group.close)
        self.platform = PreparedPlatform({SERVICE: self.group}, era=self.ERA)
        thread = PlatformThread(self.platform)
        self.addCleanup(thread.close)
        address = thread.address
        self.state = make_state(self.group)
        self.schedulers = MemberSchedulers(self.state)
        self.addCleanup(self.schedulers.close)
        net = self.net = LocalNet(self.state, self.schedulers)
        executor = Executor(net, self.schedulers)
        self.store = StoreClient(address, self.state.history)
        self.supervisor = Supervisor(
            self.state, net, self.schedulers, executor, self.store, DutyClient(address)
        )
        # The primary has been known for long, so its silence is acted on at once.
        self.supervised = SupervisedService(
            SERVICE, DutyView(), self.state.now() - TEN_SECONDS, member="m1"
        )

    def write(self, member, text):
        return self.schedulers.run("vm1", request(text, member))

    def supervise(self):
        self.supervisor._supervise(self.supervised)

    def primary_name(self):
        return self.group.primary.name


class UnplannedTest(SupervisorTest):
    def test_primary_that_answers_stays(self):
        """An idle primary yields no proofs by itself, and must not be replaced for that."""
        self.supervise()
        self.assertEqual((self.primary_name(), self.platform.appointments), ("m1", []))

    def test_failed_primary_is_replaced_by_the_most_advanced(self):
        self.group.members_by_name["m3"].lag = TEN_SECONDS
        self.write("m1", "WRITE a 1")
        gevent.sleep(0.01)
        self.group.members_by_name["m1"].stop()
        self.schedulers.close()
        with mock.patch.object(self.state, "proofs", type(self.state.proofs)()):
            self.supervise()
        self.assertEqual(self.platform.appointments, [(SERVICE, "m2", "vm1", 1)])
        self.assertEqual(self.state.members.primary_of(SERVICE).entry.id, "m2")

    def test_no_order_without_the_duty(self):
        """While the store is unavailable, no VM can know which one holds the duty."""
        self.group.members_by_name["m1"].stop()
        self.platform.unavailable = True
        self.supervise()
        self.assertEqual(self.platform.appointments, [])

    def test_duty_of_another_vm_is_respected(self):
        """Two holders must not give orders within the same lease."""
        self.group.members_by_name["m1"].stop()
        self.platform.put(KIND_DUTIES, SERVICE, DutyRecord("vm9", 4, "m1").to_value())
        self.supervise()
        self.assertEqual(self.platform.appointments, [])
        self.supervised.duty.seen_at -= DUTY_LEASE
        self.supervise()
        self.assertEqual([appointment[3] for appointment in self.platform.appointments], [5])

    def test_malformed_record_is_replaced_with_a_higher_token(self):
        """Starting at 1 again, every order would be below a token that the platform has seen."""
        self.group.members_by_name["m1"].stop()
        self.platform.put(KIND_DUTIES, SERVICE, DutyRecord("vm9", 7, "m1").to_value())
        self.platform.revision += 20
        self.platform.put(KIND_DUTIES, SERVICE, {"holder": 1})
        self.supervise()
        self.assertEqual(self.platform.appointments, [])
        self.supervised.duty.seen_at -= DUTY_LEASE
        self.supervise()
        self.assertGreater(self.platform.appointments[0][3], 7)

    def test_lost_answer_to_the_record_is_read_back(self):
        """The record was written; otherwise this VM would wait for its own lease to expire."""
        self.group.members_by_name["m1"].stop()
        self.platform.lose_answers = True
        with mock.patch.object(_supervisor, "MAX_APPOINT_ATTEMPTS", 1):
            self.supervise()
        self.assertEqual(self.platform.value(KIND_DUTIES, SERVICE)["holder"], "vm1")
        self.assertEqual(len(self.platform.appointments), 1)

    def test_repeated_order_keeps_its_token(self):
        """An unanswered order may be carried out later, so a retry must be the same order."""
        self.group.members_by_name["m1"].stop()
        self.platform.lose_answers = True
        with mock.patch.object(_supervisor, "APPOINT_RETRY_PAUSE", timedelta()):
            self.supervise()
        self.assertGreater(len(self.platform.appointments), 1)
        self.assertEqual({appointment[3] for appointment in self.platform.appointments}, {1})


class ReturnedLogTest(SupervisorTest):
    """The primary m1 fails with commits that no replica has; m2 leads, and fails in its turn."""

    def setUp(self):
        super().setUp()
        self.write("m1", "WRITE a 1")
        gevent.sleep(0.01)
        for replica in ("m2", "m3"):
            self.group.members_by_name[replica].lag = TEN_SECONDS
        for number in range(3):
            self.write("m1", f"WRITE b {number}")
        self.group.members_by_name["m1"].stop()
        self.group.members_by_name["m3"].refused_control = "STATUS"
        self.replace()
        self.assertEqual(self.primary_name(), "m2")
        self.group.members_by_name["m3"].refused_control = ""
        self.write("m2", "WRITE c 1")
        self.group.members_by_name["m2"].stop()
        self.group.members_by_name["m1"].start()

    def replace(self):
        primary = self.state.members.primary_of(SERVICE)
        self.supervisor._replace_primary(self.supervised, primary and primary.entry)

    def forget(self):
        """Make this VM one that has just started, and finds no entry of the last primary."""
        self.state.members = MemberTable()
        replicas = [member_entry(self.group, name) for name in ("m1", "m3")]
        self.state.members.replace_all(replicas, self.state.now())
        self.supervised = SupervisedService(SERVICE, DutyView(), self.state.now())
        self.supervised.duty.seen_at = None

    def test_old_primary_with_commits_that_were_given_up_is_not_promoted(self):
        """Its log was the longest, and its commits came back against reads of the second term."""
        self.replace()
        self.assertEqual(self.primary_name(), "m3")

    def test_vm_that_has_just_started_knows_which_log_went_another_way(self):
        self.forget()
        self.replace()
        self.assertEqual(self.primary_name(), "m3")

    def test_log_that_went_another_way_is_a_last_resort(self):
        """A service must not stay without a primary for ever if no other member is left."""
        self.group.members_by_name["m3"].stop()
        self.replace()
        self.assertEqual(self.primary_name(), "m2")
        self.supervised.diverged_since -= DIVERGED_LOG_WAIT
        self.replace()
        self.assertEqual(self.primary_name(), "m1")

    def test_callers_are_refused_while_only_such_a_log_is_left(self):
        self.group.members_by_name["m3"].stop()
        self.replace()
        self.assertTrue(self.state.is_leaderless(SERVICE))


class RestoredTest(SupervisorTest):
    """The store is restored from a copy that lacks the newest records."""

    ERA = 1

    def setUp(self):
        super().setUp()
        self.store.list("config")
        self.pass_lease()

    def pass_lease(self):
        """Let the era have lasted for the length of a lease."""
        self.state.history._known_since -= DUTY_LEASE

    def replace(self):
        """Replace the presumed primary, whichever member that is."""
        self.supervisor._replace_primary(
            self.supervised, self.state.members.primary_of(SERVICE).entry
        )

    def orders(self):
        return [(order[2], order[3]) for order in self.platform.appointments]

    def test_token_of_a_record_that_was_lost_is_not_given_again(self):
        """Two holders ordered with token 1 after the first one's record was gone."""
        copy = self.platform.copy()
        self.replace()
        self.platform.restore(copy)
        self.supervised.duty_written_at = None
        self.state.settings = evolve(self.state.settings, id="vm2")
        self.store.list("config")
        self.pass_lease()
        self.replace()
        (first, token), (second, later_token) = self.orders()
        self.assertNotEqual(first, second)
        self.assertGreater(later_token, token)

    def test_no_order_until_leases_of_the_earlier_era_have_expired(self):
        self.platform.restore(self.platform.copy())
        self.replace()
        self.assertEqual(self.orders(), [])
        self.pass_lease()
        self.replace()
        self.assertEqual(len(self.orders()), 1)

    def answer_inquiry(self, **answers):
        """Let other VMs answer whether they may hold the duty; None is no answer."""
        net = self.supervisor._inquiry._net

        def call(vm, make_frame, timeout):
            self.assertEqual(make_frame(1).duty_era, self.state.history.era)
            if answers[vm] is None:
                raise PeerLostError("no answer in time")
            return frames.Proved(call=1, may_hold_duty=answers[vm])

        net.call = call
        for name in answers:
            entry = VmEntry(name, "north-a", ("127.0.0.1", 1), 1)
            self.state.vms.update(entry, self.state.now())

    def orders_after_a_restore(self, **answers):
        self.answer_inquiry(**answers)
        self.platform.restore(self.platform.copy())
        self.replace()
        return len(self.orders())

    def test_no_wait_if_no_other_vm_holds_the_duty(self):
        """A failed primary stayed in place for 6 s after each restore."""
        self.assertEqual(self.orders_after_a_restore(vm2=False, vm3=False), 1)

    def test_vm_that_may_hold_the_duty_is_waited_for(self):
        self.assertEqual(self.orders_after_a_restore(vm2=False, vm3=True), 0)

    def test_vm_that_does_not_answer_may_hold_the_duty(self):
        """It may be suspended, or on the other side of a cut."""
        self.assertEqual(self.orders_after_a_restore(vm2=False, vm3=None), 0)

    def test_denial_counts_for_one_era(self):
        self.assertEqual(self.orders_after_a_restore(vm2=False), 1)
        self.supervised.duty_written_at = None
        self.supervised.inquiry_at = timedelta.min
        self.assertEqual(self.orders_after_a_restore(vm2=True), 1)

    def test_duty_that_was_never_held_is_asked_about_on_a_machine_that_runs_for_days(self):
        """Subtracting the earliest time from one of more than a day overflows."""
        self.state.clock = ManualClock()
        self.state.clock.advance(timedelta(days=2))
        self.assertFalse(self.supervisor.leases.holds(self.supervised))

    def test_failed_check_is_logged_and_the_next_one_runs(self):
        """The greenlet ended with a traceback and no event."""
        with (
            mock.patch.object(self.supervisor, "_supervise", side_effect=OverflowError("late")),
            mock.patch.object(_supervisor, "log_event") as log,
        ):
            self.supervisor._run_check(self.supervised)
        self.assertEqual(log.call_args.args, ("supervision_failed",))
        self.assertFalse(self.supervised.in_progress)

    def test_vm_that_writes_the_record_may_hold_the_duty(self):
        """Its write may have been acknowledged just before the restore."""
        leases = self.supervisor.leases
        leases.read(self.supervised)
        self.assertFalse(leases.may_hold(SERVICE))
        seen = []

        def put(supervised, value):
            seen.append(leases.may_hold(SERVICE))
            return self.store.create(KIND_DUTIES, SERVICE, value)

        with mock.patch.object(leases, "_put", put):
            leases.acquire(self.supervised, "m2")
        self.assertEqual((seen, leases.may_hold(SERVICE)), ([True], True))
        self.supervised.duty_written_at -= DUTY_LEASE
        self.assertFalse(leases.may_hold(SERVICE))

    def test_holder_goes_on_after_a_restore(self):
        """Nobody else may take the duty yet, so its services would stay without a primary."""
        copy = self.platform.copy()
        self.replace()
        self.platform.restore(copy)
        self.replace()
        (_, token), (_, later_token) = self.orders()
        self.assertGreater(later_token, token)

    def test_record_written_in_another_era_than_it_was_read_in_is_not_used(self):
        """The revision it replaced was given out again, and another VM may hold the duty."""
        self.supervisor.leases.read(self.supervised)
        self.platform.restore(self.platform.copy())
        self.assertIsNone(self.supervisor.leases.acquire(self.supervised, "m2"))
        self.assertEqual(self.orders(), [])

    def test_lost_answer_is_not_read_back_from_another_era(self):
        self.supervisor.leases.read(self.supervised)
        era = self.platform.era

        def restore_and_fail(supervised, value):
            self.platform.put(KIND_DUTIES, SERVICE, value)
            self.platform.era = era + 1
            raise UnansweredError("lost")

        with mock.patch.object(self.supervisor.leases, "_put", restore_and_fail):
            self.assertIsNone(self.supervisor.leases.acquire(self.supervised, "m2"))

    def test_leaving_primary_is_not_paused_before_the_duty_is_free(self):
        """Its writes would stop though nobody may order a successor yet."""
        self.platform.restore(self.platform.copy())
        self.store.list("config")
        self.state.members.put(member_entry(self.group, "m1", MemberState.DRAINING, revision=9))
        with mock.patch.object(self.supervisor, "_hand_over") as hand_over:
            self.supervise()
            hand_over.assert_not_called()
            self.pass_lease()
            self.supervise()
            hand_over.assert_called_once()


class CheckTest(SupervisorTest):
    def check(self):
        return self.supervisor._evidence.collect(self.supervised, member_entry(self.group, "m1"))

    def test_primary_is_asked_while_other_vms_have_not_answered(self):
        """A dark primary was replaced 0.6 s later, as both timeouts passed one after the other."""
        asked = Event()
        with (
            mock.patch.object(
                self.supervisor._evidence._executor, "prove", lambda *_: asked.wait(5)
            ),
            mock.patch.object(
                self.supervisor._evidence, "_probe_primary", lambda *_: asked.set() or True
            ),
        ):
            self.assertTrue(self.check()[1])
        self.assertTrue(asked.is_set())

    def test_primary_is_not_asked_if_another_vm_has_a_proof(self):
        """Each check of an idle primary would dial it and take one of its slots."""
        with mock.patch.object(self.supervisor._evidence, "_probe_primary") as probe:
            silent_for, refused = self.check()
        self.assertLess(silent_for, _supervisor.SUPERVISION_INTERVAL)
        self.assertFalse(refused)
        probe.assert_not_called()


class PlannedTest(SupervisorTest):
    def drain(self, name):
        entry = member_entry(self.group, name, MemberState.DRAINING, revision=9)
        self.state.members.put(entry)
        self.schedulers.maintain()

    def test_leaving_primary_hands_over_without_losing_an_entry(self):
        for name in ("m2", "m3"):
            self.group.members_by_name[name].lag = timedelta(milliseconds=60)
        self.write("m1", "WRITE a 1")
        self.drain("m1")
        self.supervise()
        self.assertNotEqual(self.primary_name(), "m1")
        self.assertEqual([entry.data for entry in self.group.primary.log], [{"a": "1"}])

    def test_open_transaction_ends_before_the_change(self):
        """A planned change must not roll back the transaction that a caller is working on."""
        opened = request("WRITE a 1", "m1", transaction_id=5, opens=Opens.READ_WRITE)
        self.assertTrue(self.schedulers.run("vm1", opened).transaction_open)
        self.drain("m1")
        supervision = gevent.spawn(self.supervise)
        gevent.sleep(0.1)
        commit = request("COMMIT", "m1", transaction_id=5)
        self.assertTrue(self.schedulers.run("vm1", commit).answer.succeeded)
        supervision.get()
        self.assertNotEqual(self.primary_name(), "m1")
        self.assertEqual([entry.data for entry in self.group.primary.log], [{"a": "1"}])

    def test_write_that_comes_during_the_change_waits_for_it(self):
        for name in ("m2", "m3"):
            self.group.members_by_name[name].lag = timedelta(milliseconds=100)
        self.write("m1", "WRITE a 1")
        self.drain("m1")
        supervision = gevent.spawn(self.supervise)
        gevent.sleep(0.03)
        late_write = gevent.spawn(self.schedulers.run, "vm1", request("WRITE b 2", "m1", "late"))
        gevent.sleep(0.03)
        self.assertEqual(self.group.runs_of("late"), [])
        supervision.get()
        # It did not run at the old primary, so the entry VM retries it at the new one.
        self.assertTrue(late_write.get().problem.not_run)
