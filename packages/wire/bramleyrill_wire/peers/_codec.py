"""Encoding of peer frames: length, kind, struct in thrift's binary protocol."""

import pathlib
import struct
from typing import Any

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer

frames = thriftpy2.load(
    str(pathlib.Path(__file__).resolve().parent.parent / "peers.thrift"),
    module_name="bramleyrill_peers_thrift",
)
FrameKind = frames.FrameKind

# A text of one megabyte and a full window of data both fit; more is a fault of the peer.
MAX_FRAME = 4 * 1024 * 1024

_HEADER = struct.Struct("!IB")


def _class_name(kind_name: str) -> str:
    return "".join(part.capitalize() for part in kind_name.split("_"))


_STRUCT_BY_KIND: dict[int, type] = {
    kind: getattr(frames, _class_name(name)) for kind, name in FrameKind._VALUES_TO_NAMES.items()
}
_KIND_BY_STRUCT = {cls: kind for kind, cls in _STRUCT_BY_KIND.items()}


class FrameError(Exception):
    """A frame that no peer of this version sends."""


# Protocol objects keep buffers between calls. Encoding and decoding never yield to another
# greenlet, so one of each serves the whole process.
_out = TCyMemoryBuffer(b"")
_out_protocol = TCyBinaryProtocol(_out)


def encode(frame: Any) -> bytes:
    """Return the bytes of a frame: header and struct.

    Example: `sock.sendall(encode(frames.Ping(sequence=1)))`.
    """
    _out.clean()
    _out_protocol.write_struct(frame)
    body = _out.getvalue()
    return _HEADER.pack(len(body) + 1, _KIND_BY_STRUCT[type(frame)]) + body


def decode(kind: int, body: bytes) -> Any:
    """Return the struct of one frame; raise FrameError if it is malformed."""
    cls = _STRUCT_BY_KIND.get(kind)
    if cls is None:
        raise FrameError(f"unknown frame kind {kind}")
    frame = cls()
    try:
        TCyBinaryProtocol(TCyMemoryBuffer(body)).read_struct(frame)
    except Exception as error:
        raise FrameError(f"malformed {cls.__name__} frame: {error}") from error
    return frame


class FrameBuffer:
    """Split received bytes into frames, in memory bounded by one frame and one read.

    Example: `for frame in buffer.feed(sock.recv(65536)): ...`.
    """

    def __init__(self, max_frame: int = MAX_FRAME) -> None:
        self.max_frame = max_frame
        self._rest = b""

    def feed(self, data: bytes) -> list[Any]:
        """Return the frames that `data` completes; raise FrameError on a malformed one."""
        if self._rest:
            data = self._rest + data
        found = []
        start = 0
        end = len(data)
        while end - start >= 5:
            length, kind = _HEADER.unpack_from(data, start)
            if not 1 <= length <= self.max_frame:
                raise FrameError(f"frame length {length} is out of range")
            stop = start + 4 + length
            if stop > end:
                break
            found.append(decode(kind, data[start + 5 : stop]))
            start = stop
        self._rest = data[start:]
        return found
