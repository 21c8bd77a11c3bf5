"""When a restarted VM may lend its fractions, instead of waiting for a whole lock.

Answers the load after many VMs restart at once: all callers are back, and no tokens are left. What
an earlier process of this VM lent can be in use only at VMs that ran before; each of them is asked
to drop it and tells for how long tokens may last that were granted from it.
"""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field


@define
class Recall:
    """Answers of the other VMs to a restarted VM.

    Example: `recall.record("vm2", now + left)`, then `recall.unlocked_at({"vm2"})`.
    """

    _unlocked_by_vm: dict[str, timedelta] = field(factory=dict)

    def record(self, vm: str, unlocked_at: timedelta) -> None:
        """Record until when tokens may last that a VM holds or has granted from an old lend."""
        self._unlocked_by_vm[vm] = unlocked_at

    def missing(self, vms: Iterable[str]) -> list[str]:
        """Return the VMs that have not answered yet."""
        return [vm for vm in vms if vm not in self._unlocked_by_vm]

    def unlocked_at(self, vms: Iterable[str]) -> timedelta | None:
        """Return when the fractions may be lent; None while a VM has not answered."""
        vms = list(vms)
        if self.missing(vms):
            return None
        return max((self._unlocked_by_vm[vm] for vm in vms), default=timedelta())
