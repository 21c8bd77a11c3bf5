"""Tables of the change of primary: a group for each database of which this VM holds a member."""

from datetime import timedelta

from attrs import define, field
from bramleyrill_base import Table

from bramleyrill_core._rendezvous import rendezvous_order
from bramleyrill_core._values import DatabaseId, MemberId, MemberRole, MemberStatus, VmId
from bramleyrill_core._world import World
from bramleyrill_core.membership import MembershipTables, holders_of
from bramleyrill_core.permits import Permit
from bramleyrill_core.succession._change import Change
from bramleyrill_core.succession._terms import Spans
from bramleyrill_core.text import DatabaseSpec, Text


@define
class Watch:
    """What is known of a member: the last answered probe, and the refusals in a row since.

    `sent_at` is when the probe was sent that returned `status`, `refusal_limit_at` when the
    refusals reached the limit. `probed_at` and `followed_at` are when the last probe and the last
    follow call were issued.
    """

    id: MemberId
    name: str
    sent_at: timedelta | None = None
    status: MemberStatus | None = None
    refusals: int = 0
    refusal_limit_at: timedelta | None = None
    probed_at: timedelta | None = None
    followed_at: timedelta | None = None


@define
class Group:
    """Control state of a database.

    `highest_term` is the highest term seen, `primary` the member last seen as primary of
    `primary_term`. `primary_seen_at` is when the last probe was sent that found the primary of
    the highest term; a promotion, another holder's valid permit and the creation of the group count
    like such a probe. `primary_seen_by_vm` holds the answers of the other holders during a change.
    `sampled_at` is the time of the last staleness sample. No change starts before `retry_at` unless
    it is planned. A fence at a term up to `no_resume_up_to` is not resumed, because this VM gave up
    at that term. `ahead_since` is when a member was first seen above the primary's term.
    """

    spec: DatabaseSpec
    primary_seen_at: timedelta
    watches: dict[str, Watch]
    holders: dict[str, VmId | None]
    highest_term: int = 0
    primary: str = ""
    primary_term: int = 0
    permit: Permit | None = None
    sampled_at: timedelta | None = None
    change: Change | None = None
    change_started: timedelta = timedelta()
    primary_seen_by_vm: dict[VmId, bool] = field(factory=dict)
    no_resume_up_to: int = 0
    retry_at: timedelta = timedelta()
    ahead_since: timedelta | None = None
    planned_started_at: timedelta | None = None
    planned_requested: bool = False
    span_proposed_at: timedelta | None = None

    @property
    def id(self) -> DatabaseId:
        """Return the id of the database."""
        return self.spec.id

    def recent_statuses(self, since: timedelta) -> dict[str, MemberStatus]:
        """Return the statuses of probes sent at or after `since`, by member name."""
        return {
            name: watch.status
            for name, watch in self.watches.items()
            if watch.sent_at is not None and watch.sent_at >= since
        }


@define
class SuccessionTables:
    """Groups that this VM takes part in, and the spans of every database that it has read.

    `text` and `membership_version` are those for which the groups were last refreshed.
    """

    groups: Table[DatabaseId, Group] = field(factory=Table)
    spans: Table[DatabaseId, Spans] = field(factory=Table)
    text: Text | None = None
    membership_version: int = -1


def name_of(member: MemberId) -> str:
    """Return the plain name of a member, without the database."""
    return member.rpartition("/")[2]


def refresh_groups(world: World) -> Table[DatabaseId, Group]:
    """Update the groups to the text and the holders, and return them.

    The holders are looked up only if the text or the set of live VMs has changed.
    """
    tables = world.tables(SuccessionTables)
    version = world.tables(MembershipTables).version
    if tables.text is world.text and tables.membership_version == version:
        return tables.groups
    tables.text, tables.membership_version = world.text, version
    me = world.identity.id
    for removed in tables.groups.by_id.keys() - world.text.databases.keys():
        tables.groups.remove(removed)
    for database, spec in world.text.databases.items():
        holders = holders_of(world, database)
        if me not in holders.values():
            tables.groups.remove(database)
            continue
        group = tables.groups.get(database)
        if group is None:
            group = tables.groups.add(database, Group(spec, world.clock.monotonic(), {}, {}))
        group.spec = spec
        group.holders = {name_of(member): vm for member, vm in holders.items()}
        group.watches = {
            m.name: group.watches.get(m.name) or Watch(m.id, m.name) for m in spec.members
        }
    return tables.groups


def supervisors(group: Group) -> list[VmId]:
    """Return the VMs that may start a change, in order: replicas' holders, then the primary's."""
    replicas = {vm for name, vm in group.holders.items() if vm and name != group.primary}
    order = rendezvous_order(group.id, sorted(replicas))
    last = group.holders.get(group.primary)
    return [*order, last] if last and last not in order else order


def holds_primary(world: World, group: Group) -> bool:
    """Return whether this VM holds the member last seen as primary."""
    return group.holders.get(group.primary) == world.identity.id


def is_primary_watch(watch: Watch | None, term: int) -> bool:
    """Return whether the member's last status shows it as primary of `term`."""
    status = watch.status if watch else None
    return status is not None and status.term == term and status.role is MemberRole.PRIMARY
