"""Tests of the offer of a text to the platform."""

import unittest

from bramleyrill_core.configuration import (
    StoredObject,
    StoreUnreachable,
    VersionConflict,
    decode_value,
    encode_value,
    offer_text,
)
from returns.result import Failure, Success


class FakeStore:
    """In-memory object store; `faults` names the faults of the next writes, in order."""

    def __init__(self):
        self.stored = StoredObject(0, None)
        self.faults = []
        self.before_write = None

    def get(self, kind, name):
        if "down" in self.faults:
            return Failure(StoreUnreachable("down"))
        return Success(self.stored)

    def put(self, kind, name, expected_version, value):
        fault = self.faults.pop(0) if self.faults else ""
        if self.before_write:
            self.before_write()
        if fault == "lost request":
            return Failure(StoreUnreachable(fault))
        if expected_version != self.stored.version:
            return Failure(VersionConflict(self.stored))
        self.stored = StoredObject(self.stored.version + 1, value)
        if fault == "lost answer":
            return Failure(StoreUnreachable(fault))
        return Success(self.stored.version)


class OfferTest(unittest.TestCase):
    """Guards against reporting an accepted text as refused, and against applying it twice."""

    def setUp(self):
        self.store = FakeStore()

    def test_lost_answer_is_resolved_by_the_identity(self):
        self.store.faults = ["lost answer"]
        self.assertEqual(offer_text(self.store, "a", "id-1", 0), Success(1))
        self.assertEqual(self.store.stored.version, 1)

    def test_lost_request_is_sent_again(self):
        self.store.faults = ["lost request"]
        self.assertEqual(offer_text(self.store, "a", "id-1", 0), Success(1))

    def test_of_two_racing_offers_one_wins_and_the_other_gets_its_text_in_a_conflict(self):
        self.assertEqual(offer_text(self.store, "a", "id-1", 0), Success(1))
        conflict = offer_text(self.store, "b", "id-2", 0).failure()
        self.assertEqual(decode_value(conflict.current.value), ("id-1", "a"))
        self.assertEqual(self.store.stored.version, 1)

    def test_race_during_a_lost_answer_is_a_conflict(self):
        self.store.faults = ["lost request"]
        other = StoredObject(4, encode_value("id-2", "b"))
        self.store.before_write = lambda: setattr(self.store, "stored", other)
        self.assertIsInstance(offer_text(self.store, "a", "id-1", 0).failure(), VersionConflict)

    def test_store_that_stays_down_is_reported_as_unreachable(self):
        self.store.faults = ["lost request"] * 3 + ["down"]
        self.assertIsInstance(offer_text(self.store, "a", "id-1", 0).failure(), StoreUnreachable)

    def test_large_text_survives_compression(self):
        source = "fleets: {}\n" * 40_000
        value = encode_value("id-1", source)
        self.assertLess(len(value["packed"]), 20_000)
        self.assertEqual(decode_value(value), ("id-1", source))
