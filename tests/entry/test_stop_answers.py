"""What callers and other VMs get from a VM that stops as planned."""

import socket
import unittest
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

import gevent
import gevent.socket
from attrs import evolve
from bramleyrill_entry import _stop
from bramleyrill_entry._front import Front
from bramleyrill_entry._gossip import Gossip
from bramleyrill_entry._run_request import Opens, RunProblem
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._stop import PlannedStop
from bramleyrill_standins.prepared import LineGroup

from tests.entry.builders import SERVICE, make_state, request
from tests.entry.test_session import Caller, SessionTest

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
GRACE_S = 2.0


class HandOverTest(unittest.TestCase):
    """Two VMs at a member whose connection limit the first one has reached."""

    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1"], max_connections=6)
        self.addCleanup(self.group.close)
        self.leaving, self.next = (self.make_schedulers(name) for name in ("vm1", "vm2"))
        self.fill()

    def make_schedulers(self, vm):
        state = make_state(self.group, id=vm)
        schedulers = MemberSchedulers(state)
        self.addCleanup(schedulers.close)
        return schedulers

    def fill(self):
        """Open all connections that the member accepts, and leave them idle."""
        pool = self.leaving.scheduler_for("m1").pool
        pool.limit = self.group.max_connections
        connections = [pool.lease(SECOND) for _ in range(self.group.max_connections)]
        for connection in connections:
            pool.release(connection)

    def write(self, schedulers, statement_id="q1"):
        return schedulers.run("vm2", request("WRITE a 1", "m1", statement_id))

    def test_next_holder_can_open_connections_at_once(self):
        """The member refused it for as long as the stop took, and callers waited or were cut."""
        self.assertIs(self.write(self.next).problem, RunProblem.UNREACHABLE)
        self.leaving._state.stopping = True
        self.leaving.drain()
        gevent.sleep(0.25)
        self.assertTrue(self.write(self.next).answer.succeeded)

    def test_connection_of_a_transaction_is_given_up_at_its_end(self):
        opened = request("WRITE a 1", "m1", transaction_id=7, opens=Opens.READ_WRITE)
        self.assertTrue(self.leaving.run("vm1", opened).transaction_open)
        self.leaving.drain()
        self.assertEqual(self.leaving.count_connections(), 1)
        commit = request("COMMIT", "m1", transaction_id=7)
        self.assertTrue(self.leaving.run("vm1", commit).answer.succeeded)
        self.assertEqual(self.leaving.count_connections(), 0)

    def test_scheduler_opened_during_the_stop_keeps_no_connection(self):
        self.leaving.close()
        self.leaving._state.stopping = True
        result = self.leaving.run("vm1", request("WRITE a 1", "m1"))
        self.assertTrue(result.answer.succeeded)
        self.assertEqual(self.leaving.count_connections(), 0)

    def test_statement_of_a_peer_that_waits_can_run_at_the_next_holder(self):
        """At the end of a stop it was cut, and its caller was told that it may have run."""
        self.group.primary.statement_time = 500 * MS
        results = [gevent.spawn(self.write, self.leaving, f"q{number}") for number in range(5)]
        gevent.sleep(0.05)
        self.leaving.refuse_waiting()
        gevent.joinall(results)
        problems = [result.value.problem for result in results]
        self.assertEqual(problems.count(RunProblem.STOPPING), 2)
        self.assertEqual(len(self.group.runs), 3)


class LastAnswerTest(SessionTest):
    def setUp(self):
        super().setUp()
        self.state.settings = evolve(self.state.settings, grace_s=GRACE_S)
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.address = listener.getsockname()
        self.front = Front(self.state, self.router, self.metrics, listener)
        self.front.start()
        self.addCleanup(self.front.stop_accepting)

    def open_session(self):
        sock = gevent.socket.create_connection(self.address)
        sock.settimeout(5)
        self.addCleanup(sock.close)
        caller = Caller(sock)
        caller.send("OPEN pieces-db")
        self.assertEqual(caller.read_line(), "READY I -")
        return caller

    def stop(self):
        net = SimpleNamespace(
            services={Gossip: SimpleNamespace(ping=lambda _vm: None)}, close=lambda: None
        )
        return gevent.spawn(PlannedStop(self.state, self.front, self.schedulers, net).run)

    def answer_during_stop(self, text, before=lambda: None):
        """Return the answer to a statement sent as a stop begins, and the stop's duration."""
        caller = self.open_session()
        before()
        started = self.state.now()
        stop = self.stop()
        gevent.sleep(0.05)
        answer = caller.query(text)
        stop.get()
        duration = self.state.now() - started
        self.assertLess(duration, timedelta(seconds=GRACE_S))
        return answer

    def test_statement_that_waits_for_a_primary_is_refused(self):
        """The process ended without a word to the callers that still waited."""
        answer = self.answer_during_stop("WRITE a 1", self.group.members_by_name["m1"].stop)
        self.assertRegex(answer[0], "^ERROR BUSY .*retry after")
        self.assertEqual(self.group.runs_of("q1"), [])

    def test_statement_at_a_member_is_answered_as_unknown(self):
        """A caller whose connection only ends cannot tell this from a request that was not read."""

        def slow_down():
            self.group.primary.statement_time = 10 * SECOND

        route = self.state.catalog.routes_by_database["pieces-db"]
        routes = {"pieces-db": evolve(route, statement_timeout=10 * SECOND)}
        self.state.catalog = evolve(self.state.catalog, routes_by_database=routes)
        answer = self.answer_during_stop("WRITE a 1", slow_down)
        self.assertRegex(answer[0], "^ERROR INDOUBT")
        self.assertEqual(len(self.group.runs_of("q1")), 1)

    def test_statement_that_comes_too_late_is_refused_at_once(self):
        caller = self.open_session()
        self.state.answer_by = self.state.now()
        self.assertRegex(caller.query("WRITE a 1")[0], "^ERROR BUSY shutting down, retry after")
        self.assertEqual(caller.query("BEGIN")[-1], "READY T -")
        self.assertRegex(caller.query("READ a")[0], "^ERROR BUSY shutting down, retry after")
        self.assertEqual(self.group.runs, [])

    def test_statement_is_answered_by_a_member_while_there_is_time(self):
        answer = self.answer_during_stop("WRITE a 1")
        self.assertRegex(answer[0], "^COMPLETE")

    def test_stop_without_work_does_not_wait_for_answers(self):
        with mock.patch.object(_stop, "log_event") as log:
            self.stop().get()
        events = [call.args[0] for call in log.call_args_list]
        self.assertNotIn("statements_given_up", events)
