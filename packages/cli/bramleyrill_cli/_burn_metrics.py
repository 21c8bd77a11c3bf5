"""Burn rows computed from the metrics of entry VMs on the prepared platform."""

from collections import Counter
from datetime import timedelta
from pathlib import Path

import urllib3
from attrs import define, field
from bramleyrill_core import Rank
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.burn import BurnRow, WindowCounts
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from bramleyrill_cli._histogram import quantile_of

HTTP_TIMEOUT_S = 5.0
_NO_FLEET = "-"
_QUANTILES = (0.5, 0.99)


class MetricsError(Exception):
    """A source of metrics cannot be read."""


@define(eq=False)
class _ClassCounts:
    """Counts of one class, summed over VMs; `by_bound` holds cumulative histogram buckets."""

    offered: float = 0.0
    served: float = 0.0
    on_time: float = 0.0
    target_s: float = 0.0
    by_bound: Counter = field(factory=Counter)


def read_metrics(source: str) -> str:
    """Return the contents of a file or an http:// URL; raise MetricsError if it is unreadable."""
    if not source.startswith("http://"):
        try:
            return Path(source).read_text("utf-8")
        except OSError as error:
            raise MetricsError(f"{source}: {error.strerror}") from error
    try:
        response = urllib3.request("GET", source, timeout=HTTP_TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as error:
        raise MetricsError(f"{source}: {error}") from error
    if response.status != 200:
        raise MetricsError(f"{source}: status {response.status}")
    return response.data.decode("utf-8", "replace")


def burn_rows_from_metrics(texts: list[str], objective: float) -> list[BurnRow]:
    """Return burn rows from the metrics of several VMs, summed by service and rank.

    The counts cover the time since each process started, so both windows of a row are the same.

    Example: `burn_rows_from_metrics([read_metrics("vm1.prom")], 0.99)[0].long_burn`.
    """
    counts_by_class: dict[tuple[str, str], _ClassCounts] = {}
    for text in texts:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                _add_sample(counts_by_class, sample)
    rows = [_burn_row(key, counts, objective) for key, counts in sorted(counts_by_class.items())]
    return [row for row in rows if row.long.offered]


def _add_sample(counts_by_class: dict[tuple[str, str], _ClassCounts], sample: Sample) -> None:
    labels = sample.labels
    if "service" not in labels or "rank" not in labels:
        return
    counts = counts_by_class.setdefault((labels["service"], labels["rank"]), _ClassCounts())
    if sample.name == "bramleyrill_statements_total":
        counts.offered += sample.value
        counts.served += sample.value if labels["code"] == "success" else 0.0
    elif sample.name == "bramleyrill_statements_on_time_total":
        counts.on_time += sample.value
    elif sample.name == "bramleyrill_target_seconds":
        counts.target_s = sample.value
    elif sample.name == "bramleyrill_statement_seconds_bucket":
        counts.by_bound[float(labels["le"])] += sample.value


def _burn_row(key: tuple[str, str], counts: _ClassCounts, objective: float) -> BurnRow:
    service, rank = key
    window = WindowCounts(int(counts.offered), int(counts.served), int(counts.on_time))
    p50, p99 = (quantile_of(counts.by_bound, quantile_rank) for quantile_rank in _QUANTILES)
    return BurnRow(
        WorkClass(_NO_FLEET, service, Rank[rank.upper()]),
        timedelta(seconds=counts.target_s),
        objective,
        window,
        window,
        p50,
        p99,
    )
