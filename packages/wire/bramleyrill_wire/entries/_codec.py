"""Codec of the frames between entry VMs."""

import pathlib

import thriftpy2

from bramleyrill_wire._framing import MAX_FRAME, FrameCodec, FrameSplitter

PROTOCOL = 1

frames = thriftpy2.load(
    str(pathlib.Path(__file__).resolve().parent.parent / "entries.thrift"),
    module_name="bramleyrill_entries_thrift",
)

_codec = FrameCodec(frames)
encode = _codec.encode


class FrameBuffer(FrameSplitter):
    """Split received bytes into the frames of entries.thrift."""

    def __init__(self, max_frame: int = MAX_FRAME) -> None:
        super().__init__(_codec, max_frame)
