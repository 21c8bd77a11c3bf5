"""Choice of holders by rendezvous hashing over the live VMs."""

from attrs import define

from bramleyrill_core._rendezvous import rendezvous_weight
from bramleyrill_core._values import DatabaseId, MemberId, VmId
from bramleyrill_core._world import World
from bramleyrill_core.membership._view import MembershipTables, view_of


def live_vms(world: World, domain: str | None = None) -> list[VmId]:
    """Return the live VMs, of one failure domain or of all, sorted by id.

    A VM is live if it is alive or suspected; joining and leaving VMs hold no members.
    """
    live_by_domain = view_of(world).live_by_domain
    if domain is not None:
        return sorted(live_by_domain.get(domain, ()))
    return sorted(vm for live in live_by_domain.values() for vm in live)


def holder_of(world: World, member: MemberId) -> VmId | None:
    """Return the VM that should hold the pooled connections to `member`, or None.

    It is the first choice by rendezvous hashing among the live VMs of the member's failure
    domain, or among all live VMs if the domain has none. Views may differ between VMs; the lock at
    the member decides. Raise KeyError for a member that is not in the text.
    """
    tables = view_of(world)
    domain = _domain_of(world, member)
    live = tables.live_by_domain.get(domain)
    version = tables.versions_by_domain.get(domain, 0) if live else -1 - tables.version
    cached = tables.cached_holders.get(member)
    if cached is not None and cached.domain == domain:
        if cached.version == version:
            return cached.vm
        if live and cached.version >= 0 and _apply_changes(tables, cached, member, version):
            return cached.vm
    vms = live or [vm for others in tables.live_by_domain.values() for vm in others]
    weight, vm = max(((rendezvous_weight(vm, member), vm) for vm in vms), default=(0, None))
    _cache_holder(tables, member, _CachedHolder(domain, version, weight, vm))
    return vm


@define
class _CachedHolder:
    """A cached holder with its rendezvous weight, and the version of the view it was chosen for.

    The version is that of the domain, or a negative one of the whole view if the domain has no
    live VM.
    """

    domain: str
    version: int
    weight: int
    vm: VmId | None


def _apply_changes(
    tables: MembershipTables, cached: _CachedHolder, member: MemberId, version: int
) -> bool:
    """Apply the domain's changes since the choice, and return whether that was possible.

    It is not possible if the holder itself is affected or the changes are no longer recorded.
    Any other change costs at most one hash.
    """
    changes = tables.changes_by_domain[cached.domain]
    if changes[0][0] > cached.version + 1:
        return False
    for change_version, vm, added in reversed(changes):
        if change_version <= cached.version:
            break
        if vm == cached.vm:
            return False
        live = tables.live_by_domain[cached.domain]
        if (
            added
            and vm in live
            and (rendezvous_weight(vm, member), vm) > (cached.weight, cached.vm)
        ):
            cached.weight, cached.vm = rendezvous_weight(vm, member), vm
    cached.version = version
    return True


def holders_of(world: World, database: DatabaseId) -> dict[MemberId, VmId | None]:
    """Return the holder of each member of a database, in the order of its members."""
    members = world.text.databases[database].members
    return {member.id: holder_of(world, member.id) for member in members}


def _domain_of(world: World, member: MemberId) -> str:
    spec = world.text.database_of(member)
    for candidate in spec.members:
        if candidate.id == member:
            return candidate.domain
    raise KeyError(member)


# More than the 5,400 members of the largest planned text; the limit keeps members that were removed
# from the text from filling the memory.
_MAX_CACHED_HOLDERS = 16_384


def _cache_holder(tables: MembershipTables, member: MemberId, entry: _CachedHolder) -> None:
    if len(tables.cached_holders) >= _MAX_CACHED_HOLDERS:
        tables.cached_holders.clear()
    tables.cached_holders[member] = entry
