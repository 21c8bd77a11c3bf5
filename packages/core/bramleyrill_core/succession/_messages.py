"""Messages and effects of the change of primary."""

from datetime import timedelta

from attrs import frozen

from bramleyrill_core._messages import Effect, Message
from bramleyrill_core._values import DatabaseId, MemberId, MemberStatus, VmId
from bramleyrill_core.succession._terms import Span


@frozen
class ProbeAnswered(Message):
    """A member answered `group_status()`; `sent_at` is this VM's monotonic time before sending."""

    member: MemberId
    sent_at: timedelta
    status: MemberStatus


@frozen
class ProbeFailed(Message):
    """A probe got no answer; `refused` is True if the connection was refused or reset."""

    member: MemberId
    sent_at: timedelta
    refused: bool


@frozen
class FenceAnswered(Message):
    """A member accepted `group_fence(term)`."""

    member: MemberId
    term: int
    status: MemberStatus


@frozen
class FenceFailed(Message):
    """A member refused `group_fence(term)`, or gave no answer if `refused` is False."""

    member: MemberId
    term: int
    refused: bool = False


@frozen
class PromoteAnswered(Message):
    """A member accepted `group_promote(term)`; `status` may be missing."""

    member: MemberId
    term: int
    status: MemberStatus | None = None


@frozen
class PromoteFailed(Message):
    """A member refused `group_promote(term)`, or gave no answer if `refused` is False."""

    member: MemberId
    term: int
    refused: bool = False


@frozen
class PrimarySeenAnswered(Message):
    """Another holder reported whether it has a valid permit for the database."""

    database: DatabaseId
    vm: VmId
    valid: bool


@frozen
class SpansChanged(Message):
    """The succession object of a database was read; its list of spans is append-only."""

    database: DatabaseId
    spans: tuple[Span, ...]


@frozen
class PlannedChangeRequested(Message):
    """An operator or the platform asked to move the primary to another member."""

    database: DatabaseId


@frozen
class SendProbe(Effect):
    """Ask the member for `group_status()`."""

    member: MemberId


@frozen
class SendFence(Effect):
    """Call `group_fence(term)` at the member."""

    member: MemberId
    term: int


@frozen
class SendPromote(Effect):
    """Call `group_promote(term)` at the member."""

    member: MemberId
    term: int


@frozen
class SendFollow(Effect):
    """Call `group_follow(term, leader)` at the member; `leader` is a plain member name."""

    member: MemberId
    term: int
    leader: str


@frozen
class AskPrimarySeen(Effect):
    """Ask another holder whether it has a valid permit for the database."""

    vm: VmId
    database: DatabaseId


@frozen
class PrimaryChanged(Effect):
    """This VM learned that a member became primary of a term; tell the entry VMs."""

    database: DatabaseId
    term: int
    member: MemberId


@frozen
class AppendSpan(Effect):
    """Append a span to the succession object if it still has exactly `after` spans."""

    database: DatabaseId
    after: int
    span: Span
