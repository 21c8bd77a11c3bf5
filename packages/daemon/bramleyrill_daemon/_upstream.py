"""Connections to upstream members: dial, startup and log-in, small queries, cancel."""

import struct
from collections.abc import Iterator
from datetime import timedelta
from ssl import SSLContext

import gevent
from attrs import frozen
from gevent import socket
from scramp import ScramClient, ScramException

from bramleyrill_daemon._answers import row_values

READ_BYTES = 65536
PROTOCOL_VERSION = 196608
SSL_REQUEST = 80877103
CANCEL_REQUEST = 80877102
# Answers to log-in and group calls are small; a larger frame there is a fault of the upstream.
MAX_CONTROL_FRAME = 1024 * 1024
# Data that the upstream's machine has not acknowledged for this long means the connection is gone.
USER_TIMEOUT_MS = 4000
KEEPALIVE_IDLE_S = 2

_HEADER = struct.Struct("!ci")
_INT = struct.Struct("!i")


class UpstreamError(Exception):
    """The upstream answered a control query or a log-in with an error."""

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(f"{sqlstate} {message}")
        self.sqlstate = sqlstate
        self.message = message


@frozen
class UpstreamLogin:
    """Address and credentials of a member's server."""

    host: str
    port: int
    database: str
    user: str
    password: str
    tls: SSLContext | None = None


def frame(kind: bytes, body: bytes) -> bytes:
    """Return a typed message."""
    return _HEADER.pack(kind, len(body) + 4) + body


def query_frame(sql: str) -> bytes:
    """Return a simple query message."""
    return frame(b"Q", sql.encode() + b"\0")


def error_fields(body: bytes) -> dict[str, str]:
    """Return the fields of an ErrorResponse by their one-letter codes."""
    parts = body.split(b"\0")
    return {part[:1].decode(): part[1:].decode("utf-8", "replace") for part in parts if part}


class UpstreamConnection:
    """One logged-in connection to a member.

    Raises OSError when the connection fails, UpstreamError when the upstream answers an error.
    """

    def __init__(self, sock: socket.socket, login: UpstreamLogin) -> None:
        self.id = 0
        self.member = ""
        self.idle_tick = -1
        self.checking = False
        self.sock = sock
        # TLS has a state machine of its own, so only plain sockets are used directly.
        self._raw = sock._sock if type(sock) is socket.socket else None
        self.login = login
        self.pid = 0
        self.secret = 0
        self.closed = False
        self._proved = False
        self._received = b""

    @classmethod
    def dial(cls, login: UpstreamLogin, timeout: timedelta) -> "UpstreamConnection":
        """Connect and log in within `timeout`; raise TimeoutError after it."""
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
                    sock.sendall(struct.pack("!ii", 8, SSL_REQUEST))
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
        """Run one simple query and return its rows; the connection is closed on a timeout."""
        rows: list[list[str | None]] = []
        error = None
        try:
            with gevent.Timeout(timeout.total_seconds(), TimeoutError("query timed out")):
                self.sock.sendall(query_frame(sql))
                for kind, body in self._frames():
                    if kind == b"D":
                        rows.append(row_values(body))
                    elif kind == b"E":
                        fields = error_fields(body)
                        error = UpstreamError(fields.get("C", "XX000"), fields.get("M", ""))
                    elif kind == b"Z":
                        break
        except OSError:
            self.close()
            raise
        if error is not None:
            raise error
        return rows

    def send(self, data: bytes) -> None:
        """Send all of `data`; usually that is one system call and no switch of greenlets."""
        if self._raw is None or self.closed:
            self.sock.sendall(data)
            return
        try:
            sent = self._raw.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self.sock.sendall(memoryview(data)[sent:])

    def receive(self) -> bytes:
        """Wait for data and return it; empty at the end of the connection.

        The answer to a statement is not there yet when it is first asked for, so this waits
        before it reads instead of reading in vain.
        """
        sock = self.sock
        if self._raw is None:
            return sock.recv(READ_BYTES)
        while True:
            if self.closed:
                raise ConnectionError("connection was closed")
            sock._wait(sock._read_event)
            try:
                return self._raw.recv(READ_BYTES)
            except BlockingIOError:
                continue

    def has_unread(self) -> bool:
        """Tell whether the upstream closed an idle connection or sent something unasked."""
        if self._received:
            return True
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True
        return True

    def cancel(self, timeout: timedelta) -> None:
        """Ask the upstream to cancel what this connection runs; failures are ignored."""
        try:
            address = (self.login.host, self.login.port)
            with socket.create_connection(address, timeout=timeout.total_seconds()) as sock:
                sock.sendall(struct.pack("!iiii", 16, CANCEL_REQUEST, self.pid, self.secret))
                sock.recv(1)
        except OSError:
            pass

    def close(self) -> None:
        """Close the socket; the upstream rolls back what is open."""
        self.closed = True
        self.sock.close()

    def _frames(self) -> Iterator[tuple[bytes, bytes]]:
        """Yield received messages as (kind, body); for log-in and control queries only."""
        received = self._received
        self._received = b""
        while True:
            while len(received) >= 5:
                kind, length = _HEADER.unpack_from(received)
                if not 4 <= length <= MAX_CONTROL_FRAME:
                    raise ConnectionError("malformed frame from upstream")
                if len(received) < length + 1:
                    break
                body = received[5 : length + 1]
                received = received[length + 1 :]
                # Kept before the yield, since the caller stops at the frame it waits for.
                self._received = received
                yield kind, body
            data = self.sock.recv(READ_BYTES)
            if not data:
                raise ConnectionError("closed by upstream")
            received += data

    def _log_in(self) -> None:
        login = self.login
        pairs = ("user", login.user, "database", login.database, "client_encoding", "UTF8")
        body = b"".join(item.encode() + b"\0" for item in pairs) + b"\0"
        self.sock.sendall(struct.pack("!ii", len(body) + 8, PROTOCOL_VERSION) + body)
        scram: ScramClient | None = None
        for kind, body in self._frames():
            if kind == b"R":
                scram = self._authenticate(body, scram)
            elif kind == b"K":
                self.pid, self.secret = struct.unpack("!ii", body)
            elif kind == b"E":
                fields = error_fields(body)
                raise UpstreamError(fields.get("C", "XX000"), fields.get("M", ""))
            elif kind == b"Z":
                return

    def _authenticate(self, body: bytes, scram: ScramClient | None) -> ScramClient | None:
        """Answer one authentication request."""
        (code,) = _INT.unpack_from(body)
        try:
            if code == 0:
                if scram is not None and not self._proved:
                    raise UpstreamError(
                        "28000", "upstream did not prove that it knows the password"
                    )
                return None
            if code == 3:
                self.sock.sendall(frame(b"p", self.login.password.encode() + b"\0"))
                return None
            if code == 10:
                scram = ScramClient(["SCRAM-SHA-256"], self.login.user, self.login.password)
                first = scram.get_client_first().encode()
                head = b"SCRAM-SHA-256\0" + _INT.pack(len(first))
                self.sock.sendall(frame(b"p", head + first))
                return scram
            if code == 11 and scram is not None:
                scram.set_server_first(body[4:].decode())
                self.sock.sendall(frame(b"p", scram.get_client_final().encode()))
                return scram
            if code == 12 and scram is not None:
                scram.set_server_final(body[4:].decode())
                self._proved = True
                return scram
        except (ScramException, UnicodeDecodeError) as error:
            raise UpstreamError("28P01", f"log-in failed: {error}") from error
        raise UpstreamError("28000", f"authentication method {code} is not supported")
