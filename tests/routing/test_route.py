"""Tests of routing."""

import unittest

from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import Mark, StatementClass
from bramleyrill_core.routing import (
    Route,
    check_read,
    confirm_read,
    next_route,
    record_primary,
    record_sample,
    record_status,
    route,
)
from bramleyrill_core.sessions import open_session
from returns.result import Failure, Success

from tests.worlds import DATABASE, MEMBERS, VMS, build_world, ms, status

READ = StatementClass.READ


class RouteTest(unittest.TestCase):
    def setUp(self):
        self.world = build_world(1)
        record_primary(self.world, DATABASE, 3, MEMBERS[0])
        self.session = open_session(self.world, 1, "kintsugi", "pieces", "main", "ada")
        self.session.age = ms(2000)

    def route(self, kind=READ, in_transaction=False):
        return route(self.world, self.session, kind, in_transaction).unwrap()

    def test_unknown_session_reads_at_the_primary_first(self):
        """Guards against a caller that reconnects without a token and misses its own write."""
        self.assertEqual((self.route().member, self.route().at_primary), (MEMBERS[0], True))
        self.session.mark = Mark(3, 10)
        chosen = self.route()
        self.assertEqual((chosen.member, chosen.vm), (MEMBERS[1], VMS[1]))
        self.assertEqual(chosen.required_mark, Mark(3, 10))

    def test_writes_and_transactions_go_to_the_primary(self):
        """Guards against a write that reaches a replica."""
        self.session.mark = Mark(3, 10)
        self.assertEqual(self.route(StatementClass.WRITE).member, MEMBERS[0])
        self.assertEqual(self.route(READ, True).member, MEMBERS[0])

    def test_stale_replica_falls_back_and_lost_primary_to_replicas(self):
        """Guards against bounded-staleness reads that fail while some member could answer."""
        self.session.mark = Mark(3, 10)
        first = self.route()
        second = next_route(self.world, self.session, first, Problem(ErrorKind.TOO_STALE)).unwrap()
        self.assertTrue(second.at_primary)
        unreachable = Problem(ErrorKind.NOT_RUN_UNREACHABLE)
        third = next_route(self.world, self.session, second, unreachable).unwrap()
        self.assertEqual((third.member, third.at_primary), (MEMBERS[2], False))
        self.assertIsInstance(next_route(self.world, self.session, third, unreachable), Failure)

    def test_primary_that_was_asked_as_a_replica_is_asked_again(self):
        """Guards against TOO_STALE if the primary was not known at the first attempt."""
        self.session.mark = Mark(3, 10)
        self.session.age = ms(2000)
        stale = Problem(ErrorKind.TOO_STALE)
        for tried in MEMBERS:
            first = Route(tried, VMS[0], False, Mark(3, 10), ms(2000))
            chosen = next_route(self.world, self.session, first, stale).unwrap()
            self.assertEqual((chosen.member, chosen.at_primary), (MEMBERS[0], True))

    def test_known_primary_does_not_serve_as_a_replica(self):
        """Guards against bounded-staleness reads that use up the primary's slots."""
        self.session.mark = Mark(3, 10)
        record_primary(self.world, DATABASE, 4, MEMBERS[1])
        self.assertNotEqual(self.route().member, MEMBERS[1])

    def test_earlier_term_does_not_replace_the_known_primary(self):
        """Guards against a late redirect that sends writes back to a replaced primary."""
        record_primary(self.world, DATABASE, 2, MEMBERS[2])
        self.assertEqual(self.route(StatementClass.WRITE).member, MEMBERS[0])

    def test_user_that_never_writes_is_held_to_it(self):
        """Guards against a write by a read-only user, whose reads may skip the primary."""
        viewer = open_session(self.world, 2, "kintsugi", "pieces", "main", "viewer")
        self.assertFalse(route(self.world, viewer, READ, False).unwrap().at_primary)
        refused = route(self.world, viewer, StatementClass.WRITE, False)
        self.assertEqual(refused.failure().kind, ErrorKind.READ_ONLY_CALLER)


class StalenessTest(unittest.TestCase):
    def setUp(self):
        self.world = build_world(1)
        record_sample(self.world, DATABASE, ms(100), Mark(3, 50))
        self.world.clock.advance(ms(1000))

    def check(self, required_mark, age):
        return check_read(self.world, MEMBERS[1], required_mark, ms(age))

    def test_age_counts_from_the_sample_that_was_reached(self):
        """Guards against staleness computed from the time of the replica's own answer."""
        record_status(self.world, MEMBERS[1], status("m2", 3, 49))
        self.assertEqual(self.check(Mark(3, 1), 5000).failure().kind, ErrorKind.TOO_STALE)
        record_status(self.world, MEMBERS[1], status("m2", 3, 50))
        self.assertEqual(self.check(Mark(3, 1), 900), Success(None))
        self.assertIsInstance(self.check(Mark(3, 1), 899), Failure)

    def test_floor_needs_the_entry_itself(self):
        """Guards against a replica of an older term whose position happens to be larger."""
        record_sample(self.world, DATABASE, ms(200), Mark(2, 90))
        record_status(self.world, MEMBERS[1], status("m2", 2, 90))
        self.assertEqual(self.check(Mark(2, 90), 5000), Success(None))
        self.assertIsInstance(self.check(Mark(3, 50), 5000), Failure)

    def test_rewind_between_probes_is_seen_behind_the_read(self):
        """Guards against a read at a replica whose log was rewound since its last probe."""
        rewound = status("m2", 5, 40, last_term=3, history=((3, 0), (5, 40)))
        self.assertIsInstance(confirm_read(Mark(3, 50), rewound), Failure)
        self.assertEqual(confirm_read(Mark(3, 40), rewound), Success(None))
