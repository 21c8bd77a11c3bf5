"""Queries of the data path: the permit, whether the primary is seen, and durability."""

from bramleyrill_core._messages import Effect
from bramleyrill_core._values import DatabaseId, Mark, Rank
from bramleyrill_core._world import World
from bramleyrill_core.permits import Permit
from bramleyrill_core.sessions import log_contains
from bramleyrill_core.succession._messages import SendProbe
from bramleyrill_core.succession._tables import SuccessionTables, holds_primary
from bramleyrill_core.succession._terms import is_majority, members_of
from bramleyrill_core.text import Durability


def permit_for(world: World, database: DatabaseId) -> Permit | None:
    """Return the permit that is valid now, or None.

    Called for each statement at the primary, so it must stay cheap: two lookups, one comparison.
    """
    group = world.tables(SuccessionTables).groups.by_id.get(database)
    permit = group.permit if group is not None else None
    if permit is None:
        return None
    expired = world.clock.monotonic() - permit.probe_sent >= permit.length
    return None if expired and world.rules.on("permit_lapses") else permit


def pauses_writes(world: World, database: DatabaseId) -> bool:
    """Return whether new writes must wait in the queue because of a planned change.

    Statements in flight continue; the change fences once they are done and replicated.
    """
    group = world.tables(SuccessionTables).groups.by_id.get(database)
    return group is not None and group.change is not None and bool(group.change.old_primary)


def primary_seen(world: World, database: DatabaseId) -> bool:
    """Return whether this VM holds the primary and has a valid permit for it."""
    group = world.tables(SuccessionTables).groups.by_id.get(database)
    if group is None or not holds_primary(world, group):
        return False
    return permit_for(world, database) is not None


def needs_second_member(world: World, database: DatabaseId, rank: Rank) -> bool:
    """Return whether the text requires writes of this rank on a second member before the answer."""
    policy = world.text.services[database].ranks.get(rank)
    return policy is not None and policy.durability is Durability.SECOND_MEMBER


def is_on_second_member(world: World, database: DatabaseId, mark: Mark) -> bool:
    """Return whether enough members have the entry for every later change to find it.

    A change of primary needs answers of a majority, so the entry must be on a majority too: on the
    primary and a second member in groups of three, on further ones in larger groups. The last
    statuses of the members are counted.
    """
    tables = world.tables(SuccessionTables)
    group = tables.groups.by_id.get(database)
    spans = tables.spans.get(database)
    if group is None or not spans:
        return False
    others = [
        name
        for name, watch in group.watches.items()
        if watch.status is not None
        and name != group.primary
        and watch.status.term == mark.term
        and log_contains(watch.status, mark)
    ]
    return bool(others) and is_majority(members_of(spans, mark.term), {group.primary, *others})


def probe_replicas(world: World, database: DatabaseId) -> list[Effect]:
    """Return a probe for each replica, for a write that waits for a second member."""
    group = world.tables(SuccessionTables).groups.by_id.get(database)
    if group is None:
        return []
    return [SendProbe(w.id) for name, w in group.watches.items() if name != group.primary]
