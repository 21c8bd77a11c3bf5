"""A loopback proxy that injects faults into the connections that go through it."""

import socket
import struct
from typing import Any

import gevent
import gevent.socket
from attrs import define, field
from gevent.server import StreamServer

_READ_BYTES = 65536
# With a linger time of 0, closing a socket resets its connection.
_LINGER_RESET = struct.pack("ii", 1, 0)


@define(eq=False)
class LinkFaults:
    """Faults of a proxied link: a delay of all bytes, or a hold on the bytes of a direction."""

    delay_s: float = 0.0
    hold_requests: bool = False
    hold_responses: bool = False


@define(eq=False)
class LoopbackProxy:
    """Forwards connections to `target`; `link_faults` applies to open and to new connections.

    Example: `proxy.link_faults.hold_responses = True` lets requests arrive and holds back answers.
    """

    target: tuple[str, int]
    link_faults: LinkFaults = field(factory=LinkFaults)
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
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            self._close(sock)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)
        for sock in list(self._sockets):
            self._close(sock)

    def _serve(self, client: Any, _address: Any) -> None:
        try:
            server = gevent.socket.create_connection(self.target, timeout=5)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        self._sockets |= {client, server}
        responses = gevent.spawn(self._copy, server, client, "hold_responses")
        self._copy(client, server, "hold_requests")
        responses.join()

    def _copy(self, source: Any, sink: Any, hold: str) -> None:
        try:
            while data := source.recv(_READ_BYTES):
                gevent.sleep(self.link_faults.delay_s)
                # Held bytes arrive when the fault ends, as after a network partition.
                while getattr(self.link_faults, hold):
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
