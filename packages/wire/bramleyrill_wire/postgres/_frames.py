"""Split a byte stream into protocol v3 frames, with bounded memory."""

import struct

from bramleyrill_base import ErrorKind, Problem

PASSED = 0  # kind of a piece of bytes to forward without parsing
MAX_FRAME = 1 << 30  # PostgreSQL's limit for a message, in bytes

_HEADER = struct.Struct("!BI")
_HEADER_SIZE = 5


class FrameError(Exception):
    """A malformed frame; the stream is unusable after it. `problem` says what is wrong."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.problem = Problem(kind, detail)


class FrameSplitter:
    """Split a stream into complete frames of selected types and unparsed bytes in between.

    `whole` holds the type bytes of the frames to return complete, or None for all types; such a
    frame may have at most `limit` bytes. All other frames are returned as they arrive, possibly
    in parts; of these, only an incomplete header of up to 4 bytes is ever buffered. `feed`
    returns pieces `(kind, data)` in stream order: a complete frame with its type byte as kind, or
    bytes to forward with kind `PASSED`. It raises FrameError if a length is invalid or over the
    limit.

    Example: `FrameSplitter(frozenset(b"CZE"), 65536).feed(data)`.
    """

    __slots__ = ("_buffer", "_limit", "_frame_size", "_forward_remaining", "_whole")

    def __init__(self, whole: frozenset[int] | None = None, limit: int = MAX_FRAME) -> None:
        self._whole = whole
        self._limit = limit
        self._buffer: bytearray | None = None
        self._frame_size = 0
        self._forward_remaining = 0

    @property
    def at_frame_boundary(self) -> bool:
        """Return whether the bytes fed so far end at a frame boundary."""
        return not self._buffer and not self._forward_remaining

    def feed(self, data: bytes) -> list[tuple[int, bytes]]:
        """Return the pieces that are complete or can be forwarded after `data`."""
        pieces: list[tuple[int, bytes]] = []
        position = run_start = 0
        end = len(data)
        if self._forward_remaining:
            if end <= self._forward_remaining:
                self._forward_remaining -= end
                return [(PASSED, data)] if data else pieces
            position = self._forward_remaining
            self._forward_remaining = 0
        elif self._buffer:
            if self._frame_size:
                missing = self._frame_size - len(self._buffer)
                if end < missing:
                    self._buffer += data
                    return pieces
                self._buffer += data[:missing]
                pieces.append((self._buffer[0], bytes(self._buffer)))
                position = run_start = missing
            else:
                data = bytes(self._buffer) + data
                end = len(data)
            self._buffer = None
        whole = self._whole
        while position + _HEADER_SIZE <= end:
            kind, length = _HEADER.unpack_from(data, position)
            frame_end = position + 1 + length
            if whole is None or kind in whole:
                if length < 4 or length >= self._limit:
                    self._refuse(kind, length)
                if run_start < position:
                    pieces.append((PASSED, data[run_start:position]))
                if frame_end > end:
                    self._buffer = bytearray(data[position:])
                    self._frame_size = length + 1
                    return pieces
                pieces.append((kind, data[position:frame_end]))
                position = run_start = frame_end
            else:
                if length < 4 or length >= MAX_FRAME:
                    self._refuse(kind, length)
                if frame_end > end:
                    pieces.append((PASSED, data[run_start:] if run_start else data))
                    self._forward_remaining = frame_end - end
                    return pieces
                position = frame_end
        if run_start < position:
            pieces.append((PASSED, data[run_start:position]))
        if position < end:
            self._buffer = bytearray(data[position:])
            self._frame_size = 0
        return pieces

    def _refuse(self, kind: int, length: int) -> None:
        name = ascii(chr(kind))
        if length < 4:
            raise FrameError(ErrorKind.PROTOCOL_VIOLATION, f"frame {name} has length {length}")
        raise FrameError(ErrorKind.FRAME_TOO_LARGE, f"frame {name} has {length} bytes")
