"""Counters and latency histograms of the process, in the Prometheus text format."""

from datetime import timedelta

from bramleyrill_core.catalog import DatabaseRoute
from bramleyrill_core.statements import Answer
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from bramleyrill_entry._run_request import RunRequest, RunResult

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2.0, 3.0, 6.0)


class EntryMetrics:
    """Metrics of the process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._statements = Counter(
            "bramleyrill_statements",
            "Statements answered to callers",
            ["service", "rank", "code"],
            registry=self.registry,
        )
        self._latency = Histogram(
            "bramleyrill_statement_seconds",
            "Time from a statement's arrival to its answer",
            ["service", "rank"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._on_time = Counter(
            "bramleyrill_statements_on_time",
            "Statements answered with success within the target",
            ["service", "rank"],
            registry=self.registry,
        )
        self._target = Gauge(
            "bramleyrill_target_seconds",
            "Latency target of the routes of a service and rank",
            ["service", "rank"],
            registry=self.registry,
        )
        self._runs = Counter(
            "bramleyrill_runs",
            "Attempts at members, by kind and outcome",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self._gauges: dict[str, Gauge] = {}

    def count_run(self, request: RunRequest, result: RunResult) -> None:
        """Count one attempt at a member."""
        kind = "primary" if request.fence else "bounded"
        outcome = result.problem.name if result.problem else result.answer.code.name
        self._runs.labels(kind, outcome.lower()).inc()

    def count_answer(self, route: DatabaseRoute, answer: Answer, duration: timedelta) -> None:
        """Count one answer to a caller."""
        rank = route.rank.name.lower()
        self._statements.labels(route.service, rank, answer.code.name.lower()).inc()
        self._latency.labels(route.service, rank).observe(duration.total_seconds())
        self._target.labels(route.service, rank).set(route.target.total_seconds())
        if answer.succeeded and duration <= route.target:
            self._on_time.labels(route.service, rank).inc()

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `bramleyrill_<name>`, created on first use."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"bramleyrill_{name}", name.replace("_", " "), registry=self.registry)
            self._gauges[name] = gauge
        gauge.set(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
