"""The VMs of the system that this VM knows, and whether they are reachable."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from attrs import define, evolve, frozen
from bramleyrill_base import Table

from bramleyrill_core.catalog._model import Address
from bramleyrill_core.placement._capacity import UNKNOWN_CAPACITY

# A VM that failed gets no work until it answers a ping. It is pinged after this time, which doubles
# with each further failure.
MIN_SUSPENSION = timedelta(milliseconds=500)
MAX_SUSPENSION = timedelta(seconds=4)
# A peer that tells more has not counted its own changes, and would hide all that follow.
MAX_SEQUENCE = 1_000_000_000
# A VM that has not answered for this long is removed from the table.
REMOVE_AFTER_SILENCE = timedelta(seconds=60)


@frozen
class VmEntry:
    """Identity of a VM, with its failure domain and its address for peers.

    `started_ms` is its start time in Unix milliseconds; the entry with the later one replaces the
    other. `leaving` is set when the VM is about to stop. `capacity` is in thousandths of a core, 0
    if unknown. `slow_ms` is 0, or by how much the VM was late when it judged itself slow.
    `store_lost` is set while the store does not answer it. `sequence` grows each time the VM
    changes one of the two, so that an earlier value never replaces a later one.
    """

    id: str
    domain: str
    address: Address
    started_ms: int
    leaving: bool = False
    capacity: int = UNKNOWN_CAPACITY
    slow_ms: int = 0
    sequence: int = 0
    store_lost: bool = False

    @property
    def age_key(self) -> tuple[int, bool, int]:
        """Return what orders the entries of a VM in time: a VM that leaves does not stay."""
        return self.started_ms, self.leaving, self.sequence


@define(eq=False)
class VmRow:
    """A VM and its recent reachability."""

    entry: VmEntry
    last_answer_at: timedelta
    failures: int = 0
    suspended_until: timedelta = timedelta()

    @property
    def usable(self) -> bool:
        """Return whether new work may be sent to the VM."""
        return not self.entry.leaving and not self.failures

    def due_for_probe(self, now: timedelta) -> bool:
        """Return whether the VM failed and its next ping is due."""
        return bool(self.failures) and now >= self.suspended_until


class VmTable:
    """Other VMs by id, and the entry of this VM.

    `version` grows with each change of an entry and each time a VM becomes usable or unusable, so
    that what is computed from the table can be cached: `cache` is emptied at each growth.
    """

    def __init__(self, own: VmEntry) -> None:
        self._own = own
        self.vms: Table[str, VmRow] = Table()
        self.version = 0
        self.cache: dict[Any, Any] = {}

    @property
    def own(self) -> VmEntry:
        """Return the entry of this VM."""
        return self._own

    @own.setter
    def own(self, entry: VmEntry) -> None:
        self._own = entry
        self._record_change()

    def update(self, entry: VmEntry, now: timedelta) -> bool:
        """Store an entry; return whether it is new or newer than the stored one."""
        if entry.id == self.own.id:
            return False
        row = self.vms.get(entry.id)
        if row is not None and entry.age_key <= row.entry.age_key:
            return self._learn_capacity(row, entry)
        if row is not None and entry.started_ms == row.entry.started_ms:
            # The process is the same; what a third VM tells of it doesn't make it reachable.
            row.entry = entry
        else:
            self.vms.add(entry.id, VmRow(entry, now))
        self._record_change()
        return True

    def update_all(self, entries: Iterable[VmEntry], now: timedelta) -> list[VmEntry]:
        """Store several entries; return those that are new or newer than the stored ones."""
        return [entry for entry in entries if self.update(entry, now)]

    def record_answer(self, vm: str, now: timedelta) -> None:
        """Record that a VM answered."""
        row = self.vms.get(vm)
        if row is None:
            return
        row.last_answer_at = now
        if row.failures:
            row.failures = 0
            row.suspended_until = timedelta()
            self._record_change()

    def record_failure(self, vm: str, now: timedelta) -> None:
        """Record that a VM could not be reached or stopped answering."""
        row = self.vms.get(vm)
        if row is None:
            return
        if not row.failures:
            self._record_change()
        suspension = min(MIN_SUSPENSION * 2**row.failures, MAX_SUSPENSION)
        row.failures = min(row.failures + 1, 8)
        row.suspended_until = now + suspension

    def remove_silent(self, now: timedelta) -> list[str]:
        """Remove the VMs that have not answered for `REMOVE_AFTER_SILENCE`; return their ids."""
        removed = [
            row.entry.id for row in self.vms if now - row.last_answer_at > REMOVE_AFTER_SILENCE
        ]
        for vm in removed:
            self.vms.remove(vm)
            self._record_change()
        return removed

    def usable(self) -> list[VmEntry]:
        """Return the VMs that accept work, including this one unless it is leaving."""
        usable = [row.entry for row in self.vms if row.usable]
        return usable if self.own.leaving else [*usable, self.own]

    def not_leaving(self) -> list[VmRow]:
        """Return the other VMs that are not leaving, reachable or not."""
        return [row for row in self.vms if not row.entry.leaving]

    def due_for_probe(self, now: timedelta) -> list[str]:
        """Return the ids of the VMs that failed and whose next ping is due."""
        return [row.entry.id for row in self.vms if row.due_for_probe(now)]

    def entries(self) -> list[VmEntry]:
        """Return all known VMs, including this one."""
        return [self.own, *(row.entry for row in self.vms)]

    def _learn_capacity(self, row: VmRow, entry: VmEntry) -> bool:
        """Take a capacity that a VM of an older build left out when it told of the same process."""
        is_same_process = entry.started_ms == row.entry.started_ms
        if row.entry.capacity or not entry.capacity or not is_same_process:
            return False
        row.entry = evolve(row.entry, capacity=entry.capacity)
        self._record_change()
        return True

    def _record_change(self) -> None:
        self.version += 1
        self.cache.clear()
