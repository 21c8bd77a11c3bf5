"""Tests of service-level accounting."""

import json
import random
import unittest
from datetime import UTC, datetime, timedelta
from html.parser import HTMLParser

from bramleyrill_core import Rank
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.burn import (
    BurnTables,
    Latencies,
    merge_snapshots,
    record_request,
    report,
    snapshot,
    to_html,
    to_text,
)

from tests.load_worlds import MS, S, build_core

URGENT = WorkClass("f", "s", Rank.URGENT)


def world_with(good, late, refused, vm="me"):
    world = build_core(vm).world
    for _ in range(good):
        record_request(world, URGENT, 10 * MS, True)
    for _ in range(late):
        record_request(world, URGENT, 900 * MS, True)
    for _ in range(refused):
        record_request(world, URGENT, 1 * MS, False)
    return world


class BurnTest(unittest.TestCase):
    def test_refused_and_late_requests_spend_the_budget(self):
        """Guards against a report that looks good because it leaves out refused requests."""
        (row,) = report(world_with(970, 10, 20))
        self.assertEqual((row.long.offered, row.long.served), (1000, 980))
        self.assertAlmostEqual(row.long.share, 0.97)
        self.assertAlmostEqual(row.long_burn, 3.0)
        self.assertAlmostEqual(row.budget_left, -2.0)
        self.assertAlmostEqual(row.p50 / MS, 10, delta=0.3)

    def test_windows_slide(self):
        """Guards against reporting an old incident as a current one."""
        world = world_with(0, 0, 100)
        world.clock.advance(timedelta(minutes=6))
        for _ in range(100):
            record_request(world, URGENT, 10 * MS, True)
        (row,) = report(world)
        self.assertEqual((row.short_burn, row.long.offered), (0.0, 200))
        world.clock.advance(timedelta(minutes=55))
        (row,) = report(world)
        self.assertEqual((row.short.offered, row.long.offered), (0, 100))
        world.clock.advance(timedelta(hours=30))
        self.assertEqual(report(world), [])

    def test_snapshots_merge_to_the_sum(self):
        """Guards against averaging the averages of VMs."""
        one, two = world_with(990, 10, 0), world_with(0, 0, 10, "other")
        transferred = json.loads(json.dumps([snapshot(one), snapshot(two)]))
        (row,) = merge_snapshots(transferred)
        self.assertEqual(row.long.offered, 1010)
        self.assertAlmostEqual(row.long.share, 990 / 1010)
        self.assertEqual(merge_snapshots([snapshot(one)]), report(one))

    def test_merged_quantiles_are_exact_to_2_percent(self):
        """Guards against latencies that are lost or distorted when sketches are transferred."""
        rng = random.Random(1)
        values = [rng.lognormvariate(3, 1.5) for _ in range(20_000)]
        parts = [Latencies(), Latencies()]
        for number, value in enumerate(values):
            parts[number % 2].add(value * MS)
        merged = Latencies.from_pairs(parts[0].to_pairs())
        merged.merge(Latencies.from_pairs(parts[1].to_pairs()))
        for share in (0.5, 0.9, 0.99):
            exact = sorted(values)[int(share * len(values))]
            self.assertAlmostEqual(merged.quantile(share) / MS / exact, 1, delta=0.045)

    def test_memory_is_bounded(self):
        """Guards against memory growth with the number of classes or with time."""
        world = build_core().world
        for number in range(1000):
            record_request(world, WorkClass("f", f"s{number}", Rank.URGENT), 5 * MS, True)
        self.assertLessEqual(len(world.tables(BurnTables).classes), 128)
        world = build_core().world
        for _ in range(3000):
            world.clock.advance(60 * S)
            record_request(world, URGENT, 5 * MS, True)
        row = world.tables(BurnTables).classes[URGENT]
        self.assertLessEqual(len(row.sketches), 13)
        self.assertEqual(report(world)[0].long.offered, 60)

    def test_page_is_self_contained_and_escaped(self):
        """Guards against external resources in the page, and against markup injected by a name."""
        world = world_with(9, 1, 0)
        record_request(world, WorkClass("<b>", "s", Rank.URGENT), 5 * MS, True)
        page = to_html(report(world), datetime(2026, 1, 1, tzinfo=UTC), vms=3)
        tags = []
        parser = HTMLParser()
        parser.handle_starttag = lambda tag, attrs: tags.append((tag, dict(attrs)))
        parser.feed(page)
        self.assertEqual([tag for tag, _ in tags].count("svg"), 2)
        self.assertFalse([1 for tag, attrs in tags if {"src", "href"} & set(attrs)])
        self.assertNotIn("<b>", page)
        self.assertNotIn("http", page)

    def test_text_has_one_line_for_each_class(self):
        """Guards against rows missing from the text form."""
        lines = to_text(report(world_with(9, 1, 0))).splitlines()
        self.assertEqual(len(lines), 2)
        self.assertIn("urgent", lines[1])


if __name__ == "__main__":
    unittest.main()
