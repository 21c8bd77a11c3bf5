"""Tests of `report burn` with the metrics of entry VMs on the prepared platform."""

import io
import tempfile
import unittest
from contextlib import redirect_stdout
from datetime import timedelta

from bramleyrill_cli._report import burn
from bramleyrill_core import Rank
from bramleyrill_core.catalog import Consistency, DatabaseRoute
from bramleyrill_core.statements import Answer, AnswerCode
from bramleyrill_entry._metrics import EntryMetrics

MS = timedelta(milliseconds=1)
ROUTE = DatabaseRoute("d", "pieces", Consistency.PRIMARY, Rank.URGENT, 900 * MS, 500 * MS, 0 * MS)


class MetricsReportTest(unittest.TestCase):
    def write(self, *answers):
        metrics = EntryMetrics()
        for code, latency in answers:
            metrics.count_answer(ROUTE, Answer(code), latency)
        file = self.enterContext(tempfile.NamedTemporaryFile())
        file.write(metrics.render())
        file.flush()
        return file.name

    def report(self, *sources, **options):
        output = io.StringIO()
        with redirect_stdout(output):
            code = burn(metrics=list(sources), **options)
        return code, output.getvalue()

    def test_counts_of_several_vms_are_summed(self):
        first = self.write(*[(AnswerCode.SUCCESS, 20 * MS)] * 9, (AnswerCode.BUSY, 5 * MS))
        second = self.write(*[(AnswerCode.SUCCESS, 20 * MS)] * 9, (AnswerCode.SUCCESS, 700 * MS))
        code, text = self.report(first, second, objective=0.9)
        self.assertEqual(code, 0)
        row = text.splitlines()[1].split()
        self.assertEqual(
            row[1:9], ["pieces", "urgent", "500ms", "90.0%", "20", "19", "90.00%", "20.0ms"]
        )
        self.assertEqual(row[-1], "0%")

    def test_service_without_traffic_has_no_row(self):
        self.assertEqual(len(self.report(self.write())[1].strip().splitlines()), 1)

    def test_file_that_is_missing_is_named(self):
        code, text = self.report("/nowhere.prom")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere.prom", text)

    def test_report_without_a_source_fails(self):
        self.assertEqual(self.report()[0], 2)
