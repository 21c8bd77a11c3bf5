"""Counters and latency histograms of the process, in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from typing import Any

from bramleyrill_core.catalog import DatabaseRoute
from bramleyrill_core.placement import Placed, Standing
from bramleyrill_core.statements import Answer

from bramleyrill_entry._run_request import RunRequest, RunResult
from bramleyrill_entry._team_metrics import TeamMetrics

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2.0, 3.0, 6.0)


class EntryMetrics:
    """Metrics of the process.

    They are counted in plain tables by their labels. The Prometheus library is imported when they
    are read, since a process spends more time on its import than on serving its first callers.
    """

    def __init__(self, teams: TeamMetrics | None = None) -> None:
        self._teams = teams or TeamMetrics()
        self._statements: Counter[tuple[str, str, str]] = Counter()
        self._on_time: Counter[tuple[str, str]] = Counter()
        self._runs: Counter[tuple[str, str]] = Counter()
        self._latency_counts: dict[tuple[str, str], list[int]] = {}
        self._latency_sums_s: Counter[tuple[str, str]] = Counter()
        self._targets_s: dict[tuple[str, str], float] = {}
        self._gauges_by_name: dict[str, float] = {}
        # Reads by member and what became of them there; counted by the placement of reads.
        self.reads_placed: Counter[tuple[str, Placed]] = Counter()
        # Share of this VM's reads by member and the reason for it.
        self.read_shares: dict[tuple[str, Standing], float] = {}
        # Each returns further metric families.
        self.sources: list[Callable[[], Iterable[Any]]] = []

    def count_run(self, request: RunRequest, result: RunResult) -> None:
        """Count one attempt at a member."""
        kind = "primary" if request.fence else "bounded"
        outcome = result.problem.name if result.problem else result.answer.code.name
        self._runs[kind, outcome.lower()] += 1

    def count_answer(self, route: DatabaseRoute, answer: Answer, duration: timedelta) -> None:
        """Count one answer to a caller."""
        labels = route.service, route.rank.name.lower()
        self._statements[(*labels, answer.code.name.lower())] += 1
        seconds = duration.total_seconds()
        counts = self._latency_counts.setdefault(labels, [0] * (len(LATENCY_BUCKETS_S) + 1))
        counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self._latency_sums_s[labels] += seconds
        self._targets_s[labels] = route.target.total_seconds()
        if answer.succeeded and duration <= route.target:
            self._on_time[labels] += 1

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `bramleyrill_<name>`."""
        self._gauges_by_name[name] = value

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families, as a collector of the Prometheus library does."""
        from prometheus_client.core import GaugeMetricFamily

        yield _counter_family(
            "bramleyrill_statements",
            "Statements answered to callers",
            ["service", "rank", "code"],
            self._statements,
        )
        yield self._latency_family()
        yield _counter_family(
            "bramleyrill_statements_on_time",
            "Statements answered with success within the target",
            ["service", "rank"],
            self._on_time,
        )
        targets = GaugeMetricFamily(
            "bramleyrill_target_seconds",
            "Latency target of the routes of a service and rank",
            labels=["service", "rank"],
        )
        for labels, seconds in self._targets_s.items():
            targets.add_metric(labels, seconds)
        yield targets
        yield _counter_family(
            "bramleyrill_runs",
            "Attempts at members, by kind and outcome",
            ["kind", "outcome"],
            self._runs,
        )
        yield from self._teams.collect()
        yield _counter_family(
            "bramleyrill_reads_placed",
            "Reads by member: chosen first, repeated there, or passed by",
            ["member", "placed"],
            Counter(
                {
                    (member, placed.name.lower()): count
                    for (member, placed), count in self.reads_placed.items()
                }
            ),
        )
        shares = GaugeMetricFamily(
            "bramleyrill_read_share",
            "Share of this VM's reads of its service that a member gets",
            labels=["member", "standing"],
        )
        for (member, standing), share in self.read_shares.items():
            shares.add_metric([member, standing.name.lower()], share)
        yield shares
        for name, value in self._gauges_by_name.items():
            yield GaugeMetricFamily(f"bramleyrill_{name}", name.replace("_", " "), value=value)
        for source in self.sources:
            yield from source()

    def _latency_family(self) -> Any:
        from prometheus_client.core import HistogramMetricFamily

        family = HistogramMetricFamily(
            "bramleyrill_statement_seconds",
            "Time from a statement's arrival to its answer",
            labels=["service", "rank"],
        )
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for labels, counts in self._latency_counts.items():
            cumulative = [sum(counts[: index + 1]) for index in range(len(counts))]
            buckets = list(zip(bounds, cumulative, strict=True))
            family.add_metric(labels, buckets, self._latency_sums_s[labels])
        return family


def _counter_family(
    name: str, documentation: str, labels: list[str], counts: Counter[tuple[str, ...]]
) -> Any:
    from prometheus_client.core import CounterMetricFamily

    family = CounterMetricFamily(name, documentation, labels=labels)
    for values, count in counts.items():
        family.add_metric(values, count)
    return family
