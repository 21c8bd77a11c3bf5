"""Run a stand-in platform in its own thread and gevent hub, because its clients block in tests."""

import threading

from gevent.event import Event


class PlatformThread:
    """Run the platform in a thread; `address` is its listening address."""

    def __init__(self, platform):
        self.platform = platform
        self.address = None
        self._started = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()
        self._started.wait(5)

    def _run(self):
        self.address = self.platform.start()
        self._started.set()
        Event().wait()
