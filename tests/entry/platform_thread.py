"""A stand-in platform in a thread with a hub of its own, since its clients block in tests."""

import threading

from gevent.event import Event


class PlatformThread:
    """Runs the platform; `address` is where it listens."""

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
