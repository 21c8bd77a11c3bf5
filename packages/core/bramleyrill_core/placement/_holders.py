"""Choice of the VM that holds the pooled connections to a member.

Correctness does not depend on all VMs agreeing: a VM that gets a request opens connections, and
members enforce their limits. Agreement only keeps the number of connections to a member low.

This answers the load of many statements on VMs that differ: a VM holds members in proportion to its
capacity, and one that is slow gets no new work as a holder while others are left.
"""

from bramleyrill_core._rendezvous import weighted_rendezvous_order
from bramleyrill_core._values import VmId
from bramleyrill_core.catalog._model import MemberEntry
from bramleyrill_core.placement._capacity import holding_weight
from bramleyrill_core.placement._slow_vms import slow_vms
from bramleyrill_core.placement._vms import VmEntry, VmTable

# A VM that finds this many first candidates of a member unusable is assumed to be cut off from
# that domain. Trying the others one by one would cost its callers a timeout for each.
ISOLATED_AFTER_UNUSABLE = 3
# More members than a VM sends work to; those that left are forgotten with the next change of a VM.
MAX_CACHED_MEMBERS = 10_000


def holder_candidates(vms: VmTable, member: MemberEntry) -> list[str]:
    """Return the ids of the VMs to send work at `member` to, in order of preference.

    These are the usable VMs of the member's failure domain in weighted rendezvous hash order, those
    that are slow behind the others, followed by this VM, which connects to the member itself if
    none of them is usable. If this VM seems to be cut off from the domain, only its own id is
    returned. The result is kept until the table changes; callers must not change it.
    """
    cache_key = member.id, member.domain
    candidates = vms.cache.get(cache_key)
    if candidates is None:
        if len(vms.cache) > MAX_CACHED_MEMBERS:
            vms.cache.clear()
        candidates = vms.cache[cache_key] = _compute_candidates(vms, member)
    return candidates


def _compute_candidates(vms: VmTable, member: MemberEntry) -> list[str]:
    own = vms.own
    in_domain = [row for row in vms.not_leaving() if _is_in_domain_of(row.entry, member)]
    usable_by_vm = {VmId(row.entry.id): row.usable for row in in_domain}
    weight_by_vm = {VmId(row.entry.id): holding_weight(row.entry.capacity) for row in in_domain}
    if _is_in_domain_of(own, member) and not own.leaving:
        usable_by_vm[VmId(own.id)] = True
        weight_by_vm[VmId(own.id)] = holding_weight(own.capacity)
    ordered = weighted_rendezvous_order(member.id, weight_by_vm)
    if len(ordered) >= ISOLATED_AFTER_UNUSABLE and not any(
        usable_by_vm[vm] for vm in ordered[:ISOLATED_AFTER_UNUSABLE]
    ):
        return [own.id]
    passed_by = slow_vms(vms)
    usable = [str(vm) for vm in ordered if usable_by_vm[vm]]
    # A stable sort: within both groups the order stays.
    usable.sort(key=passed_by.__contains__)
    return usable if own.id in usable else [*usable, own.id]


def _is_in_domain_of(vm: VmEntry, member: MemberEntry) -> bool:
    return vm.domain == member.domain
