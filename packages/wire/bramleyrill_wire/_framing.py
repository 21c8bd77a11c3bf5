"""Framing of thrift structs: length, kind, and the struct in thrift's binary protocol."""

import struct
from types import ModuleType
from typing import Any

from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer

from bramleyrill_wire._lengths import check_lengths
from bramleyrill_wire._texts import check_texts

# In bytes. Holds a configuration text of 1 MB or a full flow-control window; a longer frame is a
# fault of the peer.
MAX_FRAME = 4 * 1024 * 1024

_HEADER = struct.Struct("!IB")


def _struct_name(kind_name: str) -> str:
    return "".join(part.capitalize() for part in kind_name.split("_"))


class FrameError(Exception):
    """A malformed frame, or one of a kind that this version does not know."""


# A protocol object reuses its buffer between calls. Encoding never yields to another greenlet, so
# the whole process can share one.
_write_buffer = TCyMemoryBuffer(b"")
_write_protocol = TCyBinaryProtocol(_write_buffer)


class FrameCodec:
    """Encode and decode the frames listed in the `FrameKind` enum of a thrift module.

    The decoder returns a text that is not UTF-8 as bytes. With `strict_text` such a frame is
    malformed; a protocol without it has text fields that carry what callers sent.
    """

    def __init__(self, module: ModuleType, strict_text: bool = False) -> None:
        self._strict_text = strict_text
        kinds = module.FrameKind._VALUES_TO_NAMES.items()
        self._struct_by_kind: dict[int, type] = {
            kind: getattr(module, _struct_name(name)) for kind, name in kinds
        }
        self._kind_by_struct = {cls: kind for kind, cls in self._struct_by_kind.items()}

    def encode(self, frame: Any) -> bytes:
        """Return the encoded frame: header and struct.

        Example: `sock.sendall(encode(frames.Ping(sequence=1)))`.
        """
        _write_buffer.clean()
        _write_protocol.write_struct(frame)
        body = _write_buffer.getvalue()
        return _HEADER.pack(len(body) + 1, self._kind_by_struct[type(frame)]) + body

    def decode(self, kind: int, body: bytes) -> Any:
        """Return the struct encoded in `body`; raise FrameError if it is malformed."""
        cls = self._struct_by_kind.get(kind)
        if cls is None:
            raise FrameError(f"unknown frame kind {kind}")
        frame = cls()
        try:
            check_lengths(body)
            TCyBinaryProtocol(TCyMemoryBuffer(body)).read_struct(frame)
            if self._strict_text:
                check_texts(frame)
        except Exception as error:
            raise FrameError(f"malformed {cls.__name__} frame: {error}") from error
        return frame


class FrameSplitter:
    """Split received bytes into frames.

    Buffers at most one incomplete frame and the bytes of one read.

    Example: `for frame in splitter.feed(sock.recv(65536)): ...`.
    """

    def __init__(self, codec: FrameCodec, max_frame: int = MAX_FRAME) -> None:
        self.max_frame = max_frame
        self._codec = codec
        self._buffered = b""

    def feed(self, data: bytes) -> list[Any]:
        """Return the frames completed by `data`; raise FrameError if one is malformed."""
        if self._buffered:
            data = self._buffered + data
        decoded = []
        start = 0
        end = len(data)
        while end - start >= 5:
            length, kind = _HEADER.unpack_from(data, start)
            if not 1 <= length <= self.max_frame:
                raise FrameError(f"frame length {length} is out of range")
            frame_end = start + 4 + length
            if frame_end > end:
                break
            decoded.append(self._codec.decode(kind, data[start + 5 : frame_end]))
            start = frame_end
        self._buffered = data[start:]
        return decoded
