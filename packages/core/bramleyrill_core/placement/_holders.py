"""Which VM is asked to hold the pooled connections to a member.

Nothing depends on all VMs agreeing: a VM that is asked holds connections, and members enforce
their limits. Agreement only keeps the connections to a member few.
"""

from datetime import timedelta

from bramleyrill_core._values import VmId
from bramleyrill_core.catalog._model import MemberEntry
from bramleyrill_core.membership._holders import rendezvous_order
from bramleyrill_core.placement._vms import VmTable

# So many VMs of a failure domain follow the platform closely; the others learn from them when
# their own connection to it went silent.
CLOSE_WATCHERS = 2


def watches_closely(vms: VmTable, now: timedelta) -> bool:
    """Tell whether this VM is one of its failure domain's close watchers of the platform."""
    near = [VmId(vm.id) for vm in vms.usable(now) if vm.domain == vms.own.domain]
    return VmId(vms.own.id) in rendezvous_order("watch", near)[:CLOSE_WATCHERS]


def holder_candidates(vms: VmTable, member: MemberEntry, now: timedelta) -> list[str]:
    """Return the VMs to ask for work at `member`, first choice first.

    These are the usable VMs of the member's failure domain in rendezvous order, and at the end
    this VM, which goes to the member itself if it reaches none of them.
    """
    near = [VmId(vm.id) for vm in vms.usable(now) if vm.domain == member.domain]
    ordered = [str(vm) for vm in rendezvous_order(member.id, near)]
    return ordered if vms.own.id in ordered else [*ordered, vms.own.id]
