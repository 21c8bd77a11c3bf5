"""State of the routing subsystem."""

from collections import deque
from datetime import timedelta

from attrs import define, field, frozen
from bramleyrill_base import Table

from bramleyrill_core._values import DatabaseId, Mark, MemberId, MemberStatus
from bramleyrill_core._world import World
from bramleyrill_core.text import DatabaseSpec, MemberSpec

# With a sample every 250 ms (the probe interval) this covers 16 s of lag. For a replica further
# behind, staleness is known again when it reaches a newer sample.
MAX_SAMPLES = 64


@frozen
class KnownPrimary:
    """The primary of the highest term that this VM knows."""

    term: int
    member: MemberId


@frozen
class Sample:
    """The primary's last log entry, read at or after `taken_at` on this VM's clock."""

    taken_at: timedelta
    mark: Mark


@define
class ReplicaRow:
    """Last known status of a member at its holder.

    The member's log has every entry committed before `complete_until`, a time of this VM's clock.
    """

    status: MemberStatus
    complete_until: timedelta | None = None


@define
class RoutingTables:
    """Routing state of this VM.

    Primaries, samples and members sorted by distance are kept by database, replicas by member.
    """

    primaries: Table[DatabaseId, KnownPrimary] = field(factory=Table)
    samples: Table[DatabaseId, deque[Sample]] = field(factory=Table)
    replicas: Table[MemberId, ReplicaRow] = field(factory=Table)
    members_by_distance: Table[DatabaseId, tuple[DatabaseSpec, list[MemberSpec]]] = field(
        factory=Table
    )


def record_primary(world: World, database: DatabaseId, term: int, member: MemberId) -> None:
    """Record the primary of `term` unless one of the same or a later term is known."""
    primaries = world.tables(RoutingTables).primaries
    known_primary = primaries.get(database)
    if known_primary is None or term > known_primary.term:
        primaries.add(database, KnownPrimary(term, member))
