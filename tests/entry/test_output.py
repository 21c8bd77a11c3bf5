"""Non-blocking log output."""

import logging
import os
import unittest

from bramleyrill_entry import _output
from bramleyrill_entry._output import OutputHandler


class OutputTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.writer, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = OutputHandler(self.writer)

    def emit(self, text):
        self.handler.emit(logging.LogRecord("n", logging.INFO, "f", 1, text, None, None))

    def test_lines_are_written(self):
        self.emit("event=a")
        self.emit("event=b")
        self.handler.write_pending()
        self.assertEqual(os.read(self.reader, 100), b"event=a\nevent=b\n")

    def test_lines_are_dropped_while_nobody_reads(self):
        """A full pipe must not block the process."""
        for _ in range(300):
            self.emit("x" * 1000)
        self.handler.write_pending()
        for _ in range(_output.MAX_QUEUED_LINES + 5):
            self.emit("y")
        self.assertEqual(self.handler._dropped, 5)
        received = b""
        while len(received) < 300 * 1001:
            received += os.read(self.reader, 65536)
            self.handler.write_pending()
        self.assertTrue(received.startswith(b"x" * 1000 + b"\n"))
