"""Stamps of load between VMs, the budget of repeated reads, and lengths of transactions."""

import unittest
from datetime import timedelta
from unittest import mock

from bramleyrill_core.placement import (
    LoadMeter,
    LoadSource,
    LoadStamp,
    ReadPlacement,
    RepeatBudget,
    StampFault,
    TransactionLengths,
    unpack_stamp,
)
from bramleyrill_entry import _load_reports
from bramleyrill_entry._load_reports import MAX_STAMPS_PER_PONG, LoadReports
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._run_codec import decode_result, encode_result
from bramleyrill_entry._run_request import RunResult
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_standins.prepared import LineGroup

from tests.entry.builders import DOMAIN, SERVICE, make_state

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
BUSY = LoadStamp(6, 9, 30 * MS, 150.0)


class StampTest(unittest.TestCase):
    def test_stamp_survives_packing(self):
        unpacked = unpack_stamp(BUSY.pack())
        self.assertEqual((unpacked.in_flight, unpacked.queued), (6, 9))
        self.assertAlmostEqual(unpacked.service_time / BUSY.service_time, 1, delta=0.07)
        self.assertAlmostEqual(unpacked.arrivals_per_s / BUSY.arrivals_per_s, 1, delta=0.07)

    def test_absurd_figures_are_cut_off(self):
        """A count of 10**9 would have made a member unusable for ever, or overflowed the frame."""
        for stamp in (LoadStamp(10**9, 10**9, 10**6 * SECOND, 1e12), LoadStamp(-5, -1, -SECOND)):
            packed = stamp.pack()
            self.assertTrue(0 <= packed < 2**31)
            self.assertTrue(0 <= unpack_stamp(packed).queued <= 1023)

    def test_other_integers_are_no_stamps(self):
        for packed in (-1, 2**31, 10**12, None, "7"):
            with self.subTest(packed=packed), self.assertRaises(ValueError):
                unpack_stamp(packed)

    def test_stamp_from_the_future_or_long_past_is_unknown(self):
        placement = ReadPlacement("x", {"x": "x"})
        for age, fault in (
            (-1 * MS, StampFault.FROM_THE_FUTURE),
            (60 * SECOND, StampFault.TOO_OLD),
        ):
            self.assertIs(
                placement.record_stamp("m", BUSY, age, LoadSource.GOSSIP, 100 * SECOND), fault
            )
        self.assertIsNone(placement.loads.load_of("m").stamp)

    def test_older_stamp_does_not_replace_a_newer_one(self):
        """Peers pass on what they know, in any order."""
        placement = ReadPlacement("x", {"x": "x"})
        placement.record_stamp("m", BUSY, 0 * MS, LoadSource.ANSWER, SECOND)
        placement.record_stamp("m", LoadStamp(0, 0), 500 * MS, LoadSource.GOSSIP, SECOND)
        self.assertEqual(placement.loads.load_of("m").stamp, BUSY)

    def test_light_load_is_not_told(self):
        """Bytes between VMs must not grow while all members have room."""
        meter = LoadMeter(slots=6)
        meter.record_arrival(SECOND)
        meter.record_run(30 * MS)
        self.assertFalse(meter.worth_telling(meter.stamp(1, 0, SECOND)))
        for _ in range(100):
            meter.record_arrival(SECOND)
        self.assertTrue(meter.worth_telling(meter.stamp(4, 0, SECOND)))
        self.assertFalse(meter.worth_telling(meter.stamp(0, 0, 20 * SECOND)))

    def test_answer_carries_the_stamp(self):
        frame = encode_result(1, RunResult(load=BUSY.pack()))
        self.assertEqual(decode_result(frame).load, BUSY.pack())
        self.assertIsNone(decode_result(encode_result(1, RunResult())).load)


class ReportsTest(unittest.TestCase):
    def setUp(self):
        group = LineGroup(SERVICE, ["m1", "m2", "m3"])
        self.addCleanup(group.close)
        self.state = make_state(group)
        self.reports = LoadReports(self.state, MemberSchedulers(self.state))
        self.loads = self.state.placement.loads

    def know(self, *members):
        for member in members:
            self.loads.hear(member, BUSY, 20 * MS, LoadSource.ANSWER, self.state.now())

    def test_stamps_pass_from_peer_to_peer(self):
        self.know("m1")
        data = self.reports.stamps_for(DOMAIN)
        self.loads.by_member.remove("m1")
        self.reports.hear_pong("vm2", data)
        row = self.loads.load_of("m1")
        self.assertEqual((row.stamp.queued, row.source), (9, LoadSource.GOSSIP))
        self.assertGreaterEqual(row.age(self.state.now()), 20 * MS)

    def test_pong_is_bounded_and_other_domains_get_none(self):
        self.know("m1", "m2", "m3")
        self.assertEqual(len(self.reports.stamps_for(DOMAIN)), 10 * MAX_STAMPS_PER_PONG)
        self.assertIsNone(self.reports.stamps_for("south-a"))

    def test_malformed_and_unknown_stamps_are_logged_once(self):
        """A peer with a fault would have filled the log."""
        with mock.patch.object(_load_reports, "log_event") as log:
            for _ in range(50):
                self.reports.hear_pong("vm2", b"123")
                self.reports.hear_pong("vm2", b"0123456789")
                self.reports.hear_pong("vm2", None)
        reasons = [call.kwargs["reason"] for call in log.call_args_list]
        self.assertEqual(reasons, [StampFault.MALFORMED, StampFault.UNKNOWN_MEMBER])

    def test_change_of_belief_is_logged_once_and_a_member_that_left_is_forgotten(self):
        self.know("m1")
        with mock.patch.object(_load_reports, "log_event") as log:
            for _ in range(5):
                self.reports.log_changes()
            self.state.members.members.remove("m1")
            self.reports.log_changes()
        self.assertEqual([call.args for call in log.call_args_list], [("member_judged",)])
        self.assertEqual(self.reports.shares, {})
        self.assertNotIn("m1", self.loads.by_member)

    def test_metrics_tell_share_and_reason_of_each_member(self):
        """Operators saw only where reads went, and not why."""
        self.know("m1")
        self.state.placement.order([self.state.members.members.get("m1").entry], None, SECOND)
        self.reports.log_changes()
        metrics = EntryMetrics()
        metrics.reads_placed = self.state.placement.counts
        metrics.read_shares = self.reports.shares
        text = metrics.render().decode()
        self.assertIn('bramleyrill_read_share{member="m1",standing="', text)
        self.assertIn('bramleyrill_reads_placed_total{member="m1",placed="chosen"} 1.0', text)


class RepeatTest(unittest.TestCase):
    def test_limit_follows_what_the_kind_usually_takes(self):
        budget = RepeatBudget()
        self.assertIsNone(budget.first_limit("kind"))
        for _ in range(100):
            budget.record_read("kind", 40 * MS)
        self.assertLess(budget.first_limit("kind"), 200 * MS)
        self.assertGreater(budget.first_limit("kind"), 80 * MS)
        self.assertIsNone(budget.first_limit("other"))

    def test_repeats_stay_within_a_twentieth_of_the_reads(self):
        """When all members are slow, repeats would double the load."""
        budget = RepeatBudget()
        for _ in range(2000):
            budget.record_read("kind", 40 * MS)
            if budget.first_limit("kind") is not None:
                budget.spend()
        self.assertLessEqual(budget.repeated, 0.05 * 2000 + 10)
        self.assertGreater(budget.repeated, 90)

    def test_repeats_of_reads_in_flight_together_are_earned_back(self):
        """Each of 200 reads in flight was repeated when all members turned slow at once."""
        budget = RepeatBudget()
        for _ in range(100):
            budget.record_read("kind", 40 * MS)
        for _ in range(200):
            budget.spend()
        for _ in range(1000):
            budget.record_read("kind", 40 * MS)
            self.assertIsNone(budget.first_limit("kind"))

    def test_repeated_read_earns_no_further_repeat(self):
        budget = RepeatBudget()
        for _ in range(20):
            budget.spend()
        for _ in range(1000):
            budget.record_read("kind", 40 * MS, is_first=False)
        self.assertIsNone(budget.first_limit("kind"))


class OverdueTest(unittest.TestCase):
    def test_long_write_says_nothing_of_the_queue(self):
        """Reads left a member with free slots because one write waited for a lock."""
        placement = ReadPlacement("x", {"x": "x"})
        placement.record_sent("m", SECOND, is_read=False)
        self.assertEqual(placement.loads.load_of("m").overdue_s(9 * SECOND), 0.0)
        placement.record_sent("m", SECOND)
        self.assertGreater(placement.loads.load_of("m").overdue_s(9 * SECOND), 7.0)


class LengthTest(unittest.TestCase):
    def test_expected_length_follows_the_transactions_and_is_bounded(self):
        lengths = TransactionLengths()
        first = lengths.expected("ledger")
        for _ in range(200):
            lengths.record("ledger", 10**6)
        self.assertGreater(lengths.expected("ledger"), first)
        self.assertLessEqual(lengths.expected("ledger"), 50)
