"""Entry side of a transaction at a member that another VM holds."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from bramleyrill_base import Clock, ErrorKind, Problem
from bramleyrill_core.routing import Route
from bramleyrill_wire.peers import frames as wire
from gevent.event import Event

from bramleyrill_daemon._inbox import Inbox
from bramleyrill_daemon._peer_link import PeerLink, PeerLostError
from bramleyrill_daemon._stream_codec import (
    WINDOW_BYTES,
    execute_frame,
    read_result,
    request_flags,
)
from bramleyrill_daemon._transaction import (
    Chunk,
    Executor,
    Outcome,
    Request,
    Transaction,
    TransactionClosed,
)

# The holder returns credit half a window at a time, so a longer piece could wait for credit that
# never comes.
MAX_PIECE_BYTES = WINDOW_BYTES // 2

_LINK_LOST = object()
_STREAM_CLOSED = object()


class RemoteTransaction:
    """One transaction over a stream of a peer link; `send` opens the stream."""

    __slots__ = (
        "_clock",
        "_credit",
        "_credit_received",
        "_deadline",
        "_ended",
        "_inbox",
        "_link",
        "_link_of",
        "_may_commit",
        "_opened",
        "_problem",
        "_request",
        "_request_number",
        "_route",
        "_stream",
        "_uncredited_bytes",
    )

    def __init__(
        self, link_of: Callable[[str], PeerLink], clock: Clock, route: Route, request: Request
    ) -> None:
        self._link_of = link_of
        self._clock = clock
        self._route = route
        self._request = request
        self._deadline = clock.monotonic() + request.deadline_left
        self._link: PeerLink | None = None
        self._stream = 0
        self._request_number = 1
        self._inbox: Inbox = Inbox()
        self._credit = WINDOW_BYTES
        self._credit_received: Event | None = None
        self._uncredited_bytes = 0
        self._opened = False
        self._ended = False
        self._may_commit = True
        self._problem: Problem | None = None

    def send(self, frames: bytes, may_commit: bool = True, more: bool = False) -> None:
        """Send frames; block while the holder grants no credit."""
        if self._ended or self._problem is not None:
            return
        self._may_commit = may_commit
        if self._link is None:
            try:
                self._link = self._link_of(self._route.vm)
            except PeerLostError:
                self._problem = Problem(ErrorKind.NOT_RUN_UNREACHABLE, f"VM {self._route.vm}")
                return
            self._stream = self._link.open_stream(self)
        if len(frames) <= MAX_PIECE_BYTES:
            self._send_piece(frames, may_commit, more)
            return
        for start in range(0, len(frames), MAX_PIECE_BYTES):
            piece = frames[start : start + MAX_PIECE_BYTES]
            is_last = start + len(piece) == len(frames)
            self._send_piece(piece, may_commit, more or not is_last)

    def receive(self) -> Chunk | Outcome:
        """Return the next part of the answer."""
        while True:
            if self._problem is not None:
                return Outcome(problem=self._problem)
            frame = self._inbox.get()
            if frame is _STREAM_CLOSED:
                raise TransactionClosed
            if frame is _LINK_LOST:
                self._problem = self._lost_problem()
                continue
            if frame.request != self._request_number:
                continue
            if type(frame) is wire.Data:
                self._return_credit(len(frame.frames))
                return Chunk(frame.frames)
            self._request_number += 1
            outcome = read_result(frame)
            if outcome.problem is not None or outcome.tx_status == b"I":
                self._end()
            return outcome

    def cancel(self) -> None:
        """Ask the holder to cancel the running statement."""
        self._post(wire.Cancel(stream=self._stream))

    def close(self) -> None:
        """Close the stream; the holder rolls back an open transaction."""
        if self._ended:
            return
        self._post(wire.Close(stream=self._stream))
        self._end()
        self._inbox.put(_STREAM_CLOSED)

    def on_frame(self, frame: Any) -> None:
        """Handle a frame of the stream."""
        if type(frame) is wire.Credit:
            self._credit += frame.bytes
            if self._credit_received is not None:
                self._credit_received.set()
        else:
            self._inbox.put(frame)

    def on_lost(self) -> None:
        """Handle the loss of the link."""
        self._inbox.put(_LINK_LOST)
        if self._credit_received is not None:
            self._credit_received.set()

    def _send_piece(self, data: bytes, may_commit: bool, more: bool) -> None:
        while self._credit < len(data) and not self._link.closed and not self._ended:
            self._credit_received = self._credit_received or Event()
            self._credit_received.clear()
            self._credit_received.wait()
        self._credit -= len(data)
        flags = request_flags(may_commit, more)
        if not self._opened:
            deadline_left = max(self._deadline - self._clock.monotonic(), timedelta())
            frame = execute_frame(
                self._stream, self._route, self._request, deadline_left, flags, data
            )
            self._opened = True
        else:
            frame = wire.Data(
                stream=self._stream, request=self._request_number, frames=data, flags=flags
            )
        self._post(frame)

    def _return_credit(self, byte_count: int) -> None:
        """Grant the holder credit for data that `receive` has returned, half a window at a time."""
        self._uncredited_bytes += byte_count
        if self._uncredited_bytes >= WINDOW_BYTES // 2:
            self._post(wire.Credit(stream=self._stream, bytes=self._uncredited_bytes))
            self._uncredited_bytes = 0

    def _post(self, frame: Any) -> None:
        if self._link is None:
            return
        try:
            self._link.send(frame)
        except PeerLostError:
            # A lost link has called `on_lost` of its streams, unless this one was opened after it.
            if self._link.streams.get(self._stream) is None:
                self._inbox.put(_LINK_LOST)

    def _end(self) -> None:
        self._ended = True
        if self._link is not None:
            self._link.remove_stream(self._stream)
        if self._credit_received is not None:
            self._credit_received.set()

    def _lost_problem(self) -> Problem:
        detail = f"connection to VM {self._route.vm} was lost"
        if self._request_number > 1 and not self._may_commit:
            # No COMMIT was sent, so the holder rolls back when the link is lost.
            return Problem(ErrorKind.NOT_RUN_ROLLED_BACK, detail)
        return Problem(ErrorKind.OUTCOME_UNKNOWN, detail)


class RemoteExecutor:
    """Open transactions at members that other VMs hold."""

    def __init__(self, link_of: Callable[[str], PeerLink], clock: Clock) -> None:
        self._link_of = link_of
        self._clock = clock

    def open(self, route: Route, request: Request) -> RemoteTransaction:
        """Return a transaction at the route's member."""
        return RemoteTransaction(self._link_of, self._clock, route, request)


class RoutingExecutor:
    """Open transactions at this VM or at another one, as the route specifies."""

    def __init__(self, vm: str, local: Executor, remote: Executor) -> None:
        self._vm = vm
        self._local = local
        self._remote = remote

    def open(self, route: Route, request: Request) -> Transaction:
        """Return a transaction for `request` at `route`."""
        executor = self._local if route.vm == self._vm else self._remote
        return executor.open(route, request)
