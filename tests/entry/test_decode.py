"""Decoding of the platform's configuration and member entries."""

import unittest
from datetime import timedelta

from bramleyrill_core import MemberRole, Rank
from bramleyrill_core.catalog import Consistency, MemberState
from bramleyrill_core.history import StoreRevision
from bramleyrill_platform import DecodeError, StoredObject, decode_catalog, decode_member

ROUTE = {
    "name": "r",
    "host": "pieces-db",
    "pathPrefix": "/",
    "type": "read_your_writes",
    "timeoutMs": 800,
    "targetLatencyMs": 2000,
    "priority": 2,
    "backend": "pieces",
    "maxStalenessMs": 2500,
}
ENTRY = {
    "backend": "pieces",
    "address": "10.0.0.9:8080",
    "zone": "north-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "dbRole": "replica",
    "seq": 4,
    "born": 99,
}


class CatalogTest(unittest.TestCase):
    def test_route(self):
        catalog = decode_catalog(
            {
                "version": 7,
                "routes": [ROUTE],
                "limits": {"txIdleMs": 2000},
                "backends": [{"name": "pieces", "maxConns": 16}],
            }
        )
        route = catalog.routes_by_database["pieces-db"]
        self.assertIs(route.consistency, Consistency.OWN_WRITES)
        self.assertIs(route.rank, Rank.LEAST_URGENT)
        self.assertEqual(route.max_staleness, timedelta(milliseconds=2500))
        self.assertEqual(catalog.services_by_name["pieces"].max_connections, 16)
        self.assertEqual(catalog.transaction_idle_timeout, timedelta(seconds=2))

    def test_malformed_route_leaves_the_others(self):
        routes = [ROUTE | {"type": "strange"}, {"host": 5}, None, ROUTE]
        self.assertEqual(
            len(decode_catalog({"version": 7, "routes": routes}).routes_by_database), 1
        )

    def test_number_beyond_all_bounds_is_not_used(self):
        """The configuration was not taken at all, and its watch ended."""
        for number in (1e300, float("inf"), float("nan"), 10**400):
            routes = [ROUTE | {"timeoutMs": number, "maxStalenessMs": number}, ROUTE]
            value = {"version": 7, "routes": routes, "limits": {"txIdleMs": number}}
            with self.subTest(number=number):
                self.assertEqual(len(decode_catalog(value).routes_by_database), 1)

    def test_configuration_without_a_version_is_rejected(self):
        for value in (None, [], {}, {"version": "7"}, {"version": True}):
            with self.assertRaises(DecodeError):
                decode_catalog(value)


class MemberTest(unittest.TestCase):
    def test_name_that_would_end_a_message_is_rejected(self):
        """The first message to the member has both names, and what follows was read as another."""
        for name in ("a b", "a\r\nQUERY 1 WRITE a b", "", "a\t", "a\x00", "\ud800"):
            with self.subTest(name=name):
                with self.assertRaises(DecodeError):
                    decode_member(StoredObject("m1", 12, ENTRY | {"backend": name}))
                with self.assertRaises(DecodeError):
                    decode_member(StoredObject(name, 12, ENTRY))

    def test_entry(self):
        entry = decode_member(StoredObject("m1", 12, ENTRY, era=3))
        revision = StoreRevision(3, 12)
        self.assertEqual((entry.id, entry.revision, entry.incarnation), ("m1", revision, 99))
        self.assertIs(entry.role, MemberRole.REPLICA)
        self.assertIs(entry.state, MemberState.READY)
        self.assertEqual(entry.address, ("10.0.0.9", 8080))

    def test_malformed_entry_is_rejected(self):
        """Covers missing fields, wrong types, unknown states and malformed addresses."""
        changes = (
            {"state": "strange"},
            {"state": None},
            {"dbRole": "observer"},
            {"slots": "2"},
            {"slots": True},
            {"slots": 0},
            {"address": "10.0.0.9"},
            {"address": "10.0.0.9:x"},
            {"zone": 3},
            {"backend": ["pieces"]},
        )
        for change in changes:
            with self.assertRaises(DecodeError, msg=str(change)):
                decode_member(StoredObject("m1", 12, ENTRY | change))
        for value in (None, "text", []):
            with self.assertRaises(DecodeError):
                decode_member(StoredObject("m1", 12, value))
