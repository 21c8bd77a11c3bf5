"""Metrics: the interface, a statsd client behind it, and one that drops everything."""

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
    """Drop every metric."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drop a count."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, name: str, duration: timedelta) -> None:
        """Drop a duration."""


class StatsdMetrics:
    """Send metrics to a statsd server over UDP; a server that is away costs nothing."""

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
