"""The socket of a caller: reads, writes, and writes that must not leave after a deadline."""

import select
import ssl
from datetime import timedelta

import gevent
import gevent.socket
from bramleyrill_base import Clock

from bramleyrill_daemon.front._limits import CoarseClock
from bramleyrill_daemon.front._replies import SessionEndError

READ_BYTES = 16 << 10
# A caller that has sent nothing for this long is taken to have finished its message.
QUIET_S = 0.05
# The same after the last frame, where a caller may take longer; its close ends the wait.
QUIET_AFTER_LAST_S = 0.3
_POLL_RDHUP = getattr(select, "POLLRDHUP", 0x2000)


class CallerSocket:
    """Blocking reads and writes for one greenlet, over a TCP or TLS socket of gevent.

    `blocked_since` is the time, on the coarse clock, since which a write waits for the caller to
    read, or None.
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
        """Do the server side of a TLS handshake; raise OSError if it fails."""
        self._sock = context.wrap_socket(self._sock, server_side=True)
        self.is_tls = True

    def fileno(self) -> int:
        """Return the file descriptor, or -1 after `close`."""
        return self._sock.fileno()

    def receive(self) -> bytes:
        """Return the next bytes, or b"" if the caller has closed the connection."""
        if not self.is_tls:
            # Usually the caller has not sent its next request yet. Waiting first saves a read that
            # would fail. With TLS this could wait for input that the library has read and buffered.
            self._hub.wait(self._readable)
        return self._sock.recv(READ_BYTES)

    def receive_exactly(self, size: int) -> bytes:
        """Return exactly `size` bytes; raise ConnectionError if the caller closes earlier."""
        data = b""
        while len(data) < size:
            chunk = self._sock.recv(size - len(data))
            if not chunk:
                raise ConnectionError("closed by the caller")
            data += chunk
        return data

    def send(self, data: bytes) -> None:
        """Send all of `data`; block while the caller does not read."""
        sent = self._try_send(data)
        if sent < len(data):
            self._send_blocking(data[sent:])

    def send_before(self, data: bytes, clock: Clock, expiry: timedelta) -> bool:
        """Send `data` if `clock` is before `expiry` immediately before the write.

        Return False, with nothing sent, if it is not. Raise ConnectionError if `expiry` passes
        after a part was sent, since the rest must not be sent any more.
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
        """Return whether the socket has unread input of the caller."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def send_last_frame(self, last_frame: bytes, linger_s: float) -> None:
        """Read the rest of the input, send the last frame and shut down; errors are ignored.

        Each step takes at most `linger_s` seconds. If the connection ended while a driver writes
        a long message, the driver would report a crash and not read the frame; a close with unread
        input would reset the connection.
        """
        try:
            self._read_until_quiet(QUIET_S, linger_s)
            with gevent.Timeout(linger_s, False):
                self._sock.settimeout(None)
                self._sock.sendall(last_frame)
            self._read_until_quiet(QUIET_AFTER_LAST_S, linger_s)
            if not self.is_tls:
                with gevent.Timeout(linger_s, False):
                    self._sock.settimeout(None)
                    self._sock.shutdown(gevent.socket.SHUT_WR)
                    while self._sock.recv(READ_BYTES):
                        pass
        except (OSError, SessionEndError):
            pass

    def _read_until_quiet(self, quiet_s: float, linger_s: float) -> None:
        """Read until the caller has sent nothing for `quiet_s` seconds, at most for `linger_s`."""
        self._sock.settimeout(quiet_s)
        try:
            with gevent.Timeout(linger_s, False):
                while self._sock.recv(READ_BYTES):
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
    """Return those of `callers`, by file descriptor, whose connection was closed by the caller."""
    poll = select.poll()
    for descriptor in callers:
        poll.register(descriptor, _POLL_RDHUP)
    closed_events = select.POLLERR | select.POLLHUP | select.POLLNVAL | _POLL_RDHUP
    return [callers[fd] for fd, events in poll.poll(0) if events & closed_events]
