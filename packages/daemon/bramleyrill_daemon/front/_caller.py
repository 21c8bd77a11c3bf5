"""The socket of a caller: reads, writes and the write that acknowledges."""

import select
import ssl
from datetime import timedelta

import gevent
import gevent.socket
from bramleyrill_base import Clock

from bramleyrill_daemon.front._limits import CoarseClock
from bramleyrill_daemon.front._replies import SessionEndError

READ_SIZE = 16 << 10
# A caller that sent nothing for this long has finished its message.
QUIET_S = 0.05
# After the last frame it may take longer; a caller that closes ends the wait.
QUIET_AFTER_LAST_S = 0.3
_POLL_RDHUP = getattr(select, "POLLRDHUP", 0x2000)


class CallerSocket:
    """Blocking reads and writes for one greenlet, over a TCP or TLS socket of gevent.

    `blocked_since` is the pulse at which a write began that the caller does not take, or None.
    """

    __slots__ = ("_hub", "_coarse_clock", "_readable", "_sock", "blocked_since", "is_tls")

    def __init__(self, sock: gevent.socket.socket, coarse_clock: CoarseClock) -> None:
        self._sock = sock
        self._coarse_clock = coarse_clock
        self.blocked_since: float | None = None
        self.is_tls = False
        self._hub = gevent.get_hub()
        self._readable = self._hub.loop.io(sock.fileno(), 1)

    def start_tls(self, context: ssl.SSLContext) -> None:
        """Do the server's side of a TLS handshake."""
        self._sock = context.wrap_socket(self._sock, server_side=True)
        self.is_tls = True

    def fileno(self) -> int:
        """Return the descriptor, or -1 after close."""
        return self._sock.fileno()

    def receive(self) -> bytes:
        """Return the next bytes, or b"" at the end."""
        if not self.is_tls:
            # A caller that has just got its answer has not sent the next request yet: to wait
            # first saves a read that fails. With TLS, bytes may wait in the library's buffer.
            self._hub.wait(self._readable)
        return self._sock.recv(READ_SIZE)

    def receive_exactly(self, size: int) -> bytes:
        """Return exactly `size` bytes; raise ConnectionError if the caller closes before."""
        data = b""
        while len(data) < size:
            part = self._sock.recv(size - len(data))
            if not part:
                raise ConnectionError("closed by the caller")
            data += part
        return data

    def send(self, data: bytes) -> None:
        """Send all of `data`; block while the caller does not read."""
        sent = self._try_send(data)
        if sent < len(data):
            self._send_blocking(data[sent:])

    def send_before(self, data: bytes, clock: Clock, expiry: timedelta) -> bool:
        """Send `data` if `clock` is before `expiry` right before its bytes leave.

        Returns False with nothing sent if it is not. Raises ConnectionError if the time comes
        when a part has left, since the rest must not follow.
        """
        sent = 0
        if self.is_tls:
            self._wait_writable()
        while True:
            if clock.monotonic() >= expiry:
                if sent:
                    raise ConnectionError("an acknowledgement was cut short")
                return False
            sent += self._try_send(data[sent:] if sent else data)
            if sent >= len(data):
                return True
            self._wait_writable()

    def _try_send(self, data: bytes) -> int:
        if self.is_tls:
            self._send_blocking(data)
            return len(data)
        try:
            return self._sock.send(data, 0, 0.0)
        except BlockingIOError:
            return 0

    def _send_blocking(self, data: bytes) -> None:
        self.blocked_since = self._coarse_clock.now
        try:
            self._sock.sendall(data)
        finally:
            self.blocked_since = None

    def _wait_writable(self) -> None:
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLOUT)
        if poll.poll(0):
            return
        self.blocked_since = self._coarse_clock.now
        try:
            gevent.socket.wait_write(self._sock.fileno())
        finally:
            self.blocked_since = None

    def has_input(self) -> bool:
        """Tell whether bytes of the caller wait to be read."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def finish(self, last: bytes, linger: float) -> None:
        """Read what the caller still writes, then send the last frame, for `linger` seconds each.

        A driver that is in the middle of a long message takes an early end of the connection for
        a crash and loses the frame; closing with unread input would reset the connection.
        """
        try:
            self._read_until_quiet(QUIET_S, linger)
            with gevent.Timeout(linger, False):
                self._sock.settimeout(None)
                self._sock.sendall(last)
            self._read_until_quiet(QUIET_AFTER_LAST_S, linger)
            if not self.is_tls:
                with gevent.Timeout(linger, False):
                    self._sock.settimeout(None)
                    self._sock.shutdown(gevent.socket.SHUT_WR)
                    while self._sock.recv(READ_SIZE):
                        pass
        except (OSError, SessionEndError):
            pass

    def _read_until_quiet(self, quiet_s: float, linger: float) -> None:
        """Read until the caller sends nothing for `quiet_s`, for at most `linger` seconds."""
        self._sock.settimeout(quiet_s)
        try:
            with gevent.Timeout(linger, False):
                while self._sock.recv(READ_SIZE):
                    pass
        except TimeoutError:
            return

    def close(self) -> None:
        """Close the socket."""
        self._readable.stop()
        self._readable.close()
        try:
            self._sock.close()
        except OSError:
            pass


def disconnected_callers(callers: dict[int, object]) -> list[object]:
    """Return the values of those descriptors whose caller has closed the connection."""
    poll = select.poll()
    for descriptor in callers:
        poll.register(descriptor, _POLL_RDHUP)
    gone = select.POLLERR | select.POLLHUP | select.POLLNVAL | _POLL_RDHUP
    return [callers[fd] for fd, events in poll.poll(0) if events & gone]
