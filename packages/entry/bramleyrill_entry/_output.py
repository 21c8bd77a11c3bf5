"""Log lines on standard output that never block the process."""

import logging
import os
import sys
from collections import deque
from typing import NoReturn

import gevent
from absl import logging as absl_logging
from bramleyrill_base import configure_logging, log_event
from gevent.event import Event

# Lines that wait for output; more are dropped and counted.
MAX_WAITING_LINES = 4000
FLUSH_INTERVAL_S = 0.05
_MAX_WRITE = 65536
EXIT_NOT_STARTED = 2


class OutputHandler(logging.Handler):
    """Keep lines in memory until `flush_forever` writes them.

    A reader that stops reading costs lines, never time: the number of lines dropped is logged
    once there is room again.
    """

    def __init__(self, descriptor: int = 1) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._dropped = 0
        self._waiting = Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line, or count it as dropped."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        self._lines.append(self.format(record).encode("utf-8", "replace") + b"\n")
        self._waiting.set()

    def write_waiting(self) -> None:
        """Write what the reader takes at once."""
        if self._dropped and not self._lines:
            dropped, self._dropped = self._dropped, 0
            log_event("log_lines_dropped", lines=dropped)
        while self._lines or self._rest:
            if not self._rest:
                self._rest = b"".join(self._lines)
                self._lines.clear()
            try:
                written = os.write(self._descriptor, self._rest[:_MAX_WRITE])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def flush_forever(self) -> None:
        """Write lines a moment after the first of them; sleep while there are none."""
        while True:
            self._waiting.wait()
            gevent.sleep(FLUSH_INTERVAL_S)
            self._waiting.clear()
            self.write_waiting()
            if self._rest:
                self._waiting.set()


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
    """Log why the process cannot start, and end it."""
    output = set_up_output()
    log_event(event, reason=error)
    output.write_waiting()
    sys.exit(EXIT_NOT_STARTED)
