"""Startup packets: parse those of callers and build those sent to upstreams."""

import struct

from attrs import frozen
from bramleyrill_base import ErrorKind

from bramleyrill_wire.postgres._frames import FrameError

PROTOCOL_3 = 3 << 16
MAX_STARTUP = 10_000  # bytes; PostgreSQL rejects longer startup packets

_CANCEL_CODE = 80877102
_SSL_CODE = 80877103
_GSS_CODE = 80877104
_INT = struct.Struct("!I")


@frozen
class EncryptionRequest:
    """A request for TLS (or GSS encryption), sent before the startup message."""

    gss: bool = False


@frozen
class CancelRequest:
    """A request to cancel the running statement of the session with this key."""

    pid: int
    secret: int


@frozen
class Startup:
    """Parameters of a session, and the settings given in its `options` parameter.

    `unknown` lists the protocol options (`_pq_.` names), none of which is supported, and `minor`
    is the minor protocol version; both are needed for NegotiateProtocolVersion.
    """

    parameters: dict[str, str]
    settings: dict[str, str]
    minor: int = 0
    unknown: tuple[str, ...] = ()


def startup_length(header: bytes) -> int:
    """Return the packet length given in its first 4 bytes; raise FrameError if out of range."""
    (length,) = _INT.unpack(header)
    if length < 8:
        raise FrameError(ErrorKind.PROTOCOL_VIOLATION, f"startup packet has length {length}")
    if length > MAX_STARTUP:
        raise FrameError(ErrorKind.FRAME_TOO_LARGE, f"startup packet has {length} bytes")
    return length


def read_startup(packet: bytes) -> Startup | EncryptionRequest | CancelRequest:
    """Parse a complete startup packet with its length; raise FrameError if it is malformed."""
    (code,) = _INT.unpack_from(packet, 4)
    if code in (_SSL_CODE, _GSS_CODE):
        return EncryptionRequest(gss=code == _GSS_CODE)
    if code == _CANCEL_CODE:
        if len(packet) != 16:
            raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "cancel request is not of 16 bytes")
        return CancelRequest(*struct.unpack_from("!II", packet, 8))
    if code >> 16 != 3:
        raise FrameError(
            ErrorKind.PROTOCOL_VIOLATION, f"protocol {code >> 16}.{code & 0xFFFF} is not supported"
        )
    parameters = _read_parameters(packet)
    unknown = tuple(name for name in parameters if name.startswith("_pq_."))
    settings = read_options(parameters.pop("options", ""))
    return Startup(parameters, settings, code & 0xFFFF, unknown)


def _read_parameters(packet: bytes) -> dict[str, str]:
    try:
        words = packet[8:].decode().split("\x00")
    except UnicodeDecodeError:
        raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "startup packet is not UTF-8") from None
    # A well-formed packet ends with two zero bytes, so the last two words are empty.
    if len(words) < 2 or words[-1] or words[-2] or len(words) % 2:
        raise FrameError(ErrorKind.PROTOCOL_VIOLATION, "startup parameters are malformed")
    names_and_values = words[:-2]
    return dict(zip(names_and_values[::2], names_and_values[1::2], strict=True))


def read_options(options: str) -> dict[str, str]:
    r"""Return the settings of a startup `options` value.

    Words are separated by whitespace; a backslash escapes the next character. Accepts
    `-c name=value`, `-cname=value` and `--name=value`; after `--`, dashes in the name become
    underscores. Raises FrameError for anything else.

    Example: `read_options(r"-c bramleyrill.rank=urgent --bramleyrill.age=500")`.
    """
    settings = {}
    words = iter(_split_options(options))
    for word in words:
        if word.startswith("--"):
            name, equals, value = word[2:].partition("=")
            name = name.replace("-", "_")
        elif word.startswith("-c"):
            name, equals, value = (word[2:] or next(words, "")).partition("=")
        else:
            raise FrameError(ErrorKind.BAD_SETTING, f"options: {word!r} is not `-c name=value`")
        if not equals or not name:
            raise FrameError(ErrorKind.BAD_SETTING, f"options: {word!r} is not `-c name=value`")
        settings[name] = value
    return settings


def _split_options(options: str) -> list[str]:
    words: list[str] = []
    word: list[str] | None = None
    characters = iter(options)
    for character in characters:
        if character.isspace():
            if word is not None:
                words.append("".join(word))
            word = None
            continue
        if character == "\\":
            character = next(characters, "")
        word = [character] if word is None else [*word, character]
    if word is not None:
        words.append("".join(word))
    return words


def startup_message(parameters: dict[str, str]) -> bytes:
    """Return a startup packet of protocol 3.0."""
    words = [word for pair in parameters.items() for word in pair]
    if any("\x00" in word for word in words):
        raise ValueError("a startup parameter has a zero byte")
    payload = "".join(f"{word}\x00" for word in words).encode() + b"\x00"
    return struct.pack("!II", len(payload) + 8, PROTOCOL_3) + payload


def encryption_request() -> bytes:
    """Return SSLRequest."""
    return struct.pack("!II", 8, _SSL_CODE)


def cancel_request(pid: int, secret: int) -> bytes:
    """Return CancelRequest for the session with this BackendKeyData."""
    return struct.pack("!IIII", 16, _CANCEL_CODE, pid, secret)


def negotiate_protocol_version(unknown: tuple[str, ...]) -> bytes:
    """Return NegotiateProtocolVersion: version 3.0 without the `unknown` options."""
    names = "".join(f"{name}\x00" for name in unknown).encode()
    return b"v" + struct.pack("!III", len(names) + 12, PROTOCOL_3, len(unknown)) + names
