"""Connections to upstream members: dial, login, control queries, raw data, cancel."""

from collections import deque
from collections.abc import Iterator
from datetime import timedelta
from ssl import SSLContext

import gevent
from attrs import frozen
from bramleyrill_wire import postgres
from gevent import socket
from returns.pipeline import is_successful

from bramleyrill_daemon._answers import row_values

RECEIVE_BYTES = 65536
# Frames of logins and control queries are small; a larger one is a protocol error of the upstream.
MAX_CONTROL_FRAME_BYTES = 1024 * 1024
# The connection is closed if the upstream's machine does not acknowledge data for this time.
USER_TIMEOUT_MS = 4000
KEEPALIVE_IDLE_S = 2

_DATA_ROW, _ERROR, _READY, _AUTHENTICATION, _KEY_DATA = b"DEZRK"


class UpstreamError(Exception):
    """The upstream answered a control query or a login with an error."""

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(f"{sqlstate} {message}")
        self.sqlstate = sqlstate
        self.message = message


@frozen
class UpstreamLogin:
    """Address and credentials of a member's server; `application` is sent as application_name."""

    host: str
    port: int
    database: str
    user: str
    password: str
    tls: SSLContext | None = None
    application: str = "bramleyrill"


class UpstreamConnection:
    """One logged-in connection to a member.

    Methods raise OSError if the connection fails, UpstreamError if the upstream answers with an
    error. ConnectionPools sets `id`, `member`, `idle_tick` (the tick of the last release) and
    `checking` (a check of the holder lock is running on this control connection).
    """

    def __init__(self, sock: socket.socket, login: UpstreamLogin) -> None:
        self.id = 0
        self.member = ""
        self.idle_tick = -1
        self.checking = False
        self.sock = sock
        # A TLS socket has a state machine of its own, so only plain sockets are used directly.
        self._raw_sock = sock._sock if type(sock) is socket.socket else None
        self.login = login
        self.pid = 0
        self.secret = 0
        self.closed = False
        self._splitter = postgres.FrameSplitter(limit=MAX_CONTROL_FRAME_BYTES)
        self._pending_frames: deque[tuple[int, bytes]] = deque()

    @classmethod
    def dial(cls, login: UpstreamLogin, timeout: timedelta) -> "UpstreamConnection":
        """Connect and log in; raise TimeoutError if that takes longer than `timeout`."""
        sock = None
        with gevent.Timeout(timeout.total_seconds(), TimeoutError("dial timed out")):
            try:
                sock = socket.create_connection((login.host, login.port))
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
                if login.tls is not None:
                    sock.sendall(postgres.encryption_request())
                    if sock.recv(1) != b"S":
                        raise UpstreamError("08001", "upstream offers no TLS")
                    sock = login.tls.wrap_socket(sock, server_hostname=login.host)
                connection = cls(sock, login)
                connection._log_in()
            except BaseException:
                if sock is not None:
                    sock.close()
                raise
        return connection

    def query(self, sql: str, timeout: timedelta) -> list[list[str | None]]:
        """Run one simple query and return its rows; close the connection on OSError or timeout."""
        rows: list[list[str | None]] = []
        error = None
        try:
            with gevent.Timeout(timeout.total_seconds(), TimeoutError("query timed out")):
                self.sock.sendall(postgres.query(sql))
                for kind, frame in self._frames():
                    if kind == _DATA_ROW:
                        rows.append(row_values(frame[5:]))
                    elif kind == _ERROR:
                        error = _parse_error(frame)
                    elif kind == _READY:
                        break
        except OSError:
            self.close()
            raise
        if error is not None:
            raise error
        return rows

    def send(self, data: bytes) -> None:
        """Send all of `data`; on a plain socket usually in one system call, without a switch."""
        if self._raw_sock is None or self.closed:
            self.sock.sendall(data)
            return
        try:
            sent = self._raw_sock.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self.sock.sendall(memoryview(data)[sent:])

    def receive(self) -> bytes:
        """Wait for data and return it; empty at the end of the connection.

        On a plain socket this waits before the first read, since the answer to a statement has
        not arrived yet when this is called, and a read would fail.
        """
        sock = self.sock
        if self._raw_sock is None:
            return sock.recv(RECEIVE_BYTES)
        while True:
            if self.closed:
                raise ConnectionError("connection was closed")
            sock._wait(sock._read_event)
            try:
                return self._raw_sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue

    def has_unread(self) -> bool:
        """Return whether the upstream closed an idle connection or sent unexpected data."""
        if self._pending_frames or not self._splitter.at_frame_boundary:
            return True
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True
        return True

    def cancel(self, timeout: timedelta) -> None:
        """Send a cancel request for the running statement on a new connection; ignore failures."""
        try:
            address = (self.login.host, self.login.port)
            with socket.create_connection(address, timeout=timeout.total_seconds()) as sock:
                sock.sendall(postgres.cancel_request(self.pid, self.secret))
                sock.recv(1)
        except OSError:
            pass

    def close(self) -> None:
        """Close the socket; the upstream then rolls back an open transaction."""
        self.closed = True
        self.sock.close()

    def _frames(self) -> Iterator[tuple[int, bytes]]:
        """Yield received frames with their kind; only for logins and control queries."""
        while True:
            while self._pending_frames:
                yield self._pending_frames.popleft()
            data = self.sock.recv(RECEIVE_BYTES)
            if not data:
                raise ConnectionError("closed by upstream")
            try:
                self._pending_frames.extend(self._splitter.feed(data))
            except postgres.FrameError as error:
                raise ConnectionError("malformed frame from upstream") from error

    def _log_in(self) -> None:
        login = self.login
        parameters = {
            "user": login.user,
            "database": login.database,
            "client_encoding": "UTF8",
            "application_name": login.application,
        }
        self.sock.sendall(postgres.startup_message(parameters))
        client = postgres.ClientLogin(login.user, login.password, clear_text=True)
        for kind, frame in self._frames():
            if kind == _AUTHENTICATION:
                answer = client.answer(frame)
                if not is_successful(answer):
                    raise UpstreamError("28000", answer.failure().detail)
                if answer.unwrap():
                    self.sock.sendall(answer.unwrap())
            elif kind == _KEY_DATA:
                self.pid, self.secret = postgres.read_key_data(frame)
            elif kind == _ERROR:
                raise _parse_error(frame)
            elif kind == _READY:
                return


def _parse_error(frame: bytes) -> UpstreamError:
    fields = postgres.read_fields(frame)
    return UpstreamError(fields.get("C", "XX000"), fields.get("M", ""))
