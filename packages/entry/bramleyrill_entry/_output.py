"""Log to standard output without ever blocking the process."""

import logging
import os
import sys
from collections import deque
from typing import NoReturn

import gevent
from absl import logging as absl_logging
from bramleyrill_base import configure_logging, log_event
from gevent.event import Event

# Maximum number of lines that are buffered for output; further ones are dropped and counted.
MAX_QUEUED_LINES = 4000
FLUSH_INTERVAL_S = 0.05
_MAX_WRITE_BYTES = 65536
EXIT_NOT_STARTED = 2


class OutputHandler(logging.Handler):
    """Buffer lines in memory until `flush_forever` writes them.

    If nobody reads the output, lines are dropped instead of blocking the process; their number
    is logged once there is room again.
    """

    def __init__(self, descriptor: int = 1) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._dropped = 0
        self._lines_available = Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or drop and count it if the buffer is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(self.format(record).encode("utf-8", "replace") + b"\n")
        self._lines_available.set()

    def write_pending(self) -> None:
        """Write buffered lines as far as possible without blocking."""
        if self._dropped and not self._lines:
            dropped, self._dropped = self._dropped, 0
            log_event("log_lines_dropped", lines=dropped)
        while self._lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = b"".join(self._lines)
                self._lines.clear()
            try:
                written = os.write(self._descriptor, self._unwritten[:_MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The output was closed, and there is no other place to report it.
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def flush_forever(self) -> None:
        """Write buffered lines in batches; sleep while there are none."""
        while True:
            self._lines_available.wait()
            gevent.sleep(FLUSH_INTERVAL_S)
            self._lines_available.clear()
            self.write_pending()
            if self._unwritten:
                self._lines_available.set()


def set_up_output() -> OutputHandler:
    """Send log lines to standard output through an `OutputHandler` and return it."""
    configure_logging()
    handler = OutputHandler()
    absl_handler = absl_logging.get_absl_handler()
    handler.setFormatter(absl_handler.python_handler.formatter)
    root = logging.getLogger()
    for other in list(root.handlers):
        root.removeHandler(other)
    root.addHandler(handler)
    os.set_blocking(1, False)
    return handler


def end_with_error(event: str, error: Exception) -> NoReturn:
    """Log why the process cannot start, and exit."""
    output = set_up_output()
    log_event(event, reason=error)
    output.write_pending()
    sys.exit(EXIT_NOT_STARTED)
