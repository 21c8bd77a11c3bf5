"""Messages and effects of the spread of the text."""

from attrs import frozen

from bramleyrill_core._messages import Effect, Message
from bramleyrill_core._values import VmId


@frozen
class TextOffered(Message):
    """A text as the platform or a peer holds it; `version` is the platform's object version."""

    version: int
    identity: str
    source: str


@frozen
class PeerVersionSeen(Message):
    """A heartbeat told which version of the text a peer has in force."""

    vm: VmId
    version: int


@frozen
class PullFailed(Message):
    """A peer did not answer a pull, or answered with an older version."""

    vm: VmId


@frozen
class PullText(Effect):
    """Ask a peer for its text."""

    vm: VmId


@frozen
class TextInForce(Effect):
    """This VM now works by the text in `world.text`."""

    version: int
    digest: str


@frozen
class TextRejected(Effect):
    """This VM cannot carry out an accepted text and goes on with the one before."""

    version: int
    errors: tuple[str, ...]
