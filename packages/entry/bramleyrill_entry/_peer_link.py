"""A connection to another entry VM: calls with answers, and frames without."""

import itertools
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import gevent
import gevent.socket
from bramleyrill_base import Clock, log_event
from bramleyrill_core.placement import VmEntry
from bramleyrill_wire.entries import PROTOCOL, FrameBuffer, FrameError, encode, frames
from gevent.event import AsyncResult, Event
from gevent.queue import Queue

# While answers are awaited, a link without any frame for this long is given up.
SILENCE_LIMIT = timedelta(milliseconds=800)
WATCH_INTERVAL = timedelta(milliseconds=200)
USER_TIMEOUT_MS = 2000
HELLO_TIMEOUT = timedelta(seconds=2)
_READ_SIZE = 65536
# A peer that does not read loses its link rather than this VM its memory.
MAX_QUEUED_FRAMES = 4000


class PeerLostError(Exception):
    """The link ended before the answer came."""


def vm_frame(entry: VmEntry) -> Any:
    """Return the struct of a VM's entry."""
    host, port = entry.address
    return frames.Vm(
        id=entry.id,
        domain=entry.domain,
        host=host,
        port=port,
        started_ms=entry.started_ms,
        leaving=entry.leaving,
    )


def read_vm(vm: Any) -> VmEntry:
    """Return the entry of a struct."""
    return VmEntry(vm.id, vm.domain, (vm.host, vm.port), vm.started_ms, bool(vm.leaving))


class PeerLink:
    """One connection to a peer.

    `on_frame(link, frame)` gets every frame that is no answer; `on_lost(link)` is called once.
    """

    def __init__(
        self,
        sock: socket.socket,
        own: VmEntry,
        clock: Clock,
        on_frame: Callable[["PeerLink", Any], None],
        on_lost: Callable[["PeerLink"], None],
    ) -> None:
        self.peer: VmEntry | None = None
        self.lost = False
        self.ended = Event()
        self._sock = sock
        self._clock = clock
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._calls = itertools.count(1)
        self._pending: dict[int, AsyncResult] = {}
        self._outgoing: Queue = Queue()
        self._splitter = FrameBuffer()
        self._heard_at = clock.monotonic()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.send(frames.Hello(protocol=PROTOCOL, vm=vm_frame(own)))
        gevent.spawn(self._write)

    def greet(self) -> VmEntry:
        """Wait for the peer's first frame and start to read; raise PeerLostError."""
        self._sock.settimeout(HELLO_TIMEOUT.total_seconds())
        try:
            received = self._receive()
        except (OSError, FrameError) as error:
            self.close()
            raise PeerLostError(str(error)) from error
        if not received or type(received[0]) is not frames.Hello:
            self.close()
            raise PeerLostError("no hello")
        self._sock.settimeout(None)
        self.peer = read_vm(received[0].vm)
        gevent.spawn(self._read, received[1:])
        return self.peer

    def send(self, frame: Any) -> None:
        """Queue a frame; raise PeerLostError if the link is gone."""
        if self.lost:
            raise PeerLostError("the link is gone")
        if self._outgoing.qsize() >= MAX_QUEUED_FRAMES:
            self.close()
            raise PeerLostError("the peer does not read")
        self._outgoing.put(frame)

    def call(self, make_frame: Callable[[int], Any], timeout: timedelta) -> Any:
        """Send a frame and return its answer; raise PeerLostError."""
        number = next(self._calls)
        waiter = self._pending[number] = AsyncResult()
        if len(self._pending) == 1:
            # The link was idle; silence counts from now.
            self._heard_at = self._clock.monotonic()
            gevent.spawn(self._watch)
        try:
            self.send(make_frame(number))
            return waiter.get(timeout=timeout.total_seconds())
        except gevent.Timeout as error:
            raise PeerLostError("no answer in time") from error
        finally:
            self._pending.pop(number, None)

    def close(self) -> None:
        """Close the link; calls in progress fail."""
        if self.lost:
            return
        self.lost = True
        self._sock.close()
        self._outgoing.put(None)
        for waiter in list(self._pending.values()):
            waiter.set_exception(PeerLostError("the link was lost"))
        self.ended.set()
        self._on_lost(self)

    def _receive(self) -> list[Any]:
        found: list[Any] = []
        while not found:
            data = self._sock.recv(_READ_SIZE)
            if not data:
                raise ConnectionError("closed by the peer")
            found = self._splitter.feed(data)
        self._heard_at = self._clock.monotonic()
        return found

    def _read(self, received: list[Any]) -> None:
        try:
            while True:
                for frame in received:
                    self._take(frame)
                received = self._receive()
        except (OSError, FrameError) as error:
            if not self.lost:
                log_event("peer_link_lost", vm=self.peer.id, reason=error or type(error).__name__)
            self.close()

    def _take(self, frame: Any) -> None:
        if type(frame) in (frames.Ran, frames.Pong, frames.Proved, frames.CatalogPush):
            waiter = self._pending.get(frame.call)
            if waiter is not None:
                waiter.set(frame)
            return
        self._on_frame(self, frame)

    def _write(self) -> None:
        try:
            while True:
                frame = self._outgoing.get()
                if frame is None:
                    return
                data = encode(frame)
                while not self._outgoing.empty() and len(data) < _READ_SIZE:
                    frame = self._outgoing.get()
                    if frame is None:
                        return
                    data += encode(frame)
                self._sock.sendall(data)
        except OSError:
            self.close()

    def _watch(self) -> None:
        """Close the link if nothing is heard while answers are awaited.

        A peer that works on a long statement still answers pings.
        """
        while self._pending and not self.lost:
            gevent.sleep(WATCH_INTERVAL.total_seconds())
            silent_for = self._clock.monotonic() - self._heard_at
            if not self._pending or silent_for < WATCH_INTERVAL:
                continue
            if silent_for > SILENCE_LIMIT:
                log_event("peer_link_silent", vm=self.peer.id if self.peer else "-")
                self.close()
            elif not self.lost:
                self.send(frames.Ping(call=0, catalog_version=0, vms_known=0))
