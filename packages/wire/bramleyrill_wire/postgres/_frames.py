"""Split a stream of protocol v3 frames in bounded memory."""

import struct

from bramleyrill_base import ErrorKind, Problem

PASSED = 0  # kind of a piece that is a run of forwarded bytes
MAX_FRAME = 1 << 30  # PostgreSQL's own limit of one message

_HEADER = struct.Struct("!BI")
_HEADER_SIZE = 5


class FrameError(Exception):
    """A frame that the stream cannot go on after; `problem` says why."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.problem = Problem(kind, detail)


class FrameSplitter:
    """Cut a stream into whole frames of chosen kinds and runs of everything else.

    `whole` holds the type bytes of the frames to collect, or is None for all of them; such a
    frame may have at most `limit` bytes. All other frames are passed on as they arrive, also in
    parts, and are never held back except for an incomplete header of up to 4 bytes. `feed`
    returns pieces `(kind, data)` in the order of the stream: a whole frame with its type byte as
    kind, or a run with kind `PASSED`. It raises FrameError on a length that is invalid or over
    the limit.

    Example: `FrameSplitter(frozenset(b"CZE"), 65536).feed(data)`.
    """

    __slots__ = ("_held", "_limit", "_need", "_pass_left", "_whole")

    def __init__(self, whole: frozenset[int] | None = None, limit: int = MAX_FRAME) -> None:
        self._whole = whole
        self._limit = limit
        self._held: bytearray | None = None
        self._need = 0
        self._pass_left = 0

    @property
    def between_frames(self) -> bool:
        """Tell whether all bytes fed so far make up complete frames."""
        return not self._held and not self._pass_left

    def feed(self, data: bytes) -> list[tuple[int, bytes]]:
        """Return the pieces that `data` completes."""
        pieces: list[tuple[int, bytes]] = []
        position = run = 0
        end = len(data)
        if self._pass_left:
            if end <= self._pass_left:
                self._pass_left -= end
                return [(PASSED, data)] if data else pieces
            position = self._pass_left
            self._pass_left = 0
        elif self._held:
            if self._need:
                missing = self._need - len(self._held)
                if end < missing:
                    self._held += data
                    return pieces
                self._held += data[:missing]
                pieces.append((self._held[0], bytes(self._held)))
                position = run = missing
            else:
                data = bytes(self._held) + data
                end = len(data)
            self._held = None
        whole = self._whole
        while position + _HEADER_SIZE <= end:
            kind, length = _HEADER.unpack_from(data, position)
            after = position + 1 + length
            if whole is None or kind in whole:
                if length < 4 or length >= self._limit:
                    self._refuse(kind, length)
                if run < position:
                    pieces.append((PASSED, data[run:position]))
                if after > end:
                    self._held = bytearray(data[position:])
                    self._need = length + 1
                    return pieces
                pieces.append((kind, data[position:after]))
                position = run = after
            else:
                if length < 4 or length >= MAX_FRAME:
                    self._refuse(kind, length)
                if after > end:
                    pieces.append((PASSED, data[run:] if run else data))
                    self._pass_left = after - end
                    return pieces
                position = after
        if run < position:
            pieces.append((PASSED, data[run:position]))
        if position < end:
            self._held = bytearray(data[position:])
            self._need = 0
        return pieces

    def _refuse(self, kind: int, length: int) -> None:
        name = ascii(chr(kind))
        if length < 4:
            raise FrameError(ErrorKind.PROTOCOL_VIOLATION, f"frame {name} has length {length}")
        raise FrameError(ErrorKind.FRAME_TOO_LARGE, f"frame {name} has {length} bytes")
