"""Messages and effects of the pools.

E and S are advisory locks of a member. The control connection of its holder has E exclusively, and
each pooled connection has S shared.
"""

from typing import NewType

from attrs import frozen
from bramleyrill_base import ErrorKind

from bramleyrill_core._messages import Effect, Message
from bramleyrill_core._values import MemberId, VmId

# Assigned by the shell; unique in the process.
ConnectionId = NewType("ConnectionId", int)


@frozen
class DialSucceeded(Message):
    """A new connection has S shared and has verified that this VM's control backend has E."""

    member: MemberId
    connection: ConnectionId


@frozen
class DialFailed(Message):
    """A dial failed; `lock_lost` means that the member is up but this VM does not have E."""

    member: MemberId
    lock_lost: bool = False


@frozen
class ConnectionLost(Message):
    """A pooled connection was closed by either side and no longer counts at the member."""

    connection: ConnectionId


@frozen
class LockTaken(Message):
    """The control connection has E; it also acquired S exclusively and released it again."""

    member: MemberId


@frozen
class LockRefused(Message):
    """Another VM has E or S, or the member could not be reached.

    `held_by` is that VM, from the name that its connection announced, or None if unknown.
    """

    member: MemberId
    held_by: VmId | None = None


@frozen
class ControlLost(Message):
    """The control connection was closed, which released E."""

    member: MemberId


@frozen
class ConnectionReturned(Message):
    """A leased connection is no longer needed; `clean` as for `release_connection`."""

    connection: ConnectionId
    clean: bool


@frozen
class ConnectionWanted(Message):
    """A request needs a connection; see `lease`."""

    member: MemberId


@frozen
class ConnectionLeased(Effect):
    """A connection was leased."""

    member: MemberId
    id: ConnectionId


@frozen
class ConnectionRefused(Effect):
    """No connection was leased."""

    member: MemberId
    kind: ErrorKind


@frozen
class Dial(Effect):
    """Open a pooled connection; the shell answers with `DialSucceeded` or `DialFailed`."""

    member: MemberId


@frozen
class CloseConnection(Effect):
    """Close a pooled connection; the shell answers with `ConnectionLost` once it is closed."""

    id: ConnectionId


@frozen
class TakeLock(Effect):
    """Acquire E on the control connection, then S exclusively once.

    S is free only after all pooled connections of an earlier holder are closed. With `evict`,
    first terminate the backends that have E and S, because their VM is known to be dead.
    """

    member: MemberId
    evict: bool = False


@frozen
class ReleaseLock(Effect):
    """Release E; this VM has no pooled connection left."""

    member: MemberId
