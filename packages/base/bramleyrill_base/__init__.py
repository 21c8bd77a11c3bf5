"""Utilities below the domain model: clocks, tables, registries, errors, logging, metrics."""

from bramleyrill_base._clock import Clock, ManualClock, SystemClock
from bramleyrill_base._errors import (
    ANSWERS,
    Answer,
    ErrorKind,
    Problem,
    Retry,
    answer_for,
    is_not_run,
)
from bramleyrill_base._json import UNREADABLE, read_json
from bramleyrill_base._lazy import lazy_attributes
from bramleyrill_base._logs import configure_logging, log_event
from bramleyrill_base._registry import Registry
from bramleyrill_base._table import Table

__all__ = [
    "ANSWERS",
    "UNREADABLE",
    "Answer",
    "Clock",
    "ErrorKind",
    "ManualClock",
    "Metrics",
    "NullMetrics",
    "Problem",
    "Registry",
    "Retry",
    "StatsdMetrics",
    "SystemClock",
    "Table",
    "answer_for",
    "configure_logging",
    "is_not_run",
    "lazy_attributes",
    "log_event",
    "read_json",
]

# Only the PostgreSQL path sends its metrics with statsd.
__getattr__ = lazy_attributes(
    globals(),
    {
        "Metrics": "bramleyrill_base._metrics",
        "NullMetrics": "bramleyrill_base._metrics",
        "StatsdMetrics": "bramleyrill_base._metrics",
    },
)
