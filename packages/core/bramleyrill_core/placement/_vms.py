"""The other VMs of the system, as far as this one knows and reaches them."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, frozen
from bramleyrill_base import Table

from bramleyrill_core.catalog._model import Address

# A VM that failed gets no work until it answers a ping. It is pinged after this long, and after
# twice as long each time it fails again.
FIRST_SUSPENSION = timedelta(milliseconds=500)
LONGEST_SUSPENSION = timedelta(seconds=4)
# A VM that nobody reached for this long is forgotten.
FORGET_AFTER = timedelta(seconds=60)


@frozen
class VmEntry:
    """A VM: its failure domain, its address for peers, its start, and whether it is leaving.

    `started_ms` is the time of day of its start in Unix milliseconds; a later start replaces
    what is known of an earlier one.
    """

    id: str
    domain: str
    address: Address
    started_ms: int
    leaving: bool = False


@define(eq=False)
class VmRow:
    """A VM and how it answered lately."""

    entry: VmEntry
    heard_at: timedelta
    failures: int = 0
    suspended_until: timedelta = timedelta()

    @property
    def usable(self) -> bool:
        """Tell whether new work may be sent to the VM."""
        return not self.entry.leaving and not self.failures

    def due_for_probe(self, now: timedelta) -> bool:
        """Tell whether the VM failed and may be asked again whether it is there."""
        return bool(self.failures) and now >= self.suspended_until


class VmTable:
    """VMs by id, this one included; `version` changes with every entry."""

    def __init__(self, own: VmEntry) -> None:
        self.own = own
        self.vms: Table[str, VmRow] = Table()
        self.version = 0

    def update(self, entry: VmEntry, now: timedelta) -> bool:
        """Take over an entry; tell whether it is news."""
        if entry.id == self.own.id:
            return False
        row = self.vms.get(entry.id)
        if row is not None and (entry.started_ms, entry.leaving) <= (
            row.entry.started_ms,
            row.entry.leaving,
        ):
            return False
        self.vms.add(entry.id, VmRow(entry, now))
        self.version += 1
        return True

    def update_all(self, entries: Iterable[VmEntry], now: timedelta) -> list[VmEntry]:
        """Take over several entries; return those that are news."""
        return [entry for entry in entries if self.update(entry, now)]

    def record_answer(self, vm: str, now: timedelta) -> None:
        """Note that a VM answered."""
        row = self.vms.get(vm)
        if row is not None:
            row.heard_at = now
            row.failures = 0
            row.suspended_until = timedelta()

    def record_failure(self, vm: str, now: timedelta) -> None:
        """Note that a VM could not be reached or went silent."""
        row = self.vms.get(vm)
        if row is None:
            return
        pause = min(FIRST_SUSPENSION * 2**row.failures, LONGEST_SUSPENSION)
        row.failures = min(row.failures + 1, 8)
        row.suspended_until = now + pause

    def remove_silent(self, now: timedelta) -> list[str]:
        """Drop the VMs that have been silent for very long; return their ids."""
        gone = [row.entry.id for row in self.vms if now - row.heard_at > FORGET_AFTER]
        for vm in gone:
            self.vms.remove(vm)
            self.version += 1
        return gone

    def usable(self) -> list[VmEntry]:
        """Return the VMs that take work, this one included unless it is leaving."""
        found = [row.entry for row in self.vms if row.usable]
        return found if self.own.leaving else [*found, self.own]

    def not_leaving(self) -> list[VmRow]:
        """Return the other VMs that are not leaving, reached or not."""
        return [row for row in self.vms if not row.entry.leaving]

    def due_for_probe(self, now: timedelta) -> list[str]:
        """Return the VMs that failed and are to be asked again whether they are there."""
        return [row.entry.id for row in self.vms if row.due_for_probe(now)]

    def entries(self) -> list[VmEntry]:
        """Return all known VMs, this one included."""
        return [self.own, *(row.entry for row in self.vms)]
