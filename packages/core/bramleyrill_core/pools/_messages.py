"""Messages and effects of the pools."""

from typing import NewType

from attrs import frozen
from bramleyrill_base import ErrorKind

from bramleyrill_core._messages import Effect, Message
from bramleyrill_core._values import MemberId, VmId

# Chosen by the shell, unique in the process.
ConnectionId = NewType("ConnectionId", int)


@frozen
class DialSucceeded(Message):
    """A dialed connection took the shared lock S and saw E held by this VM's control backend."""

    member: MemberId
    connection: ConnectionId


@frozen
class DialFailed(Message):
    """A dial failed; `lock_lost` means that the member is up but E is not held by this VM."""

    member: MemberId
    lock_lost: bool = False


@frozen
class ConnectionLost(Message):
    """A pooled connection is closed, by either side; it no longer counts at the member."""

    connection: ConnectionId


@frozen
class LockTaken(Message):
    """The control connection took E, and took and released S exclusively."""

    member: MemberId


@frozen
class LockRefused(Message):
    """E or S is held by others, or the member could not be reached.

    `held_by` is the VM whose backend holds it, by the name that its connection gave, if known.
    """

    member: MemberId
    held_by: VmId | None = None


@frozen
class ControlLost(Message):
    """The control connection is closed, and E with it."""

    member: MemberId


@frozen
class ConnectionReturned(Message):
    """A leased connection is no longer needed; `clean` as for `release_connection`."""

    connection: ConnectionId
    clean: bool


@frozen
class ConnectionWanted(Message):
    """A request wants a connection, as by `lease`."""

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
    """Open a pooled connection; answer with `DialSucceeded` or `DialFailed`."""

    member: MemberId


@frozen
class CloseConnection(Effect):
    """Close a pooled connection; answer with `ConnectionLost` once it is closed."""

    id: ConnectionId


@frozen
class TakeLock(Effect):
    """Take E on the control connection, then S exclusively once.

    With `evict`, first end the backends that hold E and S: their VM is known to be gone.
    """

    member: MemberId
    evict: bool = False


@frozen
class ReleaseLock(Effect):
    """Release E; no pooled connection of this VM is left."""

    member: MemberId
