"""Codec of the frames between entry VMs."""

from bramleyrill_wire._framing import MAX_FRAME, FrameCodec, FrameSplitter
from bramleyrill_wire.entries import _frames as frames

PROTOCOL = 1

_codec = FrameCodec(frames)
encode = _codec.encode


class FrameBuffer(FrameSplitter):
    """Split received bytes into the frames of entries.thrift."""

    def __init__(self, max_frame: int = MAX_FRAME) -> None:
        super().__init__(_codec, max_frame)
