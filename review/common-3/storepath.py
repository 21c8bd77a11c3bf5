"""The path of one VM to the store: forwards connections, and can be partitioned for a while.

While it is cut nothing passes in either direction; what was sent meanwhile arrives afterwards, as
retransmitted packets would.
"""

import time

import gevent
import gevent.socket
from gevent.event import Event
from gevent.server import StreamServer


class StorePath:
    """`pending` counts the requests that were passed on and have no answer yet."""

    def __init__(self, target):
        self._target = target
        self._open = Event()
        self._open.set()
        self._waiting_since = {}
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = ("127.0.0.1", self._server.server_port)

    @property
    def is_cut(self):
        return not self._open.is_set()

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    def long_waits(self, min_s):
        """Return the number of connections that have waited this long for an answer (watches)."""
        now = time.monotonic()
        return sum(now - since >= min_s for since in self._waiting_since.values())

    def _serve(self, sock, _address):
        self._open.wait()
        try:
            other = gevent.socket.create_connection(self._target)
        except OSError:
            return
        key = object()
        threads = [
            gevent.spawn(self._pump, sock, other, key, True),
            gevent.spawn(self._pump, other, sock, key, False),
        ]
        gevent.joinall(threads, count=1)
        self._open.wait()
        gevent.killall(threads)
        self._waiting_since.pop(key, None)
        other.close()
        sock.close()

    def _pump(self, source, target, key, is_request):
        try:
            while True:
                data = source.recv(65536)
                self._open.wait()
                if not data:
                    return
                if is_request:
                    self._waiting_since[key] = time.monotonic()
                else:
                    self._waiting_since.pop(key, None)
                target.sendall(data)
        except OSError:
            return
