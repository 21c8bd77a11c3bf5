"""Records the outcome of each request for the service-level accounting and for statsd."""

from datetime import timedelta

from bramleyrill_base import Metrics, NullMetrics, StatsdMetrics
from bramleyrill_core import World
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.burn import record_request
from bramleyrill_core.sessions import Session

from bramleyrill_daemon._settings import Settings


def metrics_of(settings: Settings) -> Metrics:
    """Return a statsd client, or one that drops all metrics if no server is configured."""
    return StatsdMetrics(*settings.statsd) if settings.statsd else NullMetrics()


class Accounting:
    """Record requests by work class; metric names are cached for each class."""

    def __init__(self, world: World, metrics: Metrics) -> None:
        self._world = world
        self._metrics = metrics
        # Without a statsd server, the hot path skips the calls of the client.
        self._sends_metrics = not isinstance(metrics, NullMetrics)
        self._metric_names: dict[WorkClass, tuple[str, str]] = {}

    def record(self, session: Session, latency: timedelta, served: bool) -> None:
        """Record one request of a session; `served` is false for a refused or unknown outcome."""
        work_class = WorkClass(session.fleet, session.service, session.rank)
        record_request(self._world, work_class, latency, served)
        if not self._sends_metrics:
            return
        names = self._metric_names.get(work_class)
        if names is None:
            prefix = f"{session.fleet}.{session.service}.{session.rank.name.lower()}"
            names = self._metric_names[work_class] = (f"{prefix}.latency", f"{prefix}.refused")
        if served:
            self._metrics.timing(names[0], latency)
        else:
            self._metrics.count(names[1])
