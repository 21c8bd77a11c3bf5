"""Which VM is asked to hold the pooled connections to a member.

Nothing depends on all VMs agreeing: a VM that is asked holds connections, and members enforce
their limits. Agreement only keeps the connections to a member few.
"""

from bramleyrill_core._values import VmId
from bramleyrill_core.catalog._model import MemberEntry
from bramleyrill_core.membership._holders import rendezvous_order
from bramleyrill_core.placement._vms import VmEntry, VmTable

# So many VMs of a failure domain follow the platform closely; the others learn from them when
# their own connection to it went silent.
CLOSE_WATCHERS = 2
# A VM that does not reach so many of a member's first choices is taken to be cut off from them. To
# try the others one by one would cost its callers a timeout for each.
CUT_OFF_AFTER = 3


def watches_closely(vms: VmTable) -> bool:
    """Tell whether this VM is one of its failure domain's close watchers of the platform."""
    near = [VmId(vm.id) for vm in vms.usable() if vm.domain == vms.own.domain]
    return VmId(vms.own.id) in rendezvous_order("watch", near)[:CLOSE_WATCHERS]


def holder_candidates(vms: VmTable, member: MemberEntry) -> list[str]:
    """Return the VMs to ask for work at `member`, first choice first.

    These are the usable VMs of the member's failure domain in rendezvous order, and at the end
    this VM, which goes to the member itself if it reaches none of them or seems to be cut off.
    """
    own = vms.own
    near = {
        VmId(row.entry.id): row.usable for row in vms.not_leaving() if _is_near(row.entry, member)
    }
    if _is_near(own, member) and not own.leaving:
        near[VmId(own.id)] = True
    ordered = rendezvous_order(member.id, list(near))
    usable = [str(vm) for vm in ordered if near[vm]]
    if len(ordered) >= CUT_OFF_AFTER and not any(near[vm] for vm in ordered[:CUT_OFF_AFTER]):
        return [own.id]
    return usable if own.id in usable else [*usable, own.id]


def _is_near(vm: VmEntry, member: MemberEntry) -> bool:
    return vm.domain == member.domain
