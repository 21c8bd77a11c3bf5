"""Framing of thrift structs: length, kind, struct in thrift's binary protocol."""

import struct
from types import ModuleType
from typing import Any

from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer

# A text of one megabyte and a full window of data both fit; more is a fault of the peer.
MAX_FRAME = 4 * 1024 * 1024

_HEADER = struct.Struct("!IB")


def _class_name(kind_name: str) -> str:
    return "".join(part.capitalize() for part in kind_name.split("_"))


class FrameError(Exception):
    """A frame that no peer of this version sends."""


# Protocol objects keep buffers between calls. Encoding and decoding never yield to another
# greenlet, so one of each serves the whole process.
_out = TCyMemoryBuffer(b"")
_out_protocol = TCyBinaryProtocol(_out)


class FrameCodec:
    """Encode and decode the structs that the `FrameKind` of a thrift module numbers."""

    def __init__(self, module: ModuleType) -> None:
        kinds = module.FrameKind._VALUES_TO_NAMES.items()
        self._struct_by_kind: dict[int, type] = {
            kind: getattr(module, _class_name(name)) for kind, name in kinds
        }
        self._kind_by_struct = {cls: kind for kind, cls in self._struct_by_kind.items()}

    def encode(self, frame: Any) -> bytes:
        """Return the bytes of a frame: header and struct.

        Example: `sock.sendall(encode(frames.Ping(sequence=1)))`.
        """
        _out.clean()
        _out_protocol.write_struct(frame)
        body = _out.getvalue()
        return _HEADER.pack(len(body) + 1, self._kind_by_struct[type(frame)]) + body

    def decode(self, kind: int, body: bytes) -> Any:
        """Return the struct of one frame; raise FrameError if it is malformed."""
        cls = self._struct_by_kind.get(kind)
        if cls is None:
            raise FrameError(f"unknown frame kind {kind}")
        frame = cls()
        try:
            TCyBinaryProtocol(TCyMemoryBuffer(body)).read_struct(frame)
        except Exception as error:
            raise FrameError(f"malformed {cls.__name__} frame: {error}") from error
        return frame


class FrameSplitter:
    """Split received bytes into frames, in memory bounded by one frame and one read.

    Example: `for frame in splitter.feed(sock.recv(65536)): ...`.
    """

    def __init__(self, codec: FrameCodec, max_frame: int = MAX_FRAME) -> None:
        self.max_frame = max_frame
        self._codec = codec
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
            found.append(self._codec.decode(kind, data[start + 5 : stop]))
            start = stop
        self._rest = data[start:]
        return found
