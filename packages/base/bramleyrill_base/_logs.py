"""Log lines: one event a line, as key=value pairs."""

import logging as logging_std
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import Any

from absl import flags, logging

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


class _Formatter(logging_std.Formatter):
    """Put time and level in front as pairs, so that a line is nothing but pairs."""

    def format(self, record: logging_std.LogRecord) -> str:
        """Return `time=... level=...` and the event's pairs."""
        at = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
        line = f"time={at} level={record.levelname.lower()} {record.getMessage()}"
        if record.exc_info:
            line += f" trace={format_value(self.formatException(record.exc_info))}"
        return line


def set_up_logs(verbosity: int = logging.INFO) -> None:
    """Send log lines to standard error from `verbosity` up."""
    # Without this absl writes a warning before the first line; its flags are not used.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(_Formatter())
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold("debug")
