"""Messages and effects of membership, and the update that heartbeats carry."""

from enum import IntEnum

from attrs import frozen

from bramleyrill_core._messages import Effect, Message
from bramleyrill_core._values import VmId


class VmState(IntEnum):
    """State of a VM; of two updates with the same incarnation the higher state wins.

    `LEAVING` and `LEFT` are announced by the VM itself. `DEAD` means that it stopped responding;
    only then may another VM evict its connections from a member without its consent.
    """

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4
    LEFT = 5

    @classmethod
    def _missing_(cls, value: object) -> "VmState | None":
        """Return the state for its name in lower case, which is the form used in traces."""
        return cls.__members__.get(value.upper()) if isinstance(value, str) else None


@frozen
class VmUpdate:
    """State of a VM as passed from one VM to another in heartbeats."""

    vm: VmId
    domain: str
    region: str
    host: str
    port: int
    state: VmState
    incarnation: int


@frozen
class ListedVm:
    """A VM in the platform's list."""

    id: VmId
    domain: str
    region: str
    host: str
    port: int
    leaving: bool = False


@frozen
class VmsListed(Message):
    """The platform's list of VMs was received, or the seed peers of the settings were read."""

    vms: tuple[ListedVm, ...]


@frozen
class HeartbeatArrived(Message):
    """A peer sent a heartbeat; with empty `updates` it asks for the full view."""

    vm: VmId
    updates: tuple[VmUpdate, ...] = ()


@frozen
class HeartbeatAcked(Message):
    """A peer answered a heartbeat of this VM."""

    vm: VmId
    updates: tuple[VmUpdate, ...] = ()


@frozen
class HeartbeatTimedOut(Message):
    """A heartbeat got no answer in time, or the peer connection broke or could not be opened.

    `refused` means that the VM's host refused the connection, so its process has ended. The
    message may come without a preceding heartbeat, when an open connection is reset.
    """

    vm: VmId
    refused: bool = False


@frozen
class IndirectAsked(Message):
    """`origin` asks this VM to send a heartbeat to `vm` and to report an answer."""

    origin: VmId
    vm: VmId


@frozen
class IndirectAcked(Message):
    """`via` reports that `vm` answered a heartbeat."""

    via: VmId
    vm: VmId


@frozen
class SendHeartbeat(Effect):
    """Send a heartbeat to `vm`."""

    vm: VmId
    updates: tuple[VmUpdate, ...] = ()


@frozen
class SendHeartbeatAck(Effect):
    """Answer the heartbeat of `vm`."""

    vm: VmId
    updates: tuple[VmUpdate, ...] = ()


@frozen
class SendIndirect(Effect):
    """Ask `via` to send a heartbeat to `vm`; it arrives there as `IndirectAsked`."""

    via: VmId
    vm: VmId


@frozen
class SendIndirectAck(Effect):
    """Tell `origin` that `vm` answered; it arrives there as `IndirectAcked`."""

    origin: VmId
    vm: VmId


@frozen
class VmStateChanged(Effect):
    """A VM's state changed in this VM's view."""

    vm: VmId
    state: VmState
