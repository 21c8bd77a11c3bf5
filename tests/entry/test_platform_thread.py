"""The thread of the stand-in platform ends with its test."""

import unittest

from bramleyrill_standins.prepared import PreparedPlatform

from tests.entry.platform_thread import PlatformThread


class PlatformThreadTest(unittest.TestCase):
    def test_closed_thread_runs_no_event_loop(self):
        """An event loop in a daemon thread made the test process crash when it exited."""
        thread = PlatformThread(PreparedPlatform({}))
        self.assertTrue(thread.running)
        thread.close()
        self.assertFalse(thread.running)
