"""Codec of the frames between VMs."""

from bramleyrill_wire._framing import MAX_FRAME, FrameCodec, FrameError, FrameSplitter
from bramleyrill_wire.peers import _frames as frames

FrameKind = frames.FrameKind

_codec = FrameCodec(frames, strict_text=True)
encode = _codec.encode
decode = _codec.decode

__all__ = ["MAX_FRAME", "FrameBuffer", "FrameError", "FrameKind", "decode", "encode", "frames"]


class FrameBuffer(FrameSplitter):
    """Split received bytes into the frames of peers.thrift."""

    def __init__(self, max_frame: int = MAX_FRAME) -> None:
        super().__init__(_codec, max_frame)
