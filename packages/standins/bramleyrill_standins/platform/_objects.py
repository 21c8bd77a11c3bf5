"""State of the platform: objects under one version counter, and VMs seen with a lag."""

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
    """Hold objects by (kind, name) with conditional updates and watches."""

    def __init__(self) -> None:
        self.version = 0
        self.by_id: dict[tuple[str, str], StoredObject] = {}
        self.writes: Counter[str] = Counter()
        self._changed = Event()

    def put(self, kind: str, name: str, expected: int, value: Any) -> StoredObject | None:
        """Store the value if the object has version `expected`; return None if it has not."""
        found = self.by_id.get((kind, name))
        if expected != (found.version if found else 0):
            return None
        self.version += 1
        stored = self.by_id[kind, name] = StoredObject(self.version, value)
        self.writes[kind] += 1
        self._changed.set()
        self._changed.clear()
        return stored

    def newer(self, kind: str, after: int) -> dict[str, StoredObject]:
        """Return the objects of a kind stored after a version."""
        return {
            name: stored
            for (found, name), stored in self.by_id.items()
            if found == kind and stored.version > after
        }

    def wait_for_newer(self, kind: str, after: int, timeout: float) -> dict[str, StoredObject]:
        """Return as `newer` does, as soon as there is one or the time is over."""
        end = time.monotonic() + timeout
        while True:
            found = self.newer(kind, after)
            left = end - time.monotonic()
            if found or left <= 0:
                return found
            self._changed.wait(left)


class VmList:
    """The list of VMs as readers see it: changes appear after `lag` seconds.

    Example: `vms.change("vm-1", {"domain": "ege-a", "state": "leaving"})`.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        self.lag = 0.0
        self._monotonic = monotonic
        self._changes: list[tuple[float, str, dict[str, Any] | None]] = []
        self._shown: dict[str, dict[str, Any]] = {}

    def change(self, vm: str, fields: dict[str, Any] | None) -> None:
        """Change fields of a VM, add it, or remove it with None."""
        self._changes.append((self._monotonic(), vm, fields))

    def shown(self) -> list[dict[str, Any]]:
        """Return the VMs as readers see them now."""
        limit = self._monotonic() - self.lag
        while self._changes and self._changes[0][0] <= limit:
            _, vm, fields = self._changes.pop(0)
            if fields is None:
                self._shown.pop(vm, None)
            else:
                self._shown.setdefault(vm, {"id": vm}).update(fields)
        return list(self._shown.values())
