"""Tests of the holder side of a transaction against a scripted upstream."""

import unittest
from datetime import timedelta

import gevent
from bramleyrill_base import ErrorKind, SystemClock
from bramleyrill_core import NO_MARK, Mark, Rank, StatementClass
from bramleyrill_core.membership import MembershipTables
from bramleyrill_core.pools import RESERVED_CONNECTIONS, Pool, PoolTables, run_pools
from bramleyrill_core.routing import KnownPrimary, Route, RoutingTables
from bramleyrill_core.succession import Permit, Span, SuccessionTables
from bramleyrill_core.succession._tables import Group
from bramleyrill_core.text import Limits
from bramleyrill_daemon._answers import STATUS_SQL
from bramleyrill_daemon._holder import HolderExecutor
from bramleyrill_daemon._member_queue import MemberQueue
from bramleyrill_daemon._permits import PermitTracker
from bramleyrill_daemon._pool import ConnectionPools
from bramleyrill_daemon._shell import Shell
from bramleyrill_daemon._transaction import Chunk, Request, TransactionClosed
from bramleyrill_daemon._upstream import UpstreamLogin
from bramleyrill_wire import postgres as pg

from tests.holder.fakes import FakeUpstream, answer, status_answer
from tests.worlds import DATABASE, MEMBERS, build_world, ms, status

LONG = ms(60_000)
PRIMARY = Route(MEMBERS[0], "vm-a", True, NO_MARK, ms(0))


def request(kind=StatementClass.WRITE, **fields):
    fields = {"may_commit": True, "alters_session": False, "deadline_left": ms(2000)} | fields
    return Request(1, "kintsugi", "pieces", DATABASE, Rank.URGENT, kind, **fields)


class HolderTest(unittest.TestCase):
    def start(self, run, connections=2):
        self.world = build_world()
        self.world.clock = SystemClock()
        self.upstream = FakeUpstream(run)
        self.addCleanup(self.upstream.close)
        login = UpstreamLogin("127.0.0.1", self.upstream.port, "main", "proxy", "")
        shell = Shell(self.world)
        self.pools = ConnectionPools(shell, lambda member: login)
        shell.add(self.pools)
        limits = Limits(connections + RESERVED_CONNECTIONS, 1, ms(1))
        self.pool = Pool(MEMBERS[0], limits)
        self.world.tables(PoolTables).pools.add(MEMBERS[0], self.pool)
        ticks = gevent.spawn(self.run_pools, shell)
        self.addCleanup(ticks.kill)
        self.addCleanup(self.pools.close)
        self.queue = MemberQueue(self.world, MEMBERS[0], DATABASE)
        self.permits = PermitTracker(self.world)
        self.grant_permit()
        return HolderExecutor(lambda member: self.queue, self.pools, self.permits)

    def run_pools(self, shell):
        tables = self.world.tables(PoolTables)
        while True:
            tables.seen_version = self.world.tables(MembershipTables).version
            tables.seen_text = self.world.text
            shell.run_effects(run_pools(self.world))
            self.pools.after_tick()
            gevent.sleep(0.002)

    def grant_permit(self, length=LONG):
        spec = self.world.text.databases[DATABASE]
        group = Group(spec, ms(0), {}, {})
        group.permit = Permit(1, self.world.clock.monotonic(), length)
        self.world.tables(SuccessionTables).groups.add(DATABASE, group)
        primary = KnownPrimary(1, MEMBERS[0])
        self.world.tables(RoutingTables).primaries.add(DATABASE, primary)

    def run_one(self, executor, sql, first_request=None, **options):
        transaction = executor.open(PRIMARY, first_request or request(**options))
        with gevent.Timeout(10):
            transaction.send(pg.query(sql))
            return self.finish(transaction)

    def finish(self, transaction):
        chunks = []
        while isinstance(part := transaction.receive(), Chunk):
            chunks.append(part.frames)
        return b"".join(chunks), part

    def test_commit_is_acknowledged_with_mark_and_permit(self):
        """Guards against an acknowledgement that is sent before the status after it is known."""
        executor = self.start(lambda sql: None if sql == STATUS_SQL else answer("INSERT 0 1"))
        chunks, outcome = self.run_one(executor, "insert")
        self.assertEqual((chunks, outcome.tail), (b"", answer("INSERT 0 1")))
        self.assertEqual(outcome.mark, Mark(1, 7))
        self.assertEqual(outcome.permit_length, LONG)
        self.assertEqual([sql for _, sql in self.upstream.statements], ["insert", STATUS_SQL])

    def test_permit_of_another_term_acknowledges_nothing(self):
        """Guards against a write of a new term that the permit of an old term acknowledges."""
        executor = self.start(
            lambda sql: status_answer(term=2) if sql == STATUS_SQL else answer("INSERT 0 1")
        )
        _, outcome = self.run_one(executor, "insert")
        self.assertFalse(outcome.permit_length)

    def test_request_that_ends_after_the_supervision_moved_has_a_permit(self):
        """Guards against OUTCOME_UNKNOWN for a request that ends while its holder is leaving."""
        executor = self.start(lambda sql: None if sql == STATUS_SQL else answer("INSERT 0 1"))
        tables = self.world.tables(SuccessionTables)
        tables.spans.add(DATABASE, (Span(1, ("m1", "m2", "m3")),))
        roles_by_name = {"m1": "primary", "m2": "replica"}
        now = self.world.clock.monotonic

        def probe(member):
            name = member.rpartition("/")[2]
            return (
                (now(), status(name, 1, 7, roles_by_name[name])) if name in roles_by_name else None
            )

        for expected in (ms(1000), ms(0)):
            self.permits = PermitTracker(self.world, probe=probe)
            executor._permits = self.permits
            self.grant_permit()
            transaction = executor.open(PRIMARY, request())
            transaction.send(pg.query("insert"))
            tables.groups.remove(DATABASE)
            self.assertEqual(self.finish(transaction)[1].permit_length, expected)
            roles_by_name.pop("m2", None)

    def test_write_refused_by_a_fenced_member_did_not_run(self):
        """Guards against OUTCOME_UNKNOWN where the answer proves that nothing was written."""
        fenced = status_answer(term=2, role="fenced")
        error = pg.error_response("25006", "fenced") + pg.ready_for_query(b"I")
        executor = self.start(lambda sql: fenced if sql == STATUS_SQL else error)
        _, outcome = self.run_one(executor, "insert")
        self.assertIs(outcome.problem.kind, ErrorKind.NOT_RUN_NO_PRIMARY)
        self.assertIsNone(self.permits.valid_permit(MEMBERS[0]))

    def test_commit_on_a_member_fenced_meanwhile_is_unknown(self):
        """Guards against an acknowledgement by a primary that has been replaced."""
        fenced = status_answer(term=2, role="fenced")
        executor = self.start(lambda sql: fenced if sql == STATUS_SQL else answer("INSERT 0 1"))
        _, outcome = self.run_one(executor, "insert")
        self.assertIs(outcome.problem.kind, ErrorKind.OUTCOME_UNKNOWN)

    def test_connection_lost_after_sending_is_unknown_and_frees_the_slot(self):
        """Guards against "not run" for a statement that may have run, and against a leaked slot."""
        executor = self.start(lambda sql: None)
        for _ in range(5):
            _, outcome = self.run_one(executor, "insert")
            self.assertIs(outcome.problem.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertFalse(self.queue.in_use)

    def test_transaction_keeps_its_connection_and_gives_its_slot_back(self):
        """Guards against two transactions on one connection, and slots held while idle."""
        replies = {"begin": answer("BEGIN", b"T"), "commit": answer("COMMIT"), STATUS_SQL: None}
        executor = self.start(lambda sql: replies.get(sql, answer("UPDATE 1", b"T")))
        begin = request(StatementClass.BEGIN, may_commit=False, alters_session=True)
        transaction = executor.open(PRIMARY, begin)
        transaction.send(pg.query("begin"), False)
        self.finish(transaction)
        self.assertFalse(self.queue.in_use)
        self.run_one(executor, "other")
        transaction.send(pg.query("update"), False)
        self.finish(transaction)
        transaction.send(pg.query("commit"), True)
        _, outcome = self.finish(transaction)
        self.assertEqual(outcome.mark, Mark(1, 7))
        gevent.sleep(0.05)
        connections = [
            n for n, sql in self.upstream.statements if sql in ("begin", "update", "commit")
        ]
        other = [n for n, sql in self.upstream.statements if sql == "other"]
        self.assertEqual(len(set(connections)), 1)
        self.assertNotIn(other[0], connections)
        self.assertIn((connections[0], "DISCARD ALL"), self.upstream.statements)

    def test_close_rolls_an_idle_transaction_back(self):
        """Guards against an open transaction that the next session would continue."""
        executor = self.start(lambda sql: answer("BEGIN", b"T"))
        transaction = executor.open(PRIMARY, request(StatementClass.BEGIN, may_commit=False))
        transaction.send(pg.query("begin"), False)
        self.finish(transaction)
        transaction.close()
        gevent.sleep(0.05)
        self.assertEqual(
            [sql for _, sql in self.upstream.statements], ["begin", "ROLLBACK", "DISCARD ALL"]
        )

    def test_close_during_a_statement_ends_its_connection(self):
        """Guards against the rest of an answer being sent to the next session."""
        executor = self.start(lambda sql: gevent.sleep(0.2) or answer("SELECT 1"))
        transaction = executor.open(PRIMARY, request(StatementClass.READ, may_commit=False))
        transaction.send(pg.query("slow"), False)
        gevent.spawn_later(0.01, transaction.close)
        with self.assertRaises(TransactionClosed):
            transaction.receive()
        gevent.sleep(0.05)
        self.assertEqual(self.pool.connections, set(self.pool.idle))
        self.assertFalse(self.queue.in_use)

    def test_connections_never_exceed_their_number(self):
        """Guards against more connections to a member than the text allows."""
        executor = self.start(lambda sql: gevent.sleep(0.01) or answer("INSERT 0 1"))
        jobs = [gevent.spawn(self.run_one, executor, "insert") for _ in range(20)]
        peak = 0
        while not all(job.ready() for job in jobs):
            peak = max(peak, self.upstream.open)
            gevent.sleep(0.002)
        gevent.joinall(jobs, raise_error=True)
        self.assertTrue(all(job.value[1].problem is None for job in jobs))
        self.assertLessEqual(peak, 3)

    def test_wait_for_a_permit_ends_with_the_deadline(self):
        """Guards against a write that waits forever, or is sent, while there is no primary."""
        executor = self.start(lambda sql: answer("INSERT 0 1"))
        self.grant_permit(length=timedelta())
        _, outcome = self.run_one(executor, "insert", deadline_left=ms(50))
        self.assertIs(outcome.problem.kind, ErrorKind.NOT_RUN_NO_PRIMARY)
        self.assertEqual(self.upstream.statements, [])
