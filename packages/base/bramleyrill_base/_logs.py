"""Structured logging: one event per line, as key=value pairs."""

import logging as logging_std
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import Any

from absl import flags, logging

_QUOTED_CHARACTERS = frozenset(' "=\n\t\\')


def format_value(value: Any) -> str:
    """Return `value` formatted for a key=value pair; durations are in milliseconds."""
    if isinstance(value, timedelta):
        return f"{value.total_seconds() * 1000:.1f}ms"
    if isinstance(value, datetime):
        return value.isoformat()
    if isinstance(value, Enum):
        return value.name.lower()
    text = str(value)
    if not text or _QUOTED_CHARACTERS.intersection(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text


def log_event(event: str, level: int = logging.INFO, **fields: Any) -> None:
    """Log one line `event=NAME key=value ...`.

    Fields must not contain statement text or credentials.

    Example: `log_event("primary_changed", database="kintsugi.pieces", term=7)`.
    """
    if logging.vlog_is_on(level) or level <= logging.INFO:
        pairs = " ".join(f"{key}={format_value(value)}" for key, value in fields.items())
        logging.log(level, "event=%s %s", event, pairs)


class _Formatter(logging_std.Formatter):
    """Prefix each line with time and level as pairs, so that it consists of pairs only."""

    def format(self, record: logging_std.LogRecord) -> str:
        """Return `time=... level=...` followed by the event's pairs."""
        timestamp = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
        line = f"time={timestamp} level={record.levelname.lower()} {record.getMessage()}"
        if record.exc_info:
            line += f" trace={format_value(self.formatException(record.exc_info))}"
        return line


def configure_logging(verbosity: int = logging.INFO) -> None:
    """Log to standard error, with events up to the absl level `verbosity` (WARNING is -1)."""
    # absl flags are not used; unless they are marked as parsed, absl logs a warning first.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(_Formatter())
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold("debug")
