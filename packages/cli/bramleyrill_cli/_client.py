"""Minimal client for benchmarks: simple queries over one connection, with little overhead."""

import time

from bramleyrill_wire import postgres
from gevent import socket

RECEIVE_BUFFER_BYTES = 65536
CALL_TIMEOUT_S = 30.0
_READY = ord("Z")
_ERROR = ord("E")
_AUTHENTICATION = ord("R")
_COLLECTED_TYPES = frozenset({_READY, _ERROR, _AUTHENTICATION})


class CallError(Exception):
    """The server returned an error; `sqlstate` is its code."""

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(f"{sqlstate}: {message}")
        self.sqlstate = sqlstate


class BenchCaller:
    """An authenticated connection to 127.0.0.1; `query` returns the latency in seconds.

    Example: `BenchCaller(port, "restorer@kintsugi", "restorer", "records").query("SELECT 1")`.
    """

    def __init__(
        self, port: int, user: str, password: str, database: str, options: str = ""
    ) -> None:
        self._sock = socket.create_connection(("127.0.0.1", port), timeout=CALL_TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._splitter = postgres.FrameSplitter(_COLLECTED_TYPES)
        self._login = postgres.ClientLogin(user, password)
        parameters = {"user": user, "database": database}
        if options:
            parameters["options"] = options
        self._sock.sendall(postgres.startup_message(parameters))
        self._wait_until_ready()

    def query(self, sql: str) -> float:
        """Run a statement and return the time until its result was complete, in seconds."""
        started = time.perf_counter()
        self._sock.sendall(postgres.query(sql))
        self._wait_until_ready()
        return time.perf_counter() - started

    def close(self) -> None:
        """End the session."""
        try:
            self._sock.sendall(postgres.TERMINATE)
        except OSError:
            pass
        self._sock.close()

    def _wait_until_ready(self) -> None:
        error = None
        while True:
            data = self._sock.recv(RECEIVE_BUFFER_BYTES)
            if not data:
                raise error or ConnectionError("closed by the server")
            for kind, frame in self._splitter.feed(data):
                if kind == _AUTHENTICATION:
                    self._sock.sendall(self._login.answer(frame).unwrap())
                elif kind == _ERROR:
                    fields = postgres.read_fields(frame)
                    error = CallError(fields.get("C", ""), fields.get("M", ""))
                elif kind == _READY:
                    if error is not None:
                        raise error
                    return
