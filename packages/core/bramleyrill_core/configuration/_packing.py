"""Compressed sources of a text, as the platform and peers give them."""

import zlib

# A text has a megabyte at most, but a short packed one may unpack to far more.
MAX_SOURCE_BYTES = 4 * 1024 * 1024


def pack_source(source: str) -> bytes:
    """Return the compressed source."""
    return zlib.compress(source.encode())


def unpack_source(packed: bytes) -> str:
    """Return the source; raise ValueError if it is malformed, cut off or too long.

    Example: `unpack_source(pack_source("fleets: {}")) == "fleets: {}"`.
    """
    decompressor = zlib.decompressobj()
    try:
        source = decompressor.decompress(packed, MAX_SOURCE_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if decompressor.unconsumed_tail:
        raise ValueError(f"the source exceeds {MAX_SOURCE_BYTES} bytes")
    if not decompressor.eof:
        raise ValueError("the packed source is cut off")
    return source.decode()
