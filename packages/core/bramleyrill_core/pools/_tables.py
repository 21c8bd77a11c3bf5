"""State of the pools."""

from collections import deque
from datetime import timedelta
from enum import Enum

from attrs import define, field
from bramleyrill_base import Table

from bramleyrill_core._values import MemberId, VmId
from bramleyrill_core.pools._messages import ConnectionId
from bramleyrill_core.text import EMPTY_TEXT, Limits, Text


class PoolState(Enum):
    """State of a pool.

    `LOCKING`: this VM does not have lock E yet. `OPEN`: in use. `CLOSING`: no new leases; E is
    released after the last connection is closed. `LOST`: as `CLOSING`, but E is already lost.
    """

    LOCKING = "locking"
    OPEN = "open"
    CLOSING = "closing"
    LOST = "lost"


@define
class Connection:
    """A pooled connection.

    `idle_transaction` is set while it is leased without a statement in flight.
    """

    id: ConnectionId
    member: MemberId
    leased: bool = False
    closing_at: timedelta | None = None
    idle_transaction: bool = False
    idle_since: timedelta = timedelta()


@define
class Pool:
    """The pool of one member at its holder.

    `dialing` counts the dials in progress, and `failures` those that failed in a row.
    `unmet_leases` counts the leases that failed for lack of a connection since the last tick.
    `evict_candidate` is the VM that probably had the lock when it was last refused.
    """

    member: MemberId
    limits: Limits
    state: PoolState = PoolState.LOCKING
    idle: deque[ConnectionId] = field(factory=deque)
    connections: set[ConnectionId] = field(factory=set)
    dialing: int = 0
    unmet_leases: int = 0
    failures: int = 0
    next_dial_at: timedelta = timedelta()
    next_lock_at: timedelta = timedelta()
    lock_requested: bool = False
    evict_candidate: VmId | None = None
    closing_since: timedelta = timedelta()


@define
class PoolTables:
    """Pools by member and pooled connections by id.

    The pools match `seen_version` of the membership view and `seen_text`. `previous_holders` has
    the last other VM that was seen as the holder of a member. `lock_losses` has the number of
    recent losses of a member's lock and the time of the last one.
    """

    pools: Table[MemberId, Pool] = field(factory=Table)
    connections: Table[ConnectionId, Connection] = field(factory=Table)
    previous_holders: dict[MemberId, VmId] = field(factory=dict)
    lock_losses: dict[MemberId, tuple[int, timedelta]] = field(factory=dict)
    seen_version: int = -1
    seen_text: Text = EMPTY_TEXT
