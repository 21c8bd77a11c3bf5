"""Codec of the frames between entry VMs."""

from typing import Any

from bramleyrill_wire._framing import MAX_FRAME, FrameCodec, FrameError, FrameSplitter
from bramleyrill_wire.entries import _frames as frames

PROTOCOL = 1

_codec = FrameCodec(frames)


def encode(frame: Any) -> bytes:
    """Return the encoded frame; raise FrameError for one that every receiver would reject."""
    data = _codec.encode(frame)
    if len(data) > MAX_FRAME:
        raise FrameError(f"a frame of {len(data)} bytes is too long")
    return data


class FrameBuffer(FrameSplitter):
    """Split received bytes into the frames of entries.thrift."""

    def __init__(self, max_frame: int = MAX_FRAME) -> None:
        super().__init__(_codec, max_frame)
