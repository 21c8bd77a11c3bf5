"""Choice of holders by rendezvous hashing over the live VMs."""

import xxhash
from attrs import define

from bramleyrill_core._values import DatabaseId, MemberId, VmId
from bramleyrill_core._world import World
from bramleyrill_core.membership._view import MembershipTables, view_of


def live_vms(world: World, domain: str | None = None) -> list[VmId]:
    """Return the live VMs, of one failure domain or of all, sorted by id.

    Live are VMs that are alive or suspected; joining and leaving ones hold nothing.
    """
    live_by_domain = view_of(world).live_by_domain
    if domain is not None:
        return sorted(live_by_domain.get(domain, ()))
    return sorted(vm for live in live_by_domain.values() for vm in live)


def rendezvous_order(key: str, vms: list[VmId]) -> list[VmId]:
    """Return `vms` by rendezvous rank for `key`, first choice first."""
    return sorted(vms, key=lambda vm: (-_weight(vm, key), vm))


def _weight(vm: VmId, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{vm}|{key}".encode())


def holder_of(world: World, member: MemberId) -> VmId | None:
    """Return the VM that is to own the pooled connections to `member`, or None.

    It is the first choice by rendezvous among the live VMs of the member's failure domain, or
    among all live VMs when the domain has none. Views differ between VMs; the lock at the member
    decides. Raises KeyError for a member that the text does not have.
    """
    tables = view_of(world)
    domain = _domain_of(world, member)
    live = tables.live_by_domain.get(domain)
    version = tables.versions_by_domain.get(domain, 0) if live else -1 - tables.version
    known = tables.holders.get(member)
    if known is not None and known.domain == domain:
        if known.version == version:
            return known.vm
        if live and known.version >= 0 and _catch_up(tables, known, member, version):
            return known.vm
    vms = live or [vm for others in tables.live_by_domain.values() for vm in others]
    weight, vm = max(((_weight(vm, member), vm) for vm in vms), default=(0, None))
    _remember(tables, member, _Choice(domain, version, weight, vm))
    return vm


@define
class _Choice:
    """A remembered holder; a negative version is one of the whole view, not of the domain."""

    domain: str
    version: int
    weight: int
    vm: VmId | None


def _catch_up(tables: MembershipTables, known: _Choice, member: MemberId, version: int) -> bool:
    """Follow the domain's changes since the choice; tell whether that was possible.

    The holder's own death needs a new choice; any other change at most one hash.
    """
    changes = tables.changes_by_domain[known.domain]
    if changes[0][0] > known.version + 1:
        return False
    for changed_at, vm, added in reversed(changes):
        if changed_at <= known.version:
            break
        if vm == known.vm:
            return False
        live = tables.live_by_domain[known.domain]
        if added and vm in live and (_weight(vm, member), vm) > (known.weight, known.vm):
            known.weight, known.vm = _weight(vm, member), vm
    known.version = version
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


# Beyond the 5,400 members of the largest planned text, so that members removed from the text
# cannot fill the memory.
_HOLDERS_LIMIT = 16_384


def _remember(tables: MembershipTables, member: MemberId, entry: _Choice) -> None:
    if len(tables.holders) >= _HOLDERS_LIMIT:
        tables.holders.clear()
    tables.holders[member] = entry
