"""One connection to a peer: framing, streams, calls, and keepalive pings."""

import itertools
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

import gevent
from bramleyrill_base import Clock, log_event
from bramleyrill_wire.peers import FrameBuffer, FrameError, encode, frames
from gevent import socket
from gevent.event import AsyncResult

RECEIVE_BYTES = 65536

# A link with open streams or calls pings once a second. It is closed if nothing is received for
# three seconds, so that its transactions roll back well before the 5 s that a silent stream may
# last.
PING_INTERVAL = timedelta(seconds=1)
MAX_SILENCE = timedelta(seconds=3)

# Credit limits the unsent data of each stream; this limits that of all streams of a link together.
MAX_UNSENT_BYTES = 32 * 1024 * 1024


class PeerLostError(Exception):
    """The peer cannot be reached, its link was closed, or a call to it timed out."""


class Stream(Protocol):
    """Receiver of the frames of one stream; its methods must not block."""

    def on_frame(self, frame: Any) -> None:
        """Handle one frame."""

    def on_lost(self) -> None:
        """Handle the loss of the link: no more frames will come."""


class PeerLink:
    """Multiplex streams and calls over one socket whose handshake is complete.

    `on_frame` is called with each frame that has no stream id, and with Execute, which opens a
    stream of the other side. `on_closed` is called once, when the link is closed. The dialing
    side opens streams with odd ids, the other side those with even ids.
    """

    def __init__(
        self,
        sock: socket.socket,
        vm: str,
        dialed: bool,
        clock: Clock,
        on_frame: Callable[["PeerLink", Any], None],
        on_closed: Callable[["PeerLink"], None],
    ) -> None:
        self.vm = vm
        self.dialed = dialed
        self.streams: dict[int, Stream] = {}
        self.closed = False
        self.opened = clock.monotonic()
        self.idle_since = self.opened
        self._sock = sock
        # Plain sockets are written directly, without a greenlet switch; a TLS socket has a state
        # machine of its own and cannot be.
        self._raw_sock = getattr(sock, "_sock", None) if type(sock) is socket.socket else None
        self._clock = clock
        self._on_frame = on_frame
        self._on_closed = on_closed
        self._stream_ids = itertools.count(1 if dialed else 2, 2)
        self._call_ids = itertools.count(1)
        self._pending_calls: dict[int, AsyncResult] = {}
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._flushing = False
        self._received_since_check = False
        self._last_received = clock.monotonic()
        self._loop = gevent.get_hub().loop
        self._greenlets = [gevent.spawn(self._read), gevent.spawn(self._monitor)]

    def open_stream(self, stream: Stream) -> int:
        """Register a stream of this side and return its id."""
        stream_id = next(self._stream_ids)
        self.streams[stream_id] = stream
        return stream_id

    def remove_stream(self, stream_id: int) -> None:
        """Remove a stream; later frames of it are discarded."""
        if self.streams.pop(stream_id, None) is not None and not self.streams:
            self.idle_since = self._clock.monotonic()

    def send(self, frame: Any) -> None:
        """Queue a frame; raise PeerLostError if the link is closed."""
        if self.closed:
            raise PeerLostError(self.vm)
        data = encode(frame)
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            self.close("send_queue_full")
            raise PeerLostError(self.vm)
        if not self._flushing:
            self._flushing = True
            # Frames of one iteration of the event loop are written with one system call.
            self._loop.run_callback(self._flush)

    def call(self, make_frame: Callable[[int], Any], timeout: timedelta) -> Any:
        """Send a frame with a new call id and return the answer to it.

        Raise PeerLostError if the link is lost or no answer comes within `timeout`.
        """
        call_id = next(self._call_ids)
        result = self._pending_calls[call_id] = AsyncResult()
        try:
            self.send(make_frame(call_id))
            return result.get(timeout=timeout.total_seconds())
        except gevent.Timeout:
            raise PeerLostError(self.vm) from None
        finally:
            del self._pending_calls[call_id]

    def handle_answer(self, frame: Any) -> None:
        """Pass a frame to the call that it answers; discard it if that call has ended."""
        pending = self._pending_calls.get(frame.call)
        if pending is not None:
            pending.set(frame)

    def close(self, reason: str) -> None:
        """Close the socket and end every stream and call; `reason` is for the log."""
        if self.closed:
            return
        self.closed = True
        log_event("peer_closed", vm=self.vm, reason=reason, streams=len(self.streams))
        self._sock.close()
        lost_streams, self.streams = self.streams, {}
        for stream in lost_streams.values():
            stream.on_lost()
        for pending in self._pending_calls.values():
            pending.set_exception(PeerLostError(self.vm))
        self._on_closed(self)
        current = gevent.getcurrent()
        for greenlet in self._greenlets:
            if greenlet is not current:
                greenlet.kill(block=False)

    def _flush(self) -> None:
        """Write the queued frames; runs in the event loop, so it must not block."""
        if self.closed:
            return
        data = self._pop_unsent()
        if self._raw_sock is not None:
            try:
                sent = self._raw_sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                gevent.spawn(self.close, "send_failed")
                return
            if sent == len(data):
                self._flushing = False
                return
            data = memoryview(data)[sent:]
        gevent.spawn(self._flush_blocking, data)

    def _flush_blocking(self, data: bytes | memoryview) -> None:
        """Write `data` and the frames queued meanwhile; block while the socket is full."""
        try:
            while data:
                self._sock.sendall(data)
                data = self._pop_unsent()
        except OSError:
            self.close("send_failed")
        finally:
            self._flushing = False

    def _pop_unsent(self) -> bytes:
        unsent = self._unsent
        data = unsent[0] if len(unsent) == 1 else b"".join(unsent)
        unsent.clear()
        self._unsent_bytes = 0
        return data

    def _read(self) -> None:
        buffer = FrameBuffer()
        reason = "closed_by_peer"
        try:
            while data := self._sock.recv(RECEIVE_BYTES):
                self._received_since_check = True
                for frame in buffer.feed(data):
                    self._dispatch(frame)
        except FrameError as error:
            reason = f"malformed_frame: {error}"
        except OSError as error:
            reason = f"receive_failed: {error.strerror}"
        except Exception as error:
            # The link would stay open with nobody reading it.
            reason = f"frame_failed: {error!r}"
        self.close(reason)

    def _dispatch(self, frame: Any) -> None:
        stream_id = getattr(frame, "stream", None)
        if stream_id is not None and type(frame) is not frames.Execute:
            stream = self.streams.get(stream_id)
            if stream is not None:
                stream.on_frame(frame)
            return
        if type(frame) is not frames.Ping:
            self._on_frame(self, frame)
        elif frame.sequence > 0:
            self.send(frames.Ping(sequence=-frame.sequence))

    def _monitor(self) -> None:
        """Ping while streams or calls are open; close the link if the peer stays silent."""
        interval = PING_INTERVAL.total_seconds()
        for sequence in itertools.count(1):
            gevent.sleep(interval)
            now = self._clock.monotonic()
            if self._received_since_check or not (self.streams or self._pending_calls):
                self._received_since_check = False
                self._last_received = now
            elif now - self._last_received > MAX_SILENCE:
                self.close("silent")
                return
            if self.streams or self._pending_calls:
                try:
                    self.send(frames.Ping(sequence=sequence))
                except PeerLostError:
                    return
