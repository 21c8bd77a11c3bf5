"""Messages and effects of the distribution of the text."""

from attrs import frozen

from bramleyrill_core._messages import Effect, Message
from bramleyrill_core._values import VmId


@frozen
class TextOffered(Message):
    """A text from the platform or a peer; `version` is the platform's object version."""

    version: int
    identity: str
    source: str


@frozen
class PeerVersionSeen(Message):
    """A heartbeat reported the version of the text that a peer has in force."""

    vm: VmId
    version: int


@frozen
class PullFailed(Message):
    """A peer did not answer a pull, or answered with an older version."""

    vm: VmId


@frozen
class PullText(Effect):
    """Request the text of a peer."""

    vm: VmId


@frozen
class TextInForce(Effect):
    """This VM now uses the text in `world.text`."""

    version: int
    digest: str


@frozen
class TextRejected(Effect):
    """This VM cannot use a text that the platform accepted, and keeps the previous one."""

    version: int
    errors: tuple[str, ...]
