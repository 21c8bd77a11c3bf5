"""Run a stand-in platform in its own thread and gevent hub, because its clients block in tests."""

import threading

import gevent
from gevent.event import Event

JOIN_LIMIT_S = 10


class PlatformThread:
    """Run the platform in a thread; `address` is its listening address.

    `close` ends the thread. A thread that still runs its event loop while the interpreter exits
    crashes the process.
    """

    def __init__(self, platform):
        self.platform = platform
        self.address = None
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait(5)

    @property
    def running(self):
        return self._thread.is_alive()

    def close(self):
        self._hub.loop.run_callback_threadsafe(self._stopped.set)
        self._thread.join(JOIN_LIMIT_S)

    def _run(self):
        self._hub = gevent.get_hub()
        self._stopped = Event()
        self.address = self.platform.start()
        self._started.set()
        self._stopped.wait()
        self.platform.stop()
        self._hub.destroy()
