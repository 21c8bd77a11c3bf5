"""Parse the upstream's answer: find its end, hold back the acknowledgement, read the status."""

import functools
import json
import struct

from bramleyrill_core import MemberRole, MemberStatus, TermStart

STATUS_SQL = "SELECT * FROM group_status()"
# The answer to a request that may commit is held back from the first CommandComplete on. If more
# than this is held, what comes before the last CommandComplete is forwarded, so that memory stays
# bounded.
MAX_HELD_BYTES = 64 * 1024
# Frames that are parsed as a whole are small; a larger one is a protocol error of the upstream.
MAX_BUFFERED_FRAME_BYTES = 1024 * 1024

_HEADER = struct.Struct("!BI")
_COMMAND_COMPLETE = ord("C")
_EMPTY_QUERY = ord("I")
_DATA_ROW = ord("D")
_ERROR_RESPONSE = ord("E")
_READY_FOR_QUERY = ord("Z")
_PORTAL_SUSPENDED = ord("s")
_BUFFERED_KINDS = frozenset(
    (_COMMAND_COMPLETE, _EMPTY_QUERY, _ERROR_RESPONSE, _READY_FOR_QUERY, _PORTAL_SUSPENDED)
)
_COMPLETION_KINDS = frozenset((_COMMAND_COMPLETE, _EMPTY_QUERY, _PORTAL_SUSPENDED))


class AnswerError(ConnectionError):
    """The upstream violated the protocol; its connection must be closed."""


class AnswerScanner:
    """Separate the answer to one request from the answer to the status query that follows it.

    `feed` returns the bytes that may be forwarded now. Once `done` is true, `tail` holds the rest
    of the answer, `tx_status` its transaction status and `status_row` the body of the status row,
    if any. `failed` says that the answer has an ErrorResponse, `forwarded` that `feed` has returned
    a part of it, `has_extra_data` that bytes follow the end of the answer.

    With `hold`, the answer is held back from its first CommandComplete on. If that is more than
    MAX_HELD_BYTES, it is held from the last one on, which may acknowledge a commit. A longer result
    behind that shows that it does not, so then all of it is forwarded and the next CommandComplete
    starts to hold again.
    """

    __slots__ = (
        "_completion_offset",
        "_hold",
        "_held",
        "_held_bytes",
        "_holding",
        "_in_status",
        "_partial_frame",
        "_skip_bytes",
        "done",
        "failed",
        "forwarded",
        "status_row",
        "has_extra_data",
        "tail",
        "tx_status",
        "wants_status",
    )

    def __init__(self, hold: bool, wants_status: bool) -> None:
        self._hold = hold
        self.wants_status = wants_status
        self._held: list[bytes] = []
        self._held_bytes = 0
        # Where the last CommandComplete begins in the held bytes.
        self._completion_offset = 0
        self._holding = False
        self._in_status = False
        self._partial_frame = b""
        self._skip_bytes = 0
        self.done = False
        self.failed = False
        self.forwarded = False
        self.status_row: bytes | None = None
        self.has_extra_data = False
        self.tail = b""
        self.tx_status = b"I"

    def start_holding(self) -> None:
        """Hold back the answer from its next CommandComplete on, and expect a status row."""
        self._hold = True
        self.wants_status = True

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes; return those to forward. Raise AnswerError on a malformed frame."""
        if self._partial_frame:
            data = self._partial_frame + data
            self._partial_frame = b""
        end = len(data)
        position = min(self._skip_bytes, end)
        self._skip_bytes -= position
        if self._in_status:
            self._parse_status_answer(data, position)
            return b""
        hold_from = 0 if self._holding else -1
        while end - position >= 5:
            kind, length = _HEADER.unpack_from(data, position)
            frame_end = position + 1 + length
            if length < 4:
                raise AnswerError(f"invalid frame length {length}")
            if kind in _BUFFERED_KINDS:
                if length > MAX_BUFFERED_FRAME_BYTES:
                    raise AnswerError(f"invalid frame length {length}")
                if frame_end > end:
                    break
                if kind == _READY_FOR_QUERY:
                    self._end_answer(data, frame_end, hold_from)
                    return b""
                if kind == _ERROR_RESPONSE:
                    self.failed = True
                elif self._hold and kind in _COMPLETION_KINDS:
                    hold_from = position if hold_from < 0 else hold_from
                    self._completion_offset = self._held_bytes + position - hold_from
            if frame_end > end:
                self._skip_bytes = frame_end - end
                position = end
                break
            position = frame_end
        self._partial_frame = data[position:]
        return self._forward(data, position, hold_from)

    def _forward(self, data: bytes, end: int, hold_from: int) -> bytes:
        """Return the part of `data` up to `end` that is not held back."""
        if hold_from < 0:
            if end:
                self.forwarded = True
            return data if end == len(data) else data[:end]
        self._holding = True
        self._held.append(data[hold_from:end])
        self._held_bytes += end - hold_from
        forwardable = data[:hold_from]
        if self._held_bytes > MAX_HELD_BYTES:
            forwardable += self._release_held()
        if forwardable:
            self.forwarded = True
        return forwardable

    def _release_held(self) -> bytes:
        """Return the held bytes before the last CommandComplete, or all if too many follow it."""
        held = b"".join(self._held)
        kept = held[self._completion_offset :]
        if len(kept) > MAX_HELD_BYTES:
            kept = b""
        self._held = [kept] if kept else []
        self._held_bytes = len(kept)
        self._completion_offset = 0
        self._holding = bool(kept)
        return held[: len(held) - len(kept)]

    def _end_answer(self, data: bytes, frame_end: int, hold_from: int) -> None:
        self.tx_status = data[frame_end - 1 : frame_end]
        tail = data if frame_end == len(data) else data[:frame_end]
        self.tail = b"".join(self._held) + tail if self._held else tail
        if self.wants_status:
            self._in_status = True
            self._parse_status_answer(data, frame_end)
        else:
            self.done = True
            self.has_extra_data = frame_end != len(data)

    def _parse_status_answer(self, data: bytes, position: int) -> None:
        end = len(data)
        while end - position >= 5:
            kind, length = _HEADER.unpack_from(data, position)
            frame_end = position + 1 + length
            if not 4 <= length <= MAX_BUFFERED_FRAME_BYTES:
                raise AnswerError(f"invalid frame length {length}")
            if frame_end > end:
                break
            if kind == _DATA_ROW:
                self.status_row = data[position + 5 : frame_end]
            elif kind == _READY_FOR_QUERY:
                self.done = True
                self.has_extra_data = frame_end != end
                return
            position = frame_end
        self._partial_frame = data[position:]


def row_values(body: bytes) -> list[str | None]:
    """Return the values of a DataRow body in text form; raise AnswerError if it is truncated."""
    values: list[str | None] = []
    try:
        (count,) = struct.unpack_from("!H", body)
        offset = 2
        for _ in range(count):
            (length,) = struct.unpack_from("!i", body, offset)
            offset += 4
            if length < 0:
                values.append(None)
                continue
            values.append(body[offset : offset + length].decode("utf-8", "replace"))
            offset += length
    except struct.error as error:
        raise AnswerError("DataRow is shorter than its lengths say") from error
    return values


@functools.lru_cache(maxsize=1024)
def _parse_history(text: str) -> tuple[TermStart, ...]:
    # The history changes only with the term, so the cache parses its JSON once per term.
    return tuple(TermStart(int(term), int(start)) for term, start in json.loads(text))


def read_status(values: list[str | None]) -> MemberStatus:
    """Return the status of a `group_status()` row; raise AnswerError if it is malformed."""
    try:
        member, term, position, role, leader, last_term, history = values
        return MemberStatus(
            member=member or "",
            term=int(term),
            position=int(position),
            role=MemberRole(role),
            leader=leader or "",
            last_term=int(last_term),
            history=_parse_history(history or "[]"),
        )
    except (TypeError, ValueError, RecursionError) as error:
        raise AnswerError(f"malformed status row: {error}") from error
