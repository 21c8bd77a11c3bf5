"""A loopback proxy that harms the connections that go through it."""

import socket
import struct
from typing import Any

import gevent
import gevent.socket
from attrs import define, field
from gevent.server import StreamServer

_READ_SIZE = 65536
# With no time to linger, closing a socket resets its connection.
_RESET = struct.pack("ii", 1, 0)


@define(eq=False)
class Harm:
    """What a proxy does to bytes: hold them for a while, or for ever, in each direction."""

    delay_s: float = 0.0
    silent_there: bool = False
    silent_back: bool = False


@define(eq=False)
class LoopbackProxy:
    """Forwards connections to `target`; `harm` applies to open and to new connections.

    Example: `proxy.harm.silent_back = True` lets requests arrive and loses the answers.
    """

    target: tuple[str, int]
    harm: Harm = field(factory=Harm)
    _sockets: set[Any] = field(factory=set)
    _server: StreamServer | None = None

    def start(self) -> tuple[str, int]:
        """Listen and return the address."""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        return "127.0.0.1", self._server.server_port

    def reset_all(self) -> None:
        """Reset the open connections."""
        for sock in list(self._sockets):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._close(sock)

    def stop(self) -> None:
        """Stop to listen and close everything."""
        self._server.stop(timeout=0)
        for sock in list(self._sockets):
            self._close(sock)

    def _serve(self, near: Any, _address: Any) -> None:
        try:
            far = gevent.socket.create_connection(self.target, timeout=5)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        self._sockets |= {near, far}
        back = gevent.spawn(self._copy, far, near, "silent_back")
        self._copy(near, far, "silent_there")
        back.join()

    def _copy(self, source: Any, sink: Any, silence: str) -> None:
        try:
            while data := source.recv(_READ_SIZE):
                gevent.sleep(self.harm.delay_s)
                # Held bytes arrive when the harm ends, as after a partition that heals.
                while getattr(self.harm, silence):
                    gevent.sleep(0.02)
                sink.sendall(data)
        except OSError:
            pass
        finally:
            self._close(source)
            self._close(sink)

    def _close(self, sock: Any) -> None:
        self._sockets.discard(sock)
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()
