"""Messages of the sessions subsystem."""

from attrs import field, frozen

from bramleyrill_core._messages import Message


@frozen
class TokenKey:
    """A key that signs tokens; `secret` has at least 16 bytes."""

    id: str
    secret: bytes = field(repr=False)


@frozen
class TokenKeysChanged(Message):
    """The key ring in force: every listed key verifies, only `signing` signs.

    A rotation lists the new key first, names it as `signing` once every VM has it, and drops the
    old one when its tokens no longer matter.
    """

    keys: tuple[TokenKey, ...]
    signing: str
