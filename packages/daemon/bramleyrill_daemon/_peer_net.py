"""The peer connections of this VM: accepts and dials them, and keeps one for each peer."""

import random
from collections.abc import Callable
from datetime import timedelta
from ssl import SSLContext
from typing import Any

import gevent
from attrs import define
from bramleyrill_base import Clock, log_event
from bramleyrill_core import VmIdentity
from gevent import socket
from gevent.event import AsyncResult

from bramleyrill_daemon._peer_hello import HelloError, client_handshake, server_handshake
from bramleyrill_daemon._peer_link import PeerLink, PeerLostError

HELLO_TIMEOUT = timedelta(seconds=2)
DIAL_TIMEOUT = timedelta(seconds=2)
DIAL_BACKOFF_FIRST = timedelta(milliseconds=50)
DIAL_BACKOFF_MAX = timedelta(seconds=2)
# When both sides dial at the same time, the duplicate is closed once it has had no stream for this
# long.
DUPLICATE_LINK_IDLE = timedelta(seconds=5)
LISTEN_BACKLOG = 512

Address = tuple[str, int]


@define
class _Backoff:
    """Delay before the next dial of a peer whose last dial failed."""

    delay: timedelta
    until: timedelta


def listen_on(host: str, port: int) -> socket.socket:
    """Return a listening socket of gevent.

    `create_server` of the standard library returns one that blocks the event loop.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


class PeerNet:
    """Hold one link per peer; dial on demand, with a jittered backoff after a failure.

    `address_of` maps a VM id to its address, or None if unknown. `on_frame` is called with
    Execute frames and with those that have no stream id, `on_link` with each new link.
    """

    def __init__(
        self,
        identity: VmIdentity,
        key: bytes,
        clock: Clock,
        address_of: Callable[[str], Address | None],
        on_frame: Callable[[PeerLink, Any], None],
        on_link: Callable[[PeerLink], None] = lambda link: None,
        server_tls: SSLContext | None = None,
        client_tls: SSLContext | None = None,
    ) -> None:
        self.identity = identity
        self.links: dict[str, PeerLink] = {}
        self._duplicates: set[PeerLink] = set()
        self._key = key
        self._clock = clock
        self._address_of = address_of
        self._on_frame = on_frame
        self._on_link = on_link
        self._server_tls = server_tls
        self._client_tls = client_tls
        self._pending_dials: dict[str, AsyncResult] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._listener: socket.socket | None = None
        self._accept_greenlet: gevent.Greenlet | None = None
        self._random = random.Random()

    def listen(self, host: str, port: int) -> int:
        """Accept peers on an address; return the port. Raise OSError if it cannot be bound."""
        self._listener = listen_on(host, port)
        self._accept_greenlet = gevent.spawn(self._accept)
        return self._listener.getsockname()[1]

    def link(self, vm: str) -> PeerLink:
        """Return the link to a peer, dialing it if needed; raise PeerLostError if that fails."""
        link = self.links.get(vm)
        if link is not None:
            return link
        pending = self._pending_dials.get(vm)
        if pending is None:
            backoff = self._backoffs.get(vm)
            if backoff is not None and self._clock.monotonic() < backoff.until:
                raise PeerLostError(vm)
            pending = self._pending_dials[vm] = AsyncResult()
            gevent.spawn(self._dial_vm, vm, pending)
        return pending.get()

    def post(self, vm: str, frame: Any) -> None:
        """Send a frame to a peer without waiting; it is dropped if the peer cannot be reached."""
        link = self.links.get(vm)
        if link is None:
            gevent.spawn(self._dial_and_post, vm, frame)
            return
        try:
            link.send(frame)
        except PeerLostError:
            pass

    def dial(self, host: str, port: int) -> PeerLink:
        """Connect to an address and return the link; raise OSError or HelloError."""
        sock = socket.create_connection((host, port), timeout=DIAL_TIMEOUT.total_seconds())
        try:
            with gevent.Timeout(HELLO_TIMEOUT.total_seconds(), TimeoutError("hello timed out")):
                if self._client_tls is not None:
                    sock = self._client_tls.wrap_socket(sock, server_hostname=host)
                vm = client_handshake(sock, self.identity, self._key)
        except BaseException:
            sock.close()
            raise
        return self._add(sock, vm, dialed=True)

    def close(self) -> None:
        """Stop accepting and close every link."""
        if self._accept_greenlet is not None:
            self._accept_greenlet.kill(block=False)
            self._listener.close()
        for link in [*self.links.values(), *self._duplicates]:
            link.close("stopping")

    def close_duplicates(self) -> None:
        """Close duplicate links that have had no stream for a while; call this periodically."""
        now = self._clock.monotonic()
        for link in list(self._duplicates):
            if not link.streams and now - link.idle_since > DUPLICATE_LINK_IDLE:
                link.close("duplicate_link")

    def _dial_vm(self, vm: str, pending: AsyncResult) -> None:
        try:
            address = self._address_of(vm)
            if address is None:
                raise OSError("address of the VM is unknown")
            link = self.dial(*address)
            if link.vm != vm:
                raise HelloError(f"{link.vm} answers at the address of {vm}")
        except Exception as error:
            # Any error is told to those who wait for the link; they would wait for ever.
            self._record_failed_dial(vm)
            log_event("peer_dial_failed", vm=vm, error=error)
            pending.set_exception(PeerLostError(vm))
        else:
            self._backoffs.pop(vm, None)
            pending.set(link)
        finally:
            del self._pending_dials[vm]

    def _record_failed_dial(self, vm: str) -> None:
        earlier = self._backoffs.get(vm)
        delay = DIAL_BACKOFF_FIRST if earlier is None else min(earlier.delay * 2, DIAL_BACKOFF_MAX)
        wait = delay * self._random.uniform(0.5, 1.0)
        self._backoffs[vm] = _Backoff(delay, self._clock.monotonic() + wait)

    def _dial_and_post(self, vm: str, frame: Any) -> None:
        try:
            self.link(vm).send(frame)
        except PeerLostError:
            pass

    def _accept(self) -> None:
        while True:
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                # No descriptor is left, or the connection ended before it was accepted.
                log_event("peer_accept_failed", error=error)
                gevent.sleep(0.05)
                continue
            gevent.spawn(self._handle_accepted, sock, address)

    def _handle_accepted(self, sock: socket.socket, address: Address) -> None:
        try:
            with gevent.Timeout(HELLO_TIMEOUT.total_seconds(), TimeoutError("hello timed out")):
                if self._server_tls is not None:
                    sock = self._server_tls.wrap_socket(sock, server_side=True)
                hello = server_handshake(sock, self.identity, self._key)
        except Exception as error:
            # A peer that is not authenticated may send fields of any type.
            log_event("peer_hello_failed", address=address[0], error=error)
            sock.close()
            return
        self._add(sock, hello.vm, dialed=False)

    def _add(self, sock: socket.socket, vm: str, dialed: bool) -> PeerLink:
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = PeerLink(sock, vm, dialed, self._clock, self._on_frame, self._remove)
        earlier = self.links.get(vm)
        # If both sides dialed at the same time, both prefer the connection that the VM with the
        # lower id dialed. Otherwise the newest is used: a peer that dials again has lost the
        # earlier one.
        simultaneous = earlier is not None and link.opened - earlier.opened < DIAL_TIMEOUT
        if simultaneous and self._is_preferred(earlier) and not self._is_preferred(link):
            self._duplicates.add(link)
        else:
            if earlier is not None:
                self._duplicates.add(earlier)
            self.links[vm] = link
        log_event("peer_connected", vm=vm, dialed=dialed)
        self._on_link(link)
        return link

    def _is_preferred(self, link: PeerLink) -> bool:
        return link.dialed == (self.identity.id < link.vm)

    def _remove(self, link: PeerLink) -> None:
        self._duplicates.discard(link)
        if self.links.get(link.vm) is link:
            del self.links[link.vm]
            for other in self._duplicates:
                if other.vm == link.vm:
                    self._duplicates.discard(other)
                    self.links[link.vm] = other
                    break
