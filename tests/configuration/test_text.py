"""Tests of the parser of the text and its checks."""

import unittest

from bramleyrill_core import Rank
from bramleyrill_core.text import Durability, example_source, parse_text


class TextTest(unittest.TestCase):
    """Guards against accepting an invalid text, and against errors that are hard to locate."""

    def errors(self, *changes):
        source = example_source()
        for old, new in changes:
            self.assertIn(old, source)
            source = source.replace(old, new, 1)
        return parse_text(source).failure()

    def test_example_is_accepted_with_both_fleets(self):
        text = parse_text(example_source(), version=7).unwrap()
        self.assertEqual(len(text.databases), 6)
        service = text.service_of("kintsugi/onarim-defteri/records")
        self.assertEqual((service.limits.slots, service.limits.connections), (2, 16))
        self.assertIs(service.ranks[Rank.URGENT].durability, Durability.SECOND_MEMBER)
        self.assertIn("gatecare/gatebook/records", text.databases)

    def test_all_errors_are_reported_at_once_with_line_and_advice(self):
        errors = self.errors(
            ("slots: 2", "slot: 2"),
            ("target: 250ms", "target: 250"),
            ("domain: ege-a", "domain: egea"),
            ("127.0.0.1:17200", "lagos.example:17200"),
        )
        self.assertEqual(len(errors), 5)
        self.assertEqual([error.line for error in errors], sorted(error.line for error in errors))
        self.assertIn("did you mean `slots`?", str(errors[1]))
        self.assertTrue(all(error.advice for error in errors))

    def test_duplicate_key_is_refused(self):
        (error,) = self.errors(("        slots: 2", "        slots: 2\n        slots: 3"))
        self.assertIn("twice", error.message)

    def test_two_members_with_one_address_are_refused(self):
        (error,) = self.errors(("127.0.0.1:17101", "127.0.0.1:17100"))
        self.assertIn("same address", error.message)

    def test_even_number_of_members_is_refused(self):
        (error,) = self.errors(
            ('              records-3: {domain: ic-anadolu-a, address: "127.0.0.1:17102"}\n', "")
        )
        self.assertIn("majority", error.message)

    def test_floors_above_one_are_refused(self):
        (error,) = self.errors(("floor: 0.2, deadline", "floor: 0.9, deadline"))
        self.assertIn("add up", error.message)

    def test_permit_shorter_than_two_probe_intervals_is_refused(self):
        (error,) = self.errors(("permit: 1s", "permit: 300ms"))
        self.assertIn("permit", error.path)

    def test_permit_longer_than_the_wait_after_a_fence_is_refused(self):
        (error,) = self.errors(("permit: 1s", "permit: 1500ms"))
        self.assertIn("at most 1s", error.advice)

    def test_broken_yaml_is_reported_with_its_line(self):
        (error,) = parse_text("fleets:\n  a: [1\n  b: 2\n").failure()
        self.assertGreaterEqual(error.line, 2)

    def test_list_or_scalar_in_place_of_a_mapping_is_refused(self):
        for source in ("", "- a\n", "fleets: 3\n", "fleets:\n", "fleets: {a: }\n"):
            self.assertTrue(parse_text(source).failure(), source)
