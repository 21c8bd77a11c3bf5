"""Tests that the capacity page agrees with the committed measurements."""

import json
import pathlib
import unittest

from bramleyrill_cli.slopes import slope_table, slopes_by_name, target_table

ROOT = pathlib.Path(__file__).resolve().parents[2]


class CapacityPageTest(unittest.TestCase):
    """Guards against a page whose figures differ from the measured ones."""

    def setUp(self):
        self.page = (ROOT / "docs/CAPACITY.md").read_text("utf-8")
        self.results = json.loads((ROOT / "docs/capacity/slopes.json").read_text())

    def test_page_quotes_the_results_file(self):
        self.assertIn(slope_table(self.results), self.page)
        self.assertIn(target_table(self.results), self.page)

    def test_each_slope_has_a_result(self):
        self.assertEqual(set(self.results["slopes"]), set(slopes_by_name.by_name))

    def test_results_describe_their_run(self):
        for key in ("machine", "date", "commit"):
            self.assertTrue(self.results[key])
