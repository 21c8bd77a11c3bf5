"""Holder side of a stream: runs a transaction for another VM and sends back the answers."""

from typing import Any

import gevent
from bramleyrill_base import ErrorKind, Problem, log_event
from bramleyrill_wire.peers import frames
from gevent.event import Event

from bramleyrill_daemon._inbox import Inbox
from bramleyrill_daemon._peer_link import PeerLink, PeerLostError
from bramleyrill_daemon._stream_codec import (
    MAY_COMMIT,
    MORE,
    WINDOW_BYTES,
    read_execute,
    result_frame,
)
from bramleyrill_daemon._transaction import Chunk, Executor, Outcome, Transaction, TransactionClosed


class ServedStream:
    """Serve one stream that a peer opened; `busy` is true while one of its requests is running."""

    __slots__ = (
        "_credit",
        "_credit_received",
        "_ended",
        "_transaction",
        "_inbox",
        "_link",
        "_stream_id",
        "_request_number",
        "_uncredited_bytes",
        "busy",
    )

    def __init__(self, link: PeerLink, stream_id: int) -> None:
        self._link = link
        self._stream_id = stream_id
        self._request_number = 1
        self._inbox: Inbox = Inbox()
        self._transaction: Transaction | None = None
        self._credit = WINDOW_BYTES
        self._credit_received: Event | None = None
        self._uncredited_bytes = 0
        self._ended = False
        self.busy = True

    def run(self, executor: Executor, frame: Any) -> None:
        """Serve requests until the transaction ends or the peer closes the stream; blocks."""
        try:
            route, request = read_execute(frame, self._link.vm)
            self._transaction = executor.open(route, request)
            while True:
                self._forward_request(frame)
                if not self._send_answer():
                    return
                self.busy = False
                frame = self._inbox.get()
                if frame is None:
                    return
                self.busy = True
        except (TransactionClosed, PeerLostError):
            pass
        except ValueError as error:
            self._send_problem(Problem(ErrorKind.PROTOCOL_VIOLATION, str(error)))
        except Exception as error:
            log_event("stream_failed", vm=self._link.vm, error=type(error).__name__)
            self._send_problem(Problem(ErrorKind.OUTCOME_UNKNOWN, "internal error at the holder"))
            raise
        finally:
            self._end()

    def on_frame(self, frame: Any) -> None:
        """Handle a frame of the stream."""
        kind = type(frame)
        if kind is frames.Data:
            self._inbox.put(frame)
        elif kind is frames.Credit:
            self._credit += frame.bytes
            if self._credit_received is not None:
                self._credit_received.set()
        elif kind is frames.Cancel and self._transaction is not None:
            self._transaction.cancel()
        elif kind is frames.Close:
            self.on_lost()

    def on_lost(self) -> None:
        """Close the transaction: the peer closed the stream, or the link is lost."""
        self._ended = True
        if self._transaction is not None:
            self._transaction.close()
        self._inbox.put(None)
        if self._credit_received is not None:
            self._credit_received.set()

    def _forward_request(self, frame: Any) -> None:
        """Forward the first piece of a request; a separate greenlet forwards the others."""
        self._forward_piece(frame)
        if frame.flags & MORE:
            gevent.spawn(self._forward_rest)

    def _forward_piece(self, frame: Any) -> None:
        data = frame.frames or b""
        flags = frame.flags or 0
        self._transaction.send(data, bool(flags & MAY_COMMIT), bool(flags & MORE))
        self._uncredited_bytes += len(data)
        if self._uncredited_bytes >= WINDOW_BYTES // 2:
            self._post(frames.Credit(stream=self._stream_id, bytes=self._uncredited_bytes))
            self._uncredited_bytes = 0

    def _forward_rest(self) -> None:
        while not self._ended:
            frame = self._inbox.get()
            if frame is None:
                return
            try:
                self._forward_piece(frame)
            except PeerLostError:
                return
            if not (frame.flags or 0) & MORE:
                return

    def _send_answer(self) -> bool:
        """Send the answer to one request; return whether the transaction stays open."""
        receive = self._transaction.receive
        while True:
            received = receive()
            if type(received) is Chunk:
                self._send_chunk(received.frames)
                continue
            self._post(result_frame(self._stream_id, self._request_number, received))
            self._request_number += 1
            return received.problem is None and received.tx_status != b"I"

    def _send_chunk(self, data: bytes) -> None:
        """Send a part of the answer; block while no credit is left."""
        while self._credit <= 0:
            if self._ended:
                raise TransactionClosed
            self._credit_received = self._credit_received or Event()
            self._credit_received.clear()
            self._credit_received.wait()
        self._credit -= len(data)
        self._post(frames.Data(stream=self._stream_id, request=self._request_number, frames=data))

    def _post(self, frame: Any) -> None:
        self._link.send(frame)

    def _send_problem(self, problem: Problem) -> None:
        try:
            outcome = Outcome(problem=problem)
            self._post(result_frame(self._stream_id, self._request_number, outcome))
        except PeerLostError:
            pass

    def _end(self) -> None:
        self._ended = True
        self._link.remove_stream(self._stream_id)
        if self._transaction is not None:
            self._transaction.close()


def serve_stream(executor: Executor, link: PeerLink, frame: Any) -> None:
    """Serve, in a new greenlet, the stream that an Execute frame opens.

    A frame whose stream id is missing, in use or reserved for this side is logged and ignored.
    """
    stream_id = frame.stream
    if stream_id is None or stream_id in link.streams or stream_id % 2 == link.dialed:
        log_event("stream_refused", vm=link.vm, stream=stream_id)
        return
    stream = ServedStream(link, stream_id)
    link.streams[stream_id] = stream
    gevent.spawn(stream.run, executor, frame)
