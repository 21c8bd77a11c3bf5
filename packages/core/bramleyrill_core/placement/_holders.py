"""Choice of the VM that holds the pooled connections to a member.

Correctness does not depend on all VMs agreeing: a VM that gets a request opens connections, and
members enforce their limits. Agreement only keeps the number of connections to a member low.
"""

from datetime import timedelta

from bramleyrill_core._rendezvous import rendezvous_order
from bramleyrill_core._values import VmId
from bramleyrill_core.catalog._model import MemberEntry
from bramleyrill_core.placement._vms import VmEntry, VmTable

# Number of VMs per failure domain that watch the platform; the others learn from their peers. Two,
# so that the domain is served while the platform turns one away.
WATCHERS_PER_DOMAIN = 2
# A VM without an answer of a peer for this long watches the platform itself.
ISOLATED_AFTER_SILENCE = timedelta(seconds=3)
# A VM that finds this many first candidates of a member unusable is assumed to be cut off from
# that domain. Trying the others one by one would cost its callers a timeout for each.
ISOLATED_AFTER_UNUSABLE = 3


def watches_platform(vms: VmTable, now: timedelta) -> bool:
    """Return whether this VM watches the platform, as one of its domain's or because it is alone.

    This answers the load of many VMs: each change is delivered to a few of them only.
    """
    same_domain = [VmId(vm.id) for vm in vms.usable() if vm.domain == vms.own.domain]
    if VmId(vms.own.id) in rendezvous_order("watch", same_domain)[:WATCHERS_PER_DOMAIN]:
        return True
    return all(now - row.last_answer_at > ISOLATED_AFTER_SILENCE for row in vms.not_leaving())


def holder_candidates(vms: VmTable, member: MemberEntry) -> list[str]:
    """Return the ids of the VMs to send work at `member` to, in order of preference.

    These are the usable VMs of the member's failure domain in rendezvous hash order, followed by
    this VM, which connects to the member itself if none of them is usable. If this VM seems to
    be cut off from the domain, only its own id is returned.
    """
    own = vms.own
    usable_by_vm = {
        VmId(row.entry.id): row.usable
        for row in vms.not_leaving()
        if _is_in_domain_of(row.entry, member)
    }
    if _is_in_domain_of(own, member) and not own.leaving:
        usable_by_vm[VmId(own.id)] = True
    ordered = rendezvous_order(member.id, list(usable_by_vm))
    usable = [str(vm) for vm in ordered if usable_by_vm[vm]]
    if len(ordered) >= ISOLATED_AFTER_UNUSABLE and not any(
        usable_by_vm[vm] for vm in ordered[:ISOLATED_AFTER_UNUSABLE]
    ):
        return [own.id]
    return usable if own.id in usable else [*usable, own.id]


def _is_in_domain_of(vm: VmEntry, member: MemberEntry) -> bool:
    return vm.domain == member.domain
