"""Entries of VMs that changed a moment ago, which are passed on until every VM has them.

This answers the load of many VMs: pings reach a few random VMs each, which alone takes seconds to
tell all that one of them is slow.
"""

from datetime import timedelta

from bramleyrill_core.placement._vms import VmEntry, VmTable

# With a few pings a VM and second, an entry that is passed on this long reaches all VMs.
NEWS_LIFE = timedelta(seconds=4)
# Entries that one frame carries at most; newer ones first.
MAX_NEWS = 16


class VmNews:
    """Ids of VMs whose entries changed in a way to pass on, by the time of the change."""

    def __init__(self) -> None:
        self._changed_at_by_vm: dict[str, timedelta] = {}

    def record(self, vm: str, now: timedelta) -> None:
        """Record that a VM's entry changed."""
        self._changed_at_by_vm.pop(vm, None)
        self._changed_at_by_vm[vm] = now

    def current(self, vms: VmTable, now: timedelta) -> list[VmEntry]:
        """Return the entries to pass on."""
        changed_at = self._changed_at_by_vm
        if not changed_at:
            return []
        for vm in [vm for vm, at in changed_at.items() if now - at > NEWS_LIFE]:
            del changed_at[vm]
        rows = (vms.vms.get(vm) for vm in list(changed_at)[: -MAX_NEWS - 1 : -1])
        return [row.entry for row in rows if row is not None]


def is_news(earlier: VmEntry | None, entry: VmEntry, domain: str) -> bool:
    """Return whether a newer entry is to be passed on by a VM of a failure domain.

    It is if a running VM became slow or fine, and in its own domain, whose watchers depend on it,
    if it lost or regained the store.
    """
    if earlier is None or earlier.started_ms != entry.started_ms:
        return False
    if bool(earlier.slow_ms) is not bool(entry.slow_ms):
        return True
    return entry.domain == domain and earlier.store_lost is not entry.store_lost
