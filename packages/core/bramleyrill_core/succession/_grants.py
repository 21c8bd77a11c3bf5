"""What the data path asks: permits, whether the primary is seen, durability."""

from bramleyrill_core._messages import Effect
from bramleyrill_core._values import DatabaseId, Mark, Rank
from bramleyrill_core._world import World
from bramleyrill_core.sessions import log_contains
from bramleyrill_core.succession._messages import SendProbe
from bramleyrill_core.succession._permit import Permit
from bramleyrill_core.succession._tables import SuccessionTables, holds_primary
from bramleyrill_core.text import Durability


def permit_for(world: World, database: DatabaseId) -> Permit | None:
    """Return the permit that is valid now, or None.

    Called for each statement at the primary, so it is two look-ups and one comparison.
    """
    group = world.tables(SuccessionTables).groups.by_id.get(database)
    permit = group.permit if group is not None else None
    if permit is None:
        return None
    lapsed = world.clock.monotonic() - permit.probe_sent >= permit.length
    return None if lapsed and world.rules.on("permit_lapses") else permit


def holds_writes(world: World, database: DatabaseId) -> bool:
    """Tell whether new writes are to wait in the queue because a planned change is under way.

    Statements in flight go on; the change fences once they are done and replicated.
    """
    group = world.tables(SuccessionTables).groups.by_id.get(database)
    return group is not None and group.change is not None and bool(group.change.old_primary)


def primary_seen(world: World, database: DatabaseId) -> bool:
    """Tell whether this VM holds the primary and has a valid permit for it."""
    group = world.tables(SuccessionTables).groups.by_id.get(database)
    if group is None or not holds_primary(world, group):
        return False
    return permit_for(world, database) is not None


def needs_second_member(world: World, database: DatabaseId, rank: Rank) -> bool:
    """Tell whether the text wants a write of this rank on a second member before it is acked."""
    policy = world.text.services[database].ranks.get(rank)
    return policy is not None and policy.durability is Durability.SECOND_MEMBER


def second_member_has(world: World, database: DatabaseId, mark: Mark) -> bool:
    """Tell whether a member other than the primary has the entry, by its last answer."""
    group = world.tables(SuccessionTables).groups.by_id.get(database)
    if group is None:
        return False
    return any(
        watch.status is not None
        and name != group.primary
        and watch.status.term == mark.term
        and log_contains(watch.status, mark)
        for name, watch in group.watches.items()
    )


def probe_replicas(world: World, database: DatabaseId) -> list[Effect]:
    """Return probes of the replicas, for a write that waits for a second member."""
    group = world.tables(SuccessionTables).groups.by_id.get(database)
    if group is None:
        return []
    return [SendProbe(w.id) for name, w in group.watches.items() if name != group.primary]
