"""Limits on the statement path: what callers of a limited team get, and frames of peers."""

import unittest
from unittest import mock

import gevent
import gevent.socket
from attrs import evolve
from bramleyrill_base import ManualClock
from bramleyrill_core.limits import LOCK, Grant, Report, TeamGrant, TeamReport
from bramleyrill_core.placement import VmEntry
from bramleyrill_core.statements import Answer, AnswerCode
from bramleyrill_core.teams import Team, TeamDirectory, key_digest
from bramleyrill_entry._limits import TeamLimits, handle_grant, handle_report
from bramleyrill_entry._limits_codec import decode_grant, decode_report, encode_quota
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._watch import VmRegistration
from bramleyrill_standins.prepared import LineGroup
from bramleyrill_wire.entries import FrameBuffer, encode, frames

from tests.entry.builders import SECOND, SERVICE, make_state
from tests.entry.test_session import SessionTest

PATIENCE = SECOND / 20


class LimitsTest(unittest.TestCase):
    """Limits of one VM, with a fake network that records what is sent to peers."""

    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(self.group.close)
        self.state = make_state(self.group)

    def make_limits(self, state, vms=("vm1",)):
        state.clock = ManualClock()
        self.sent = []
        link = mock.Mock(send=self.sent.append)
        registration = VmRegistration(state, mock.Mock())
        limits = TeamLimits(mock.Mock(state=state, link=lambda vm: link), registration)
        limits.node.count.list_fresh(vms, True, state.now())
        return limits

    def put_limit(self, state, rate, burst):
        catalog = state.catalog
        teams = TeamDirectory.of([(Team("harbour", rate, burst), ["d1"]), (Team("mill"), ["d2"])])
        state.apply_catalog(evolve(catalog, version=catalog.version + 1, teams=teams), {}, "test")

    def pass_time(self, state, limits, seconds):
        for _ in range(seconds):
            state.clock.advance(SECOND)
            limits.tick()


class AdmitTest(LimitsTest):
    def setUp(self):
        super().setUp()
        self.limits = self.make_limits(self.state)
        self.put_limit(self.state, 2, 2)

    def admitted(self, count, team="harbour"):
        answers = [self.limits.admit(team, PATIENCE) for _ in range(count)]
        return answers.count(None), [answer for answer in answers if answer is not None]

    def test_vm_alone_admits_what_the_limit_allows(self):
        self.pass_time(self.state, self.limits, LOCK // SECOND + 4)
        ran, refusals = self.admitted(5)
        self.assertEqual(ran, 2)
        self.assertIs(refusals[0].code, AnswerCode.BUSY)
        self.assertRegex(refusals[0].text, r"^over the rate limit of the team, retry after \d+ ms$")

    def test_restarted_process_has_no_tokens(self):
        self.limits.tick()
        self.assertEqual(self.admitted(3)[0], 0)

    def test_team_without_a_limit_never_waits(self):
        self.assertEqual(self.admitted(50, "mill")[0], 50)
        self.assertEqual(self.admitted(50, "")[0], 50)

    def test_removed_limit_binds_no_more(self):
        self.put_limit(self.state, None, None)
        self.assertEqual(self.admitted(20)[0], 20)

    def test_deployment_without_limits_sends_nothing(self):
        self.put_limit(self.state, None, None)
        self.sent.clear()
        self.pass_time(self.state, self.limits, 5)
        gevent.sleep(0)
        self.assertEqual(self.sent, [])


class PeerTest(LimitsTest):
    """One operation that finds no token here, with another VM as the hub."""

    def setUp(self):
        super().setUp()
        self.state.vms.update(VmEntry("vm2", "north-a", ("127.0.0.1", 2), 1), self.state.now())
        self.limits = self.make_limits(self.state, ("vm1", "vm2"))
        self.put_limit(self.state, 2, 2)
        self.state.vms.own = evolve(self.state.vms.own, leaving=True)
        self.limits.tick()
        self.link = mock.Mock(peer=VmEntry("vm2", "north-a", ("127.0.0.1", 2), 1))
        self.net = mock.Mock(services={TeamLimits: self.limits})

    def ask(self):
        waiter = gevent.spawn(self.limits.admit, "harbour", PATIENCE)
        gevent.sleep(0.01)
        return waiter, decode_report(self.sent[-1])

    def answer(self, report, given, retry_ms=0):
        row = TeamGrant(report.teams[0].team, given, retry_ms)
        grant = Grant(report.group, 1, 1, report.stamp_us, (row,), self.state.catalog.version)
        handle_grant(self.net, self.link, encode_quota(grant))

    def test_operation_waits_for_a_token_of_the_hub(self):
        waiter, report = self.ask()
        self.assertEqual((report.teams[0].urgent, waiter.ready()), (1, False))
        self.answer(report, 1)
        self.assertIsNone(waiter.get(timeout=1))

    def test_operation_is_refused_as_soon_as_the_hub_has_none(self):
        waiter, report = self.ask()
        self.answer(report, 0, retry_ms=130)
        self.assertIn("retry after 130 ms", waiter.get(timeout=1).text)
        self.sent.clear()
        # Until then no message is spent on further operations.
        self.assertIsNotNone(self.limits.admit("harbour", PATIENCE))
        gevent.sleep(0)
        self.assertEqual(self.sent, [])

    def test_malformed_frames_are_rejected(self):
        for frame in (
            frames.QuotaReport(group_number=0, stamp_us=1, teams=[1, 2], held=[1]),
            frames.QuotaReport(stamp_us=1),
        ):
            with self.assertRaises(ValueError):
                handle_report(self.net, self.link, frame)
        with self.assertRaises(ValueError):
            handle_grant(self.net, self.link, frames.QuotaGrant(group_number=0))

    def test_frames_carry_all_fields(self):
        report = Report(2, 5, 6, 0.015625, 7, (TeamReport(9, 1, 2, 3, 4),), 8, True)
        grant = Grant(2, 5, 6, 7, (TeamGrant(9, 1, 2, False),), 8, 0.5, True)
        for message, decode in ((report, decode_report), (grant, decode_grant)):
            received = FrameBuffer().feed(encode(encode_quota(message)))
            self.assertEqual(decode(received[0]), message)

    def test_metrics_have_a_bounded_number_of_series(self):
        for number in range(40):
            self.limits.node.record_arrival("harbour", self.state.now())
            self.limits.node.uses[f"team{number}"] = self.limits.node.uses["harbour"]
            self.limits.node.limits[f"team{number}"] = self.limits.node.limits["harbour"]
        for family in self.limits.collect():
            self.assertLessEqual(len(family.samples), 11)


class LinkTest(LimitsTest):
    """Two VMs with real links between them."""

    def start_vm(self, name, clock):
        listener = gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(4)
        state = make_state(self.group, id=name, peer_listen=listener.getsockname())
        state.clock = clock
        services = {}
        net = PeerNet(state, services, listener)
        limits = services[TeamLimits] = TeamLimits(net, VmRegistration(state, mock.Mock()))
        limits.node.count.list_fresh(("vm1", "vm2"), True, state.now())
        self.put_limit(state, 8, 8)
        net.start()
        self.addCleanup(net.close)
        return state, limits

    def test_both_vms_use_the_whole_limit_together(self):
        """Each owns a half; the VM that is not the hub gets its tokens over the link."""
        clock = ManualClock()
        (first, limits), (second, others) = (self.start_vm(name, clock) for name in ("vm1", "vm2"))
        first.vms.update(second.vms.own, clock.monotonic())
        second.vms.update(first.vms.own, clock.monotonic())
        for _ in range(LOCK // SECOND + 4):
            clock.advance(SECOND)
            for part in (limits, others):
                part.tick()
                gevent.sleep(0.01)
        with gevent.Timeout(5):
            for part in (limits, others):
                self.assertEqual([part.admit("harbour", PATIENCE) for _ in range(4)], [None] * 4)
        hubs = [
            sum(part.node.hub_fractions(clock.monotonic()).values()) for part in (limits, others)
        ]
        self.assertEqual(sorted(hubs), [0, 1])


class SessionLimitsTest(SessionTest):
    """What the session asks the limits, and what its caller is told."""

    def open_with(self, admit):
        directory = TeamDirectory.of([(Team("harbour", 1, 1), [key_digest("k1")])])
        changed = evolve(self.state.catalog, version=9, teams=directory)
        self.state.apply_catalog(changed, {}, "test")
        caller = self.connect("pieces-db k1")
        caller.read_line()
        self.session._limits = mock.Mock(admit=admit)
        return caller

    def test_operation_beyond_the_limit_does_not_run(self):
        caller = self.open_with(lambda *_: Answer(AnswerCode.BUSY, text="over the rate limit"))
        self.assertTrue(caller.query("WRITE a 5")[0].startswith("ERROR BUSY"))
        self.assertTrue(caller.query("BEGIN")[0].startswith("ERROR BUSY"))
        self.assertEqual(len(self.group.runs), 0)

    def test_transaction_counts_once(self):
        admit = mock.Mock(return_value=None)
        caller = self.open_with(admit)
        for text in ("BEGIN", "WRITE a 5", "WRITE b 5", "COMMIT", "READ a"):
            caller.query(text)
        self.assertEqual([call.args[0] for call in admit.call_args_list], ["harbour"] * 2)
