"""Log lines: one event a line, as key=value pairs."""

from datetime import datetime, timedelta
from enum import Enum
from typing import Any

from absl import logging

_NEEDS_QUOTES = frozenset(' "=\n\t\\')


def format_value(value: Any) -> str:
    """Return `value` as the right side of a pair; durations are in milliseconds."""
    if isinstance(value, timedelta):
        return f"{value.total_seconds() * 1000:.1f}ms"
    if isinstance(value, datetime):
        return value.isoformat()
    if isinstance(value, Enum):
        return value.name.lower()
    text = str(value)
    if not text or _NEEDS_QUOTES.intersection(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text


def log_event(event: str, level: int = logging.INFO, **fields: Any) -> None:
    """Write one line `event=NAME key=value ...`.

    Fields never hold statement text or credentials.

    Example: `log_event("primary_changed", database="kintsugi.pieces", term=7)`.
    """
    if logging.vlog_is_on(level) or level <= logging.INFO:
        pairs = " ".join(f"{key}={format_value(value)}" for key, value in fields.items())
        logging.log(level, "event=%s %s", event, pairs)


def set_up_logs(verbosity: int = logging.INFO) -> None:
    """Send log lines to standard error from `verbosity` up."""
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold("debug")
