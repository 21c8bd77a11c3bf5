"""Which of the VMs that call themselves slow are passed by, and what a slow one may give up.

This answers the load of slow VMs: work moves to the others as long as enough of them are left.
All VMs that know the same entries agree, so that a member has one holder.
"""

from collections import defaultdict

from bramleyrill_core.placement._vms import VmEntry, VmTable

# At most one VM in this many is passed by, of all VMs and of a failure domain. If more of them are
# slow the cause is common to them, and moving their work would overload the rest.
VMS_FOR_EACH_SLOW = 4
DOMAIN_VMS_FOR_EACH_SLOW = 3
# At least this part of a domain stays in rotation at the balancer.
MIN_SHARE_IN_ROTATION = 0.5
# A VM beyond this is as late as any; a peer may tell no more.
MAX_SLOW_MS = 60_000

_CACHE_KEY = "slow"


def slow_vms(vms: VmTable) -> frozenset[str]:
    """Return the ids of the VMs that are passed by: the slowest of those that call themselves so.

    A domain's only VM is never passed by.
    """
    cached = vms.cache.get(_CACHE_KEY)
    if cached is None:
        is_any_slow = vms.own.slow_ms > 0 or any(row.entry.slow_ms for row in vms.vms)
        cached = _choose(vms.usable()) if is_any_slow else frozenset()
        vms.cache[_CACHE_KEY] = cached
    return cached


def may_be_marked(vms: VmTable) -> bool:
    """Return whether this VM may call itself slow beside those that are passed by already."""
    usable = vms.usable()
    marked = slow_vms(vms) - {vms.own.id}
    domain = [vm.id for vm in usable if vm.domain == vms.own.domain]
    marked_here = marked.intersection(domain)
    return len(marked) < _bound(len(usable)) and len(marked_here) < _domain_bound(len(domain))


def may_leave_rotation(vms: VmTable) -> bool:
    """Return whether this VM, being slow, may tell the balancer that it is not ready.

    At least half of the VMs of its domain, as far as it knows, stay ready without it.
    """
    here = vms.own.domain
    known = 1 + sum(row.entry.domain == here for row in vms.not_leaving())
    ready = sum(vm.domain == here and not vm.slow_ms and vm.id != vms.own.id for vm in vms.usable())
    return ready > 0 and ready >= known * MIN_SHARE_IN_ROTATION


def _choose(usable: list[VmEntry]) -> frozenset[str]:
    slow = [vm for vm in usable if vm.slow_ms > 0]
    vms_by_domain: dict[str, int] = defaultdict(int)
    for vm in usable:
        vms_by_domain[vm.domain] += 1
    chosen_by_domain: dict[str, int] = defaultdict(int)
    chosen: list[str] = []
    for vm in sorted(slow, key=lambda vm: (-vm.slow_ms, vm.id)):
        if len(chosen) >= _bound(len(usable)):
            break
        if chosen_by_domain[vm.domain] < _domain_bound(vms_by_domain[vm.domain]):
            chosen_by_domain[vm.domain] += 1
            chosen.append(vm.id)
    return frozenset(chosen)


def _bound(vms: int) -> int:
    return max(vms // VMS_FOR_EACH_SLOW, 1) if vms > 1 else 0


def _domain_bound(vms: int) -> int:
    return max(vms // DOMAIN_VMS_FOR_EACH_SLOW, 1) if vms > 1 else 0
