"""Rows of the routing subsystem."""

from collections import deque
from datetime import timedelta

from attrs import define, field, frozen
from bramleyrill_base import Table

from bramleyrill_core._values import DatabaseId, Mark, MemberId, MemberStatus
from bramleyrill_core._world import World
from bramleyrill_core.text import DatabaseSpec, MemberSpec

# At one sample per probe interval of 250 ms this covers 16 s of lag; a replica further behind
# catches up with a newer sample instead.
MAX_SAMPLES = 64


@frozen
class KnownPrimary:
    """The primary of the highest term that this VM has heard of."""

    term: int
    member: MemberId


@frozen
class Sample:
    """The primary's last entry, read at or after the time `taken_at` of this VM's clock."""

    taken_at: timedelta
    mark: Mark


@define
class ReplicaRow:
    """What a holder knows of a member: last status, and until when it has everything.

    `fresh_at` is the newest time before which every committed entry is in the member's log.
    """

    status: MemberStatus
    fresh_at: timedelta | None = None


@define
class RoutingTables:
    """Known primaries, samples and members by nearness by database; replicas by member."""

    primaries: Table[DatabaseId, KnownPrimary] = field(factory=Table)
    samples: Table[DatabaseId, deque[Sample]] = field(factory=Table)
    replicas: Table[MemberId, ReplicaRow] = field(factory=Table)
    nearest: Table[DatabaseId, tuple[DatabaseSpec, list[MemberSpec]]] = field(factory=Table)


def record_primary(world: World, database: DatabaseId, term: int, member: MemberId) -> None:
    """Remember the primary of `term`, unless a later term is known."""
    primaries = world.tables(RoutingTables).primaries
    known = primaries.get(database)
    if known is None or term > known.term:
        primaries.add(database, KnownPrimary(term, member))
