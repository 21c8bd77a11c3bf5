"""Messages of the sessions subsystem."""

from attrs import field, frozen

from bramleyrill_core._messages import Message


@frozen
class TokenKey:
    """A key for signing tokens; `secret` has at least 16 bytes."""

    id: str
    secret: bytes = field(repr=False)


@frozen
class TokenKeysChanged(Message):
    """The token keys in force: all listed keys verify tokens, only the key `signing` signs them.

    To rotate keys, first list the new key, then name it as `signing` once every VM has it, and
    remove the old key when its tokens are no longer needed.
    """

    keys: tuple[TokenKey, ...]
    signing: str
