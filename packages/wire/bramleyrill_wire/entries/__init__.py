"""Protocol between entry VMs: thrift structs and their encoding."""

from bramleyrill_wire._framing import FrameError
from bramleyrill_wire.entries._codec import PROTOCOL, FrameBuffer, encode, frames

__all__ = ["PROTOCOL", "FrameBuffer", "FrameError", "encode", "frames"]
