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
from bramleyrill_base._logs import configure_logging, log_event
from bramleyrill_base._metrics import Metrics, NullMetrics, StatsdMetrics
from bramleyrill_base._registry import Registry
from bramleyrill_base._table import Table

__all__ = [
    "ANSWERS",
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
    "log_event",
]
