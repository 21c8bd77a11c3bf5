"""Metrics interface, with a statsd and a no-op implementation."""

from datetime import timedelta
from typing import Protocol

import statsd


class Metrics(Protocol):
    """Count events, set gauges and record durations under dotted names."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""

    def timing(self, name: str, duration: timedelta) -> None:
        """Record one duration under `name`."""


class NullMetrics:
    """Discard every metric."""

    def count(self, name: str, amount: int = 1) -> None:
        """Discard a count."""

    def gauge(self, name: str, value: float) -> None:
        """Discard a gauge."""

    def timing(self, name: str, duration: timedelta) -> None:
        """Discard a duration."""


class StatsdMetrics:
    """Send metrics to a statsd server over UDP; an unreachable server does not block callers."""

    def __init__(self, host: str, port: int, prefix: str = "bramleyrill") -> None:
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self._client.gauge(name, value)

    def timing(self, name: str, duration: timedelta) -> None:
        """Record `duration` in milliseconds under `name`."""
        self._client.timing(name, duration)
