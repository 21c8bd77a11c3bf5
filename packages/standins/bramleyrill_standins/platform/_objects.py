"""State of the platform: objects under one version counter, and the VM list with its lag."""

import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from attrs import frozen
from gevent.event import Event


@frozen
class StoredObject:
    """A value and the version at which it was stored."""

    version: int
    value: Any


class ObjectStore:
    """Objects by (kind, name) with conditional updates and watches; `writes` counts by kind."""

    def __init__(self) -> None:
        self.version = 0
        self.by_id: dict[tuple[str, str], StoredObject] = {}
        self.writes: Counter[str] = Counter()
        self._changed = Event()

    def put(self, kind: str, name: str, expected: int, value: Any) -> StoredObject | None:
        """Store the value if the object's version is `expected`, 0 if absent; else return None."""
        current = self.by_id.get((kind, name))
        if expected != (current.version if current else 0):
            return None
        self.version += 1
        stored = self.by_id[kind, name] = StoredObject(self.version, value)
        self.writes[kind] += 1
        self._changed.set()
        self._changed.clear()
        return stored

    def newer_than(self, kind: str, after: int) -> dict[str, StoredObject]:
        """Return the objects of a kind that were stored after a version."""
        return {
            name: stored
            for (stored_kind, name), stored in self.by_id.items()
            if stored_kind == kind and stored.version > after
        }

    def wait_for_newer(self, kind: str, after: int, timeout: float) -> dict[str, StoredObject]:
        """Wait for objects newer than a version; return them, or none after `timeout` seconds."""
        end = time.monotonic() + timeout
        while True:
            newer = self.newer_than(kind, after)
            remaining_s = end - time.monotonic()
            if newer or remaining_s <= 0:
                return newer
            self._changed.wait(remaining_s)


class VmList:
    """The list of VMs; changes become visible after `lag` seconds.

    Example: `vms.change("vm-1", {"domain": "ege-a", "state": "leaving"})`.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        self.lag = 0.0
        self._monotonic = monotonic
        self._changes: list[tuple[float, str, dict[str, Any] | None]] = []
        self._visible_by_id: dict[str, dict[str, Any]] = {}

    def change(self, vm: str, fields: dict[str, Any] | None) -> None:
        """Add a VM or change its fields; None removes it."""
        self._changes.append((self._monotonic(), vm, fields))

    def visible_vms(self) -> list[dict[str, Any]]:
        """Return the VMs that are visible now."""
        limit = self._monotonic() - self.lag
        while self._changes and self._changes[0][0] <= limit:
            _, vm, fields = self._changes.pop(0)
            if fields is None:
                self._visible_by_id.pop(vm, None)
            else:
                self._visible_by_id.setdefault(vm, {"id": vm}).update(fields)
        return list(self._visible_by_id.values())
