"""Change of primary where commits are acknowledged once replicas have received them."""

import itertools
import unittest
from datetime import timedelta
from unittest import mock

import gevent
from attrs import evolve
from bramleyrill_base import ManualClock
from bramleyrill_core import Mark, Rank
from bramleyrill_core.admission import MemberAdmission, Queued, Started
from bramleyrill_core.catalog import (
    LOST_REPLICA_MEMORY,
    UNKNOWN_REPLICA,
    LostReplica,
    MemberState,
    MemberTable,
    ReplicaProcess,
    ServiceEntry,
)
from bramleyrill_core.catalog._tables import LAPSE_GRACE
from bramleyrill_core.freshness import ProofHistory
from bramleyrill_core.leadership import (
    DUTY_LEASE,
    KIND_DUTIES,
    Candidate,
    DutyRecord,
    DutyView,
    Poll,
    choose_from,
    uncovered_losses,
)
from bramleyrill_entry._duty_leases import SupervisedService
from bramleyrill_entry._member_commands import MemberCommand, MemberCommands
from bramleyrill_entry._run_request import Opens, RunProblem
from bramleyrill_entry._state import EntryState
from bramleyrill_platform import decode_catalog
from bramleyrill_standins.prepared import LineGroup
from gevent.lock import Semaphore

from tests.entry.builders import SERVICE, make_state, member_entry, request
from tests.entry.test_session import SessionTest
from tests.entry.test_supervisor import SupervisorTest

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
NEW, OLD = Mark(3, 9), Mark(3, 5)


class ChoiceTest(unittest.TestCase):
    def choose(self, candidates, unheard="", sync_replicas=1):
        """Return the choice among members, each a name and a mark; upper case names drain."""
        polled = [Candidate(name, mark, name.islower()) for name, mark in candidates.items()]
        return choose_from(Poll(polled, list(unheard), sync_replicas))

    def test_no_choice_while_an_unheard_replica_may_have_more(self):
        """The replica that answered lacked acknowledged commits, which were lost."""
        self.assertIsNone(self.choose({"b": OLD}, unheard="c"))
        self.assertIsNone(self.choose({"b": OLD, "c": OLD}, unheard="de", sync_replicas=2))

    def test_fewer_unheard_replicas_than_copies_hide_no_commit(self):
        """Waiting for every replica would keep the service without a primary for no reason."""
        self.assertEqual(self.choose({"b": OLD, "c": NEW}), "c")
        self.assertEqual(self.choose({"b": OLD, "c": NEW}, unheard="d", sync_replicas=2), "c")

    def test_draining_replica_with_the_newest_entry_is_appointed(self):
        """It counts for the acknowledgement until it ends, and was not even asked."""
        self.assertEqual(self.choose({"b": OLD, "C": NEW}), "C")
        self.assertEqual(self.choose({"b": NEW, "C": NEW}), "b")

    def test_without_synchronous_replicas_the_service_does_not_wait(self):
        self.assertEqual(self.choose({"b": OLD}, unheard="c", sync_replicas=0), "b")

    def test_chosen_member_has_every_commit_that_must_last(self):
        """All cases of up to four replicas: who has the newest entry, and who answers."""
        names = "bcde"
        for size, sync_replicas in itertools.product(range(1, 5), range(1, 5)):
            for holders, heard in itertools.product(_subsets(names[:size]), repeat=2):
                if len(holders) < sync_replicas:
                    continue
                marks = {name: NEW if name in holders else OLD for name in heard}
                unheard = set(names[:size]) - set(heard)
                chosen = self.choose(marks, unheard, sync_replicas)
                self.assertTrue(chosen is None or chosen in holders, (holders, heard))


def _subsets(names):
    return [
        subset for size in range(len(names) + 1) for subset in itertools.combinations(names, size)
    ]


class LostReplicaTest(unittest.TestCase):
    """A replica that crashed may be the only one with an acknowledged commit."""

    def setUp(self):
        group = LineGroup(SERVICE, ["m1", "m2", "m3"])
        self.addCleanup(group.close)
        self.group = group
        self.table = MemberTable()
        for name in group.members_by_name:
            self.table.put(member_entry(group, name))

    def lose(self, name, at=timedelta()):
        self.table.lapse(name, at)
        self.table.drop_lapsed(at + LAPSE_GRACE)

    def lost(self, at=LAPSE_GRACE):
        return [replica.member for replica in self.table.lost_replicas_of(SERVICE, at)]

    def put_new(self, name, state=MemberState.READY, **changes):
        """Put a later entry of a member."""
        entry = member_entry(self.group, name, state, revision=5)
        self.table.put(evolve(entry, **changes), LAPSE_GRACE)

    def test_replica_whose_entry_is_gone_still_counts(self):
        """With its entry gone, the replica that lagged behind it was the only one to choose."""
        self.lose("m2")
        self.assertEqual(self.lost(), ["m2"])
        self.assertEqual(self.table.lost_replicas_of("other", LAPSE_GRACE), [])

    def test_replica_that_is_back_is_not_lost(self):
        self.lose("m2")
        self.put_new("m2")
        self.assertEqual(self.lost(), [])

    def test_replica_that_starts_again_has_lost_its_log(self):
        """It answers under its old id, and the replica that lagged behind it was promoted."""
        self.put_new("m2", incarnation=7)
        self.assertEqual(self.lost(), ["m2"])
        (lost,) = self.table.lost_replicas_of(SERVICE, LAPSE_GRACE)
        self.assertEqual((lost.quiet_since, lost.has_ended), (LAPSE_GRACE, True))

    def test_replica_that_starts_again_after_its_entry_was_gone_stays_lost(self):
        self.lose("m2")
        self.put_new("m2", incarnation=7)
        self.assertEqual(self.lost(), ["m2"])

    def test_primary_is_no_lost_replica(self):
        """It comes back with its log, and nobody else needs to have what it alone had."""
        self.lose("m1")
        self.assertEqual(self.lost(), [])

    def test_replica_that_left_as_planned_counts_until_its_successor_has_its_log(self):
        """It counts for acknowledgements until it ends; before that its log is at no other id."""
        self.put_new("m3", MemberState.DRAINING)
        self.lose("m3")
        self.assertEqual(self.lost(), ["m3"])
        self.put_new("m3", id="m4")
        self.assertEqual(self.lost(), [])

    def test_new_member_at_the_address_of_a_crashed_one_has_not_its_log(self):
        """Only the log of a member that drained is transferred."""
        self.lose("m2")
        self.put_new("m2", id="m4")
        self.assertEqual(self.lost(), ["m2"])

    def test_what_was_lost_before_the_first_list_is_not_known(self):
        """VMs that were all restarted after a replica was lost took the other one for complete."""
        entries = [member_entry(self.group, name) for name in ("m1", "m3")]
        self.table = MemberTable()
        self.table.replace_all(entries, SECOND)
        self.table.replace_all(entries, 9 * SECOND)
        self.assertEqual(self.lost(9 * SECOND), [UNKNOWN_REPLICA])
        self.assertEqual(self.lost(LOST_REPLICA_MEMORY + SECOND), [])

    def test_replica_that_only_lost_its_entry_may_live(self):
        """It was held for ended when its entry was gone, and went on confirming commits."""
        self.lose("m2")
        (lost,) = self.table.lost_replicas_of(SERVICE, LAPSE_GRACE)
        self.assertEqual((lost.quiet_since, lost.has_ended), (None, False))

    def test_process_that_is_replaced_has_ended(self):
        """The process that started in its place was asked, and answered for its log."""
        self.lose("m2")
        for changes in ({"incarnation": 7}, {"id": "m4"}):
            self.put_new("m2", **changes)
            (lost,) = self.table.lost_replicas_of(SERVICE, LAPSE_GRACE)
            self.assertEqual((lost.quiet_since, lost.has_ended), (LAPSE_GRACE, True))
            self.table.members.remove(changes.get("id", "m2"))
            self.table.lost._by_process.clear()
            self.put_new("m2")
            self.lose("m2")

    def test_process_of_a_record_that_is_replaced_has_ended(self):
        entry = member_entry(self.group, "m2")
        processes = [
            ReplicaProcess("m2", 5, ("10.0.0.9", 9)),
            ReplicaProcess("m9", 0, entry.address),
            ReplicaProcess("m8", 0, ("10.0.0.9", 9)),
        ]
        self.table.remember_replicas(SERVICE, processes, SECOND)
        lost = self.table.lost_replicas_of(SERVICE, SECOND)
        self.assertEqual([item.has_ended for item in lost], [True, True, False])

    def test_answer_ends_the_silence_of_a_replica_without_an_entry(self):
        self.lose("m2")
        for at in (3 * SECOND, 4 * SECOND):
            (lost,) = self.table.lost_replicas_of(SERVICE, at)
            self.table.lost.record_silence(lost, at, has_ended=False)
        (lost,) = self.table.lost_replicas_of(SERVICE, 4 * SECOND)
        self.assertEqual(lost.quiet_since, 3 * SECOND)
        self.table.lost.record_answer(lost, 5 * SECOND)
        (lost,) = self.table.lost_replicas_of(SERVICE, 5 * SECOND)
        self.assertIsNone(lost.quiet_since)

    def test_process_that_has_ended_cannot_answer(self):
        """What answers at its address later is another process, which knows nothing of its log."""
        self.lose("m2")
        (lost,) = self.table.lost_replicas_of(SERVICE, LAPSE_GRACE)
        self.table.lost.record_silence(lost, 3 * SECOND, has_ended=True)
        self.table.lost.record_answer(lost, 4 * SECOND)
        (lost,) = self.table.lost_replicas_of(SERVICE, 4 * SECOND)
        self.assertEqual((lost.quiet_since, lost.has_ended), (3 * SECOND, True))

    def test_replica_that_answers_is_not_given_up(self):
        """Its commits would be given up while it goes on confirming new ones."""
        self.lose("m2")
        (lost,) = self.table.lost_replicas_of(SERVICE, LAPSE_GRACE)
        self.table.lost.record_answer(lost, 50 * SECOND)
        self.assertEqual(self.lost(LOST_REPLICA_MEMORY + 40 * SECOND), ["m2"])
        self.assertEqual(self.lost(LOST_REPLICA_MEMORY + 50 * SECOND), [])

    def test_replica_is_given_up_after_a_bounded_time(self):
        """A replica that is lost for good must not stop the service for ever."""
        self.lose("m2")
        self.assertEqual(self.lost(LOST_REPLICA_MEMORY - MS), ["m2"])
        self.assertEqual(self.lost(LOST_REPLICA_MEMORY), [])


class CoveredLossTest(unittest.TestCase):
    """What a lost replica had is known to be elsewhere once the primary's later position is."""

    LOST = LostReplica("b", SERVICE, heard_at=4 * SECOND, quiet_since=5 * SECOND)

    def uncovered(self, *proofs, newest=NEW, lost=LOST):
        """Return the lost replicas that still count, after proofs of a mark and its time."""
        history = ProofHistory()
        for mark, proved_at in proofs:
            history.record(mark, proved_at)
        uncovered = uncovered_losses([lost], [Candidate("c", newest, True)], history)
        return [replica.member for replica in uncovered]

    def test_replica_that_may_live_counts_whatever_is_proved(self):
        """It confirmed commits after the proof that was to cover it, and they were lost."""
        living = evolve(self.LOST, quiet_since=None)
        self.assertEqual(self.uncovered((NEW, 6 * SECOND), lost=living), ["b"])

    def test_loss_counts_without_a_proof_after_it(self):
        self.assertEqual(self.uncovered(), ["b"])
        self.assertEqual(self.uncovered((OLD, 4 * SECOND)), ["b"])

    def test_loss_counts_until_a_candidate_has_the_proved_position(self):
        self.assertEqual(self.uncovered((NEW, 6 * SECOND), newest=OLD), ["b"])
        self.assertEqual(self.uncovered((NEW, 6 * SECOND)), [])

    def test_first_position_after_the_loss_is_enough(self):
        """Later ones include commits in progress, which may be at no replica."""
        later = (Mark(3, 99), 9 * SECOND)
        self.assertEqual(self.uncovered((NEW, 5 * SECOND), later), [])
        self.assertEqual(self.uncovered((NEW, 5 * SECOND - MS), later), ["b"])

    def test_without_a_candidate_every_loss_counts(self):
        history = ProofHistory()
        history.record(OLD, 6 * SECOND)
        self.assertEqual(uncovered_losses([self.LOST], [], history), [self.LOST])


class ReservedSlotTest(unittest.TestCase):
    def test_reserved_slots_are_not_given_out(self):
        """A command to a member under load found no free slot, however often it was sent."""
        clock = ManualClock()
        admission = MemberAdmission(SERVICE, 3, 10 * MS, clock)

        def submit(number):
            return type(admission.submit(number, Rank.URGENT, SECOND, SECOND))

        self.assertEqual([submit(1), submit(2)], [Started, Started])
        admission.reserve(2)
        self.assertIs(submit(3), Queued)
        self.assertIs(submit(4), Queued)
        self.assertEqual(admission.finish(1), [])
        self.assertEqual([item.id for item in admission.finish(2)], [3])
        self.assertEqual([item.id for item in admission.unreserve(2)], [4])


class CommandTest(SupervisorTest):
    def flood(self, name, readers=12):
        """Keep all slots of a member in use through this VM, its holder."""
        member = self.group.members_by_name[name]
        member.slots, member.statement_time = Semaphore(2), 12 * MS
        read = {"fence": False, "max_staleness": SECOND}

        def read_forever():
            while True:
                self.schedulers.run("vm1", request("READ a", name, **read))

        self.write("m1", "WRITE a 1")
        for _ in range(readers):
            self.addCleanup(gevent.spawn(read_forever).kill)
        # Between two statements a slot is free for a moment.
        with gevent.Timeout(5):
            while not member.slots.locked():
                gevent.sleep(0.001)

    def send(self, name, command=MemberCommand.STATUS, term=0):
        commands = MemberCommands(self.net)
        return commands.send(member_entry(self.group, name), command, term)

    def test_member_under_load_answers_a_command(self):
        """Its slots were always in use by reads, so STATUS was answered BUSY again and again."""
        self.flood("m2")
        self.assertEqual(self.send("m2").mark, Mark(1, 1))
        self.assertEqual(self.send("m2", MemberCommand.FENCE, 4).fenced_term, 4)

    def test_member_at_its_connection_limit_answers_a_command(self):
        """The connections of the proxies themselves kept STATUS from the member."""
        self.group.max_connections = 3
        self.flood("m2")
        self.assertEqual(self.send("m2").mark, Mark(1, 1))

    def test_statements_go_on_after_a_command(self):
        self.flood("m2")
        self.send("m2")
        count = len(self.group.runs)
        with gevent.Timeout(5):
            while len(self.group.runs) <= count + 10:
                gevent.sleep(0.01)

    def test_member_that_does_not_answer_is_reported_in_time(self):
        self.group.members_by_name["m2"].silent = True
        started = self.state.now()
        self.assertIsNone(self.send("m2"))
        self.assertLess(self.state.now() - started, 4 * SECOND)


def _send_without(refused):
    """Return a `send` of MemberCommands that gets no answer to one command."""
    send = MemberCommands.send

    def send_others(commands, member, command=MemberCommand.STATUS, term=0):
        return None if command is refused else send(commands, member, command, term)

    return send_others


class ChangeTest(SupervisorTest):
    """The replica m2 has the acknowledged commit, m3 has received nothing."""

    def setUp(self):
        super().setUp()
        self.state.catalog = evolve(
            self.state.catalog, services_by_name={SERVICE: ServiceEntry(SERVICE, 16, 1)}
        )
        self.group.members_by_name["m3"].lag = timedelta(seconds=10)
        self.write("m1", "WRITE a 1")
        gevent.sleep(0.01)

    def fail_primary(self):
        self.group.members_by_name["m1"].stop()
        self.replace()

    def replace(self):
        self.supervised.leaderless_at = timedelta.min
        self.supervisor._replace_primary(
            self.supervised, self.state.members.primary_of(SERVICE).entry
        )

    def appointed(self):
        return [order[1] for order in self.platform.appointments]

    def test_replica_that_does_not_answer_is_waited_for(self):
        """The replica that lagged was promoted, since the other one answered STATUS with BUSY."""
        self.group.members_by_name["m2"].refused_control = "STATUS"
        self.fail_primary()
        self.assertEqual(self.appointed(), [])
        self.group.members_by_name["m2"].refused_control = ""
        self.replace()
        self.assertEqual(self.appointed(), ["m2"])

    def test_replica_that_is_down_is_waited_for(self):
        self.group.members_by_name["m2"].stop()
        self.fail_primary()
        self.assertEqual(self.appointed(), [])

    def remove_entry(self, name):
        self.state.members.lapse(name, self.state.now() - 2 * LAPSE_GRACE)
        self.state.members.drop_lapsed(self.state.now())

    def settle(self):
        primary = self.state.members.primary_of(SERVICE).entry
        self.supervisor._search.settle_losses(self.supervised, primary)

    def test_replica_whose_entry_is_gone_is_waited_for(self):
        self.remove_entry("m2")
        self.group.members_by_name["m2"].stop()
        self.fail_primary()
        self.assertEqual(self.appointed(), [])

    def test_replica_that_only_lost_its_entry_is_asked(self):
        """It had all acknowledged commits; the one that lagged was promoted without it."""
        self.remove_entry("m2")
        self.fail_primary()
        self.assertEqual(self.appointed(), ["m2"])

    def test_position_that_was_proved_does_not_cover_a_replica_that_lives(self):
        """It confirmed further commits, which the one that had that position lacked."""
        self.remove_entry("m2")
        self.settle()
        self.prove_primary()
        self.group.members_by_name["m3"].log[:] = self.group.members_by_name["m1"].log
        self.write("m1", "WRITE b 2")
        gevent.sleep(0.01)
        self.fail_primary()
        self.assertEqual(self.appointed(), ["m2"])

    def test_replica_without_an_entry_that_is_busy_is_waited_for(self):
        """Its refusal of a command shows that it lives."""
        self.group.members_by_name["m2"].refused_control = "STATUS"
        self.remove_entry("m2")
        self.settle()
        self.prove_primary()
        self.group.members_by_name["m3"].log[:] = self.group.members_by_name["m1"].log
        self.fail_primary()
        self.assertEqual(self.appointed(), [])

    def test_replica_that_ended_is_covered_by_a_later_position(self):
        """The service would stay without a primary for a minute after each loss."""
        self.remove_entry("m2")
        self.group.members_by_name["m2"].stop()
        self.settle()
        self.prove_primary()
        self.group.members_by_name["m3"].log[:] = self.group.members_by_name["m1"].log
        self.fail_primary()
        self.assertEqual(self.appointed(), ["m3"])

    def test_replica_that_ended_after_the_proof_is_waited_for(self):
        """It may have confirmed commits until it ended."""
        self.remove_entry("m2")
        self.prove_primary()
        self.group.members_by_name["m3"].log[:] = self.group.members_by_name["m1"].log
        self.group.members_by_name["m2"].stop()
        self.fail_primary()
        self.assertEqual(self.appointed(), [])

    def test_appointed_replica_without_an_entry_is_replaced_by_a_listed_one(self):
        """No caller reaches it, and the others have its commits once they follow it."""
        self.remove_entry("m2")
        self.fail_primary()
        self.remove_entry("m1")
        self.supervisor._replace_primary(self.supervised, None)
        self.assertEqual(self.appointed(), ["m2", "m3"])

    def restart_replica(self):
        """Start m2 again: it answers under its id, and its log is empty."""
        self.group.members_by_name["m2"].log.clear()
        entry = evolve(member_entry(self.group, "m2", revision=9), incarnation=7)
        self.state.members.put(entry, self.state.now())

    def prove_primary(self):
        position = len(self.group.members_by_name["m1"].log)
        self.state.record_proof(SERVICE, "m1", 1, Mark(1, position), self.state.now())

    def test_replica_that_started_again_has_no_commits(self):
        """It answered, so the replica that lagged was taken for the most advanced one."""
        self.restart_replica()
        self.fail_primary()
        self.assertEqual(self.appointed(), [])

    def test_replica_that_has_what_was_proved_after_the_restart_is_appointed(self):
        """The service would stay without a primary for a minute after each restart."""
        self.restart_replica()
        self.prove_primary()
        self.group.members_by_name["m3"].log[:] = self.group.members_by_name["m1"].log
        self.fail_primary()
        self.assertEqual(self.appointed(), ["m3"])

    def test_vm_that_started_after_the_loss_waits_too(self):
        """Nobody remembered the replica that was lost, and the one that lagged was promoted."""
        entries = [member_entry(self.group, name) for name in ("m1", "m3")]
        self.state.members = MemberTable()
        self.state.members.replace_all(entries, self.state.now())
        self.fail_primary()
        self.assertEqual(self.appointed(), [])

    def keep_roster(self, index=0):
        self.supervised.roster_at = self.supervised.losses_check_at = timedelta.min
        primary = self.state.members.primary_of(SERVICE).entry
        self.supervisor._roster.keep(self.supervised, primary, index)

    def restart_vm(self, *listed):
        """Make this VM one that has just started, and lists some of the members."""
        self.state.members = MemberTable()
        entries = [member_entry(self.group, name) for name in listed]
        self.state.members.replace_all(entries, self.state.now())
        self.state.proofs = type(self.state.proofs)()
        self.supervised = SupervisedService(SERVICE, DutyView(), self.state.now(), member="m1")

    def record_of_duty(self):
        return DutyRecord.from_value(self.platform.value(KIND_DUTIES, SERVICE))

    def test_vms_that_were_all_restarted_know_the_replicas_from_the_record(self):
        """They waited a minute for an unknown replica, though all that there were answered."""
        self.keep_roster()
        self.restart_vm("m1", "m2", "m3")
        self.fail_primary()
        self.assertEqual(self.appointed(), ["m2"])

    def test_replica_that_only_the_record_names_is_waited_for(self):
        """It was lost before all VMs were restarted, and had the commits that the other lacked."""
        self.keep_roster()
        self.restart_vm("m1", "m3")
        self.group.members_by_name["m2"].stop()
        self.fail_primary()
        self.assertEqual(self.appointed(), [])

    def test_replica_that_only_the_record_names_is_asked(self):
        self.keep_roster()
        self.restart_vm("m1", "m3")
        self.fail_primary()
        self.assertEqual(self.appointed(), ["m2"])

    def test_process_that_the_record_names_is_not_the_one_that_is_listed(self):
        """The replica started again with an empty log while all VMs were down."""
        self.keep_roster()
        self.restart_vm("m1", "m3")
        self.restart_replica()
        self.fail_primary()
        self.assertEqual(self.appointed(), [])

    def test_record_of_an_order_names_the_replicas(self):
        """VMs that are restarted after two changes in a row read the last record only."""
        self.fail_primary()
        self.assertEqual([item.id for item in self.record_of_duty().replicas], ["m2", "m3"])

    def test_record_follows_the_replicas_that_join(self):
        """A replica that joined and was lost was not known after a restart of all VMs."""
        self.keep_roster()
        joined = evolve(member_entry(self.group, "m3", revision=9), id="m4")
        self.state.members.put(joined, self.state.now())
        self.keep_roster()
        self.assertEqual([item.id for item in self.record_of_duty().replicas], ["m2", "m3", "m4"])

    def test_replica_that_was_settled_leaves_the_record(self):
        """VMs that are restarted later would wait for a replica that nobody needs."""
        self.remove_entry("m3")
        self.group.members_by_name["m3"].stop()
        self.keep_roster()
        gevent.sleep(0.05)
        self.prove_primary()
        self.keep_roster()
        gevent.sleep(0.05)
        self.keep_roster()
        self.assertEqual([item.id for item in self.record_of_duty().replicas], ["m2"])

    def test_new_supervisor_keeps_the_replicas_that_only_the_record_names(self):
        """It wrote those that it knew itself, and the one without an entry was forgotten."""
        self.keep_roster()
        self.restart_vm("m1", "m3")
        self.keep_roster()
        self.assertEqual([item.id for item in self.record_of_duty().replicas], ["m2", "m3"])

    def test_unchanged_replicas_cost_no_call(self):
        """An idle service would cost calls to the store for each supervisor."""
        self.keep_roster()
        calls = self.store.calls.total
        self.keep_roster()
        self.keep_roster(index=1)
        self.assertEqual(self.store.calls.total, calls)

    def test_service_without_synchronous_replicas_costs_no_call(self):
        self.state.catalog = evolve(
            self.state.catalog, services_by_name={SERVICE: ServiceEntry(SERVICE, 16)}
        )
        self.keep_roster()
        self.assertEqual(self.store.calls.total, 0)

    def test_record_of_another_holder_is_left_alone(self):
        """Its lease would look free, and two VMs could order in turns within it."""
        self.platform.put(KIND_DUTIES, SERVICE, DutyRecord("vm9", 4, "m1").to_value())
        self.keep_roster()
        self.assertEqual(self.record_of_duty(), DutyRecord("vm9", 4, "m1"))

    def test_own_lease_is_kept_when_the_replicas_are_stored(self):
        """Another VM could order within the lease of this one's last order."""
        self.fail_primary()
        self.keep_roster()
        record = self.record_of_duty()
        self.assertEqual((record.holder, record.member), ("vm1", "m2"))
        self.assertEqual([item.id for item in record.replicas], ["m1", "m3"])

    def test_draining_replica_is_asked(self):
        """Members that take no new work were not asked, though they acknowledge commits."""
        self.state.members.put(member_entry(self.group, "m2", MemberState.DRAINING, revision=9))
        self.fail_primary()
        self.assertEqual(self.appointed(), ["m2"])

    def test_operator_can_give_up_the_commits(self):
        """With syncReplicas 0 in force the replica that is left is appointed."""
        self.group.members_by_name["m2"].stop()
        self.state.catalog = evolve(
            self.state.catalog, services_by_name={SERVICE: ServiceEntry(SERVICE, 16)}
        )
        self.fail_primary()
        self.assertEqual(self.appointed(), ["m3"])

    def test_all_vms_learn_that_there_is_no_primary(self):
        """Their callers would wait for a primary until their deadline."""
        self.group.members_by_name["m2"].stop()
        self.fail_primary()
        self.assertTrue(self.state.is_leaderless(SERVICE))
        (frame,) = self.net.sent
        self.assertEqual((frame.member, frame.leaderless_ms), ("m1", 1500))
        self.assertEqual(self.state.members.primary_of(SERVICE).entry.id, "m1")

    def test_answer_of_the_primary_ends_the_refusals(self):
        self.state.record_leaderless(SERVICE, SECOND)
        self.state.record_proof(SERVICE, "m1", 1, Mark(1, 1), self.state.now())
        self.assertFalse(self.state.is_leaderless(SERVICE))

    def test_primary_that_other_vms_still_reach_is_demoted_first(self):
        """Commits of other VMs after the choice were acknowledged and then rolled back."""
        outcomes = []

        def write_before_the_order(*args):
            outcomes.append(self.write("m1", "WRITE b 2"))
            return appoint(*args)

        appoint = self.supervisor._duties.appoint
        with mock.patch.object(self.supervisor._duties, "appoint", write_before_the_order):
            self.replace()
        self.assertEqual(self.appointed(), ["m2"])
        self.assertIs(outcomes[0].problem, RunProblem.NOT_PRIMARY)
        self.assertEqual([entry for entry in self.group.history if entry.rolled_back], [])

    def change_during(self, action, change):
        """Run `change`, and `action` after its choice, 50 ms before the promotion."""

        def appoint_later(*args):
            action()
            gevent.sleep(0.05)
            return appoint(*args)

        appoint = self.supervisor._duties.appoint
        with mock.patch.object(self.supervisor._duties, "appoint", appoint_later):
            change()

    def start_write(self):
        self.writing = gevent.spawn(self.write, "m1", "WRITE b 2")

    def restart_primary_and_write(self):
        # Connections to the process that ended would lose the write.
        self.schedulers.close()
        self.group.members_by_name["m1"].start()
        self.start_write()

    def equal_replicas(self):
        """Give m3 all commits; later ones reach m2 only, and m3 would be the choice."""
        self.group.members_by_name["m3"].log[:] = self.group.members_by_name["m1"].log
        self.group.sync_replicas = 1

    def unheard_announcement(self):
        """Make this VM one that does not hear that the primary is being replaced."""
        patch = mock.patch.object(EntryState, "record_replacement")
        patch.start()
        self.addCleanup(patch.stop)

    def test_primary_that_is_back_before_its_successor_leads_acknowledges_nothing(self):
        """The replica that was not chosen confirmed its commits, which were then rolled back."""
        self.equal_replicas()
        self.unheard_announcement()
        self.change_during(self.restart_primary_and_write, self.fail_primary)
        outcome = self.writing.get(timeout=5)
        self.assertEqual(self.primary_name(), "m3")
        self.assertIs(outcome.problem, RunProblem.LOST)

    def test_primary_that_others_still_reach_acknowledges_nothing_after_the_choice(self):
        """A primary that is silent to the supervisor alone went on with the other replica."""
        self.equal_replicas()
        self.unheard_announcement()
        with mock.patch.object(MemberCommands, "send", _send_without(MemberCommand.DEMOTE)):
            self.change_during(self.start_write, self.replace)
        self.assertIs(self.writing.get(timeout=5).problem, RunProblem.LOST)

    def test_primary_that_is_being_replaced_gets_no_new_work(self):
        """Its commits would end with the change, and the callers not know their outcome."""
        self.equal_replicas()
        self.change_during(self.restart_primary_and_write, self.fail_primary)
        self.assertIs(self.writing.get(timeout=5).problem, RunProblem.NOT_PRIMARY)
        frame = self.net.sent[0]
        self.assertEqual((frame.member, frame.replacing_ms), ("m1", 4000))

    def test_primary_that_leads_again_gets_work_at_once(self):
        """A change that no replica can take over ends with the old primary."""
        self.state.record_replacement("m1", 5 * SECOND)
        self.state.record_appointment(SERVICE, "m1", "order")
        self.assertTrue(self.write("m1", "WRITE b 2").answer.succeeded)

    def test_replicas_receive_again_after_the_change(self):
        """Replicas that stayed fenced would leave the new primary without anyone to confirm."""
        self.equal_replicas()
        self.fail_primary()
        gevent.sleep(0.05)
        fences = {name: item.fenced_term for name, item in self.group.members_by_name.items()}
        self.assertEqual(fences, {"m1": 0, "m2": 0, "m3": 0})
        self.assertTrue(self.write("m3", "WRITE c 3").answer.succeeded)

    def test_no_replica_is_fenced_without_the_duty(self):
        """Two VMs that fence and resume by turns would undo each other's choice."""
        self.platform.put(KIND_DUTIES, SERVICE, DutyRecord("vm9", 4, "m1").to_value())
        self.fail_primary()
        self.assertEqual(self.group.members_by_name["m2"].fenced_term, 0)

    def test_replica_lost_between_poll_and_fence_is_waited_for(self):
        """It may have confirmed commits of a primary that came back between the two."""
        self.group.members_by_name["m2"].refused_control = "PAUSE"
        self.fail_primary()
        self.assertEqual(self.appointed(), [])

    def leave_unfinished(self, holder, token=1):
        """Leave the replicas fenced, as by a VM that ended before its order; m1 leads."""
        for name in ("m2", "m3"):
            self.group.members_by_name[name].fenced_term = 2
        self.platform.put(KIND_DUTIES, SERVICE, DutyRecord(holder, token, "").to_value())
        self.supervised.index, self.supervised.index_valid_until = 0, timedelta.max
        self.state.record_proof(SERVICE, "m1", 1, Mark(1, 1), self.state.now())

    def test_change_that_another_vm_began_is_finished(self):
        """The primary answered, but could not commit until somebody ended the fences."""
        self.leave_unfinished("vm9")
        self.supervise()
        self.assertEqual(self.appointed(), [])
        self.supervised.duty.seen_at -= DUTY_LEASE
        self.supervise()
        gevent.sleep(0.05)
        self.assertEqual(len(self.appointed()), 1)
        self.assertEqual({item.fenced_term for item in self.group.members_by_name.values()}, {0})

    def test_own_change_that_failed_is_finished_at_once(self):
        self.leave_unfinished("vm1")
        self.supervise()
        self.assertEqual(len(self.appointed()), 1)

    def test_record_of_a_member_that_is_gone_starts_no_change(self):
        """A primary that returned under another id is not the one that was appointed last."""
        self.leave_unfinished("vm1")
        for name in ("m2", "m3"):
            self.group.members_by_name[name].fenced_term = 0
        self.supervise()
        self.assertEqual(self.appointed(), [])

    def test_primary_is_not_demoted_without_the_duty(self):
        """Nobody would lead until the holder of the duty acts."""
        self.platform.put(KIND_DUTIES, SERVICE, DutyRecord("vm9", 4, "m1").to_value())
        self.replace()
        self.assertTrue(self.group.members_by_name["m1"].is_primary)

    def drain_primary(self):
        self.state.members.put(member_entry(self.group, "m1", MemberState.DRAINING, revision=9))
        self.schedulers.maintain()

    def test_transaction_cannot_commit_after_the_choice_of_the_successor(self):
        """Commits between the choice and the promotion were acknowledged and then rolled back."""
        opened = request("WRITE b 2", "m1", transaction_id=5, opens=Opens.READ_WRITE)
        self.assertTrue(self.schedulers.run("vm1", opened).transaction_open)
        self.drain_primary()
        outcomes = []

        def commit_before_the_order(*args):
            outcomes.append(self.schedulers.run("vm1", request("COMMIT", "m1", transaction_id=5)))
            return appoint(*args)

        appoint = self.supervisor._duties.appoint
        with mock.patch.object(self.supervisor._duties, "appoint", commit_before_the_order):
            self.supervise()
        self.assertEqual(self.appointed(), ["m2"])
        (outcome,) = outcomes
        self.assertFalse(outcome.answer is not None and outcome.answer.succeeded)
        self.assertEqual([entry for entry in self.group.history if entry.rolled_back], [])

    def test_leaving_primary_leads_on_if_no_replica_catches_up(self):
        """The most advanced replica was appointed though it lacked acknowledged commits."""
        self.group.members_by_name["m2"].log.clear()
        self.drain_primary()
        self.supervise()
        self.assertEqual(self.appointed(), ["m1"])


class CallerTest(SessionTest):
    def test_statement_for_a_service_without_a_primary_is_refused_at_once(self):
        """The caller waited for 6 s for a primary that nobody could appoint."""
        self.group.members_by_name["m1"].stop()
        self.schedulers.close()
        self.state.record_leaderless(SERVICE, 5 * SECOND)
        caller = self.connect()
        caller.read_line()
        started = self.state.now()
        answer = caller.query("WRITE a 1")
        self.assertLess(self.state.now() - started, 2 * SECOND)
        self.assertIn("ERROR BUSY no_primary, retry after 1000 ms", "\n".join(answer))

    def test_primary_that_is_back_serves_at_once(self):
        self.state.record_leaderless(SERVICE, 5 * SECOND)
        caller = self.connect()
        caller.read_line()
        self.assertIn("COMPLETE", caller.query("WRITE a 1")[0])


class DecodeTest(unittest.TestCase):
    def test_synchronous_replicas_of_a_service(self):
        """Nothing read the number, so every change of primary was made as if it were 0."""
        services = [
            {"name": "a", "syncReplicas": 1},
            {"name": "b"},
            {"name": "c", "syncReplicas": "x"},
        ]
        catalog = decode_catalog({"version": 3, "backends": services})
        counts = {name: entry.sync_replicas for name, entry in catalog.services_by_name.items()}
        self.assertEqual(counts, {"a": 1, "b": 0, "c": 0})


class LeaderlessStateTest(unittest.TestCase):
    def test_refusals_end_by_themselves(self):
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        state = make_state(group)
        state.clock = ManualClock()
        state.record_leaderless(SERVICE, SECOND)
        self.assertTrue(state.is_leaderless(SERVICE))
        state.clock.advance(SECOND)
        self.assertFalse(state.is_leaderless(SERVICE))
