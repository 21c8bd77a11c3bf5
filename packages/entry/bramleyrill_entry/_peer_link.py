"""Connection to another entry VM, for calls with an answer and one-way frames."""

import contextlib
import itertools
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import gevent
import gevent.socket
from bramleyrill_base import Clock, log_event
from bramleyrill_core.placement import MAX_SEQUENCE, MAX_SLOW_MS, VmEntry, accepted_capacity
from bramleyrill_wire.entries import PROTOCOL, FrameBuffer, FrameError, encode, frames
from gevent.event import AsyncResult, Event
from gevent.queue import Queue

# A link that receives no frame for this long while calls are pending is closed.
MAX_SILENCE = timedelta(milliseconds=800)
SILENCE_CHECK_INTERVAL = timedelta(milliseconds=200)
# Unacknowledged data ends the link after this time.
USER_TIMEOUT_MS = 2000
HELLO_TIMEOUT = timedelta(seconds=2)
_READ_BYTES = 65536
# The link of a peer that does not read is closed at this queue length, to limit memory.
MAX_QUEUED_FRAMES = 4000


class PeerLostError(Exception):
    """The peer cannot be reached, or the link was lost before the answer arrived."""


class NotSentError(PeerLostError):
    """The frame was not sent, so the peer has done nothing."""


# Frames that belong to the call with their number.
_ANSWERS = (frames.Ran, frames.Pong, frames.Proved, frames.CatalogPush, frames.QuotaRecalled)


def is_port(value: object) -> bool:
    """Return whether a value that another process told is a port to connect to."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 < value < 65536


def encode_vm(entry: VmEntry) -> Any:
    """Return the thrift struct of a VM's entry; zeros are left out, as it is sent often."""
    host, port = entry.address
    return frames.Vm(
        id=entry.id,
        domain=entry.domain,
        host=host,
        port=port,
        started_ms=entry.started_ms,
        leaving=entry.leaving or None,
        capacity=entry.capacity or None,
        slow_ms=entry.slow_ms or None,
        sequence=entry.sequence or None,
        store_lost=entry.store_lost or None,
    )


def decode_vm(vm: Any) -> VmEntry:
    """Return the VM's entry of a thrift struct; raise ValueError if it is malformed.

    A VM of an older build tells neither its capacity nor whether it is slow or has lost the store.
    """
    fields = (vm.id, vm.domain, vm.host, vm.port, vm.started_ms) if vm is not None else ()
    if not fields or None in fields:
        raise ValueError("incomplete entry of a VM")
    if not all(isinstance(name, str) for name in (vm.id, vm.domain, vm.host)):
        # The decoder leaves texts that are not UTF-8 as bytes.
        raise ValueError("a name in the entry of a VM is no text")
    if not is_port(vm.port):
        raise ValueError(f"{vm.port} is not a port")
    slow_ms, sequence = vm.slow_ms or 0, vm.sequence or 0
    if slow_ms < 0 or not 0 <= sequence <= MAX_SEQUENCE:
        raise ValueError(f"a VM slow by {slow_ms} ms with the sequence number {sequence}")
    return VmEntry(
        vm.id,
        vm.domain,
        (vm.host, vm.port),
        vm.started_ms,
        bool(vm.leaving),
        accepted_capacity(vm.capacity),
        min(slow_ms, MAX_SLOW_MS),
        sequence,
        bool(vm.store_lost),
    )


class PeerLink:
    """One connection to a peer.

    `on_frame(link, frame)` is called for every frame that is not an answer to a call, in the
    greenlet that reads the link. `on_lost(link)` is called once, when the link closes; `lost` is
    True from then on, and `ended` is the event to wait for it. `peer` is None until the handshake.
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
        self._call_ids = itertools.count(1)
        self._pending_calls: dict[int, AsyncResult] = {}
        self._outgoing: Queue = Queue()
        self._frame_buffer = FrameBuffer()
        self._last_frame_at = clock.monotonic()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.send(frames.Hello(protocol=PROTOCOL, vm=encode_vm(own)))
        gevent.spawn(self._write)

    def handshake(self) -> VmEntry:
        """Wait for the peer's Hello and start to read frames; raise PeerLostError."""
        self._sock.settimeout(HELLO_TIMEOUT.total_seconds())
        try:
            received = self._receive()
        except (OSError, FrameError) as error:
            self.close()
            raise PeerLostError(str(error)) from error
        if not received or type(received[0]) is not frames.Hello:
            self.close()
            raise PeerLostError("the first frame of the peer is not a Hello")
        self._sock.settimeout(None)
        try:
            self.peer = decode_vm(received[0].vm)
        except ValueError as error:
            self.close()
            raise PeerLostError(str(error)) from error
        gevent.spawn(self._read, received[1:])
        return self.peer

    def send(self, frame: Any) -> None:
        """Queue a frame; raise PeerLostError if the link is closed.

        Raises NotSentError for a frame with values that the wire cannot carry; the link goes on.
        """
        if self.lost:
            raise PeerLostError("the link is closed")
        if self._outgoing.qsize() >= MAX_QUEUED_FRAMES:
            self.close()
            raise PeerLostError("the peer does not read its frames")
        try:
            data = encode(frame)
        except Exception as error:
            # The encoder raises what a value of another type or range leads to.
            raise NotSentError(f"{type(frame).__name__} cannot be encoded: {error!r}") from error
        self._outgoing.put(data)

    def call(self, make_frame: Callable[[int], Any], timeout: timedelta) -> Any:
        """Send a frame and return its answer; raise PeerLostError if there is none in time."""
        call_id = next(self._call_ids)
        waiter = self._pending_calls[call_id] = AsyncResult()
        if len(self._pending_calls) == 1:
            # The link was idle, so measure silence from now.
            self._last_frame_at = self._clock.monotonic()
            gevent.spawn(self._monitor_silence)
        try:
            self.send(make_frame(call_id))
            return waiter.get(timeout=timeout.total_seconds())
        except gevent.Timeout as error:
            raise PeerLostError("no answer in time") from error
        finally:
            self._pending_calls.pop(call_id, None)

    def close(self) -> None:
        """Close the link; pending calls raise PeerLostError."""
        if self.lost:
            return
        self.lost = True
        self._sock.close()
        self._outgoing.put(None)
        for waiter in list(self._pending_calls.values()):
            waiter.set_exception(PeerLostError("the link was lost"))
        self.ended.set()
        self._on_lost(self)

    def _receive(self) -> list[Any]:
        received: list[Any] = []
        while not received:
            data = self._sock.recv(_READ_BYTES)
            if not data:
                raise ConnectionError("connection closed by the peer")
            received = self._frame_buffer.feed(data)
        self._last_frame_at = self._clock.monotonic()
        return received

    def _read(self, received: list[Any]) -> None:
        try:
            while True:
                for frame in received:
                    self._try_dispatch(frame)
                received = self._receive()
        except (OSError, FrameError) as error:
            if not self.lost:
                log_event("peer_link_lost", vm=self.peer.id, reason=error or type(error).__name__)
            self.close()

    def _try_dispatch(self, frame: Any) -> None:
        """Handle a frame; one that cannot be handled is dropped, and the link goes on."""
        try:
            self._dispatch(frame)
        except NotSentError as error:
            log_event("frame_not_sent", vm=self.peer.id, reason=error)
        except PeerLostError:
            # The answer could not be sent; the link is closed.
            raise ConnectionError("the link was lost") from None
        except Exception as error:
            log_event(
                "frame_rejected", vm=self.peer.id, frame=type(frame).__name__, reason=repr(error)
            )

    def _dispatch(self, frame: Any) -> None:
        """Give an answer to the call that waits for it, and any other frame to `on_frame`."""
        if type(frame) in _ANSWERS:
            waiter = self._pending_calls.get(frame.call)
            if waiter is not None:
                waiter.set(frame)
            return
        self._on_frame(self, frame)

    def _write(self) -> None:
        try:
            while True:
                data = self._outgoing.get()
                if data is None:
                    return
                while not self._outgoing.empty() and len(data) < _READ_BYTES:
                    more = self._outgoing.get()
                    if more is None:
                        return
                    data += more
                self._sock.sendall(data)
        except OSError:
            self.close()

    def _monitor_silence(self) -> None:
        """Close the link if no frame arrives while calls are pending.

        Pings keep the link alive while the peer works on a long statement.
        """
        while self._pending_calls and not self.lost:
            gevent.sleep(SILENCE_CHECK_INTERVAL.total_seconds())
            silent_for = self._clock.monotonic() - self._last_frame_at
            if not self._pending_calls or silent_for < SILENCE_CHECK_INTERVAL:
                continue
            if silent_for > MAX_SILENCE:
                log_event("peer_link_silent", vm=self.peer.id if self.peer else "-")
                self.close()
            elif not self.lost:
                with contextlib.suppress(PeerLostError):
                    self.send(frames.Ping(call=0, catalog_version=0, vms_known=0))
