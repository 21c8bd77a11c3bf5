"""Reading of PostgreSQL frames on the server side; the wire package has the encoders."""

import functools
import struct

from bramleyrill_wire import postgres
from gevent import socket

MAX_FRAME_BYTES = 64 * 1024 * 1024
# Not a PostgreSQL request code: opens a replication link on the port that callers use.
LINK_REQUEST = 80877190


class ConnectionClosedError(Exception):
    """The peer has closed the connection or sent an invalid frame."""


class FrameReader:
    """Read frames from a socket; `after_receive` is called after each receipt of bytes."""

    def __init__(self, sock: socket.socket, after_receive=lambda: None) -> None:
        self.sock = sock
        self._buffer = bytearray()
        self._after_receive = after_receive

    def read_exactly(self, size: int) -> bytes:
        """Return the next `size` bytes; raise ConnectionClosedError at the end of the stream."""
        while len(self._buffer) < size:
            chunk = self.sock.recv(65536)
            if not chunk:
                raise ConnectionClosedError
            self._after_receive()
            self._buffer += chunk
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def read_startup(self) -> bytes:
        """Return the next startup packet with its length field."""
        header = self.read_exactly(4)
        return header + self.read_exactly(postgres.startup_length(header) - 4)

    def read_message(self) -> tuple[bytes, bytes]:
        """Return type and body of the next frame."""
        head = self.read_exactly(5)
        length = int.from_bytes(head[1:], "big")
        if not 4 <= length <= MAX_FRAME_BYTES:
            raise ConnectionClosedError
        return head[:1], self.read_exactly(length - 4)


def read_cstring(body: bytes, start: int = 0) -> tuple[str, int]:
    """Return the zero-terminated string at `start` and the offset after it."""
    end = body.index(b"\0", start)
    return body[start:end].decode(), end + 1


@functools.lru_cache(maxsize=256)
def row_description(columns: tuple[tuple[str, int], ...], formats: tuple[int, ...] = ()) -> bytes:
    """Return a RowDescription for (name, type OID) columns.

    `formats` has the format codes of a Bind message: none, one for all columns, or one for each.
    """
    body = [struct.pack("!h", len(columns))]
    for index, (name, oid) in enumerate(columns):
        format_code = (formats[0] if len(formats) == 1 else formats[index]) if formats else 0
        body.append(name.encode() + b"\0" + struct.pack("!ihihih", 0, 0, oid, -1, -1, format_code))
    return postgres.frame(b"T", b"".join(body))
