"""Choice of the VMs that follow the platform's store for their failure domain.

This answers the load of many VMs: each change is delivered to a few of them only, and the others
learn of it from them. So a VM that cannot hear the store must not stay one of those few.
"""

from datetime import timedelta

from bramleyrill_core._rendezvous import rendezvous_order
from bramleyrill_core._values import VmId
from bramleyrill_core.placement._slow_vms import slow_vms
from bramleyrill_core.placement._vms import VmTable

# Number of VMs per failure domain that watch the platform; the others learn from their peers. Two,
# so that the domain is served until the loss of one is noticed.
WATCHERS_PER_DOMAIN = 2
# A VM without an answer of a peer for this long watches the platform itself.
ISOLATED_AFTER_SILENCE = timedelta(seconds=3)

_CACHE_KEY = "watchers"


def watches_platform(vms: VmTable, now: timedelta) -> bool:
    """Return whether this VM watches the platform: as one of its domain's, or being alone."""
    if vms.own.id in domain_watchers(vms):
        return True
    return all(now - row.last_answer_at > ISOLATED_AFTER_SILENCE for row in vms.not_leaving())


def domain_watchers(vms: VmTable) -> list[str]:
    """Return the ids of the VMs that watch the platform for this VM's failure domain.

    A slow VM would tell its domain of each change late, and one that has lost the store not at all.
    If nobody in the domain hears the store, those that would watch otherwise go on trying.
    """
    watchers = vms.cache.get(_CACHE_KEY)
    if watchers is None:
        watchers = vms.cache[_CACHE_KEY] = _choose(vms)
    return watchers


def _choose(vms: VmTable) -> list[str]:
    passed_by = slow_vms(vms)
    here = [vm for vm in vms.usable() if vm.domain == vms.own.domain and vm.id not in passed_by]
    hearing = [vm for vm in here if not vm.store_lost]
    ids = [VmId(vm.id) for vm in hearing or here]
    return [str(vm) for vm in rendezvous_order("watch", ids)[:WATCHERS_PER_DOMAIN]]
