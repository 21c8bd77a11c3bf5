"""Rows of the pools."""

from collections import deque
from datetime import timedelta
from enum import Enum

from attrs import define, field
from bramleyrill_base import Table

from bramleyrill_core._values import MemberId, VmId
from bramleyrill_core.pools._messages import ConnectionId
from bramleyrill_core.text import EMPTY_TEXT, Limits, Text


class PoolState(Enum):
    """Whether the pool may be used.

    `LOCKING`: E is not held yet. `OPEN`: in use. `CLOSING`: no new leases; E is released when
    the last connection is gone. `LOST`: as `CLOSING`, but E is gone already.
    """

    LOCKING = "locking"
    OPEN = "open"
    CLOSING = "closing"
    LOST = "lost"


@define
class Connection:
    """One pooled connection; `idle_transaction` marks a lease without a statement in flight."""

    id: ConnectionId
    member: MemberId
    leased: bool = False
    closing_at: timedelta | None = None
    idle_transaction: bool = False
    idle_since: timedelta = timedelta()


@define
class Pool:
    """The pool of one member, at its holder."""

    member: MemberId
    limits: Limits
    state: PoolState = PoolState.LOCKING
    idle: deque[ConnectionId] = field(factory=deque)
    connections: set[ConnectionId] = field(factory=set)
    dialing: int = 0
    wanted: int = 0
    failures: int = 0
    next_dial: timedelta = timedelta()
    next_lock: timedelta = timedelta()
    lock_asked: bool = False
    evict_from: VmId | None = None
    closing_since: timedelta = timedelta()


@define
class PoolTables:
    """Pools by member and pooled connections by id.

    The pools were made for `seen_version` of the view and for `seen_text`. `previous` is the
    last other holder that was seen, `losses` counts locks lost in a row and when the last was.
    """

    pools: Table[MemberId, Pool] = field(factory=Table)
    connections: Table[ConnectionId, Connection] = field(factory=Table)
    previous: dict[MemberId, VmId] = field(factory=dict)
    losses: dict[MemberId, tuple[int, timedelta]] = field(factory=dict)
    seen_version: int = -1
    seen_text: Text = EMPTY_TEXT
