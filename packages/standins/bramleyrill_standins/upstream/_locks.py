"""Session advisory locks."""

from collections import defaultdict

EXCLUSIVE = "ExclusiveLock"
SHARED = "ShareLock"


class AdvisoryLocks:
    """Advisory locks by (key, mode, pid), counted like those of PostgreSQL; nothing ever waits."""

    def __init__(self) -> None:
        self._counts_by_lock: dict[tuple[int, str], dict[int, int]] = defaultdict(dict)

    def try_lock(self, pid: int, key: int, shared: bool = False) -> bool:
        """Acquire the lock; return False if another session holds it in a conflicting mode."""
        conflicting_modes = [EXCLUSIVE] if shared else [EXCLUSIVE, SHARED]
        if any(
            other != pid for mode in conflicting_modes for other in self._counts_by_lock[key, mode]
        ):
            return False
        holders = self._counts_by_lock[key, SHARED if shared else EXCLUSIVE]
        holders[pid] = holders.get(pid, 0) + 1
        return True

    def unlock(self, pid: int, key: int, shared: bool = False) -> bool:
        """Release the lock once; return False when the session does not hold it."""
        holders = self._counts_by_lock[key, SHARED if shared else EXCLUSIVE]
        if pid not in holders:
            return False
        holders[pid] -= 1
        if not holders[pid]:
            del holders[pid]
        return True

    def release_all(self, pid: int) -> None:
        """Release every lock of a session."""
        for holders in self._counts_by_lock.values():
            holders.pop(pid, None)

    def rows(self) -> list[tuple[str, int, int, int, int, int, str, int]]:
        """Return the rows of `pg_locks`."""
        return [
            ("advisory", 1, key >> 32 & 0xFFFFFFFF, key & 0xFFFFFFFF, 1, pid, mode, 1)
            for (key, mode), holders in self._counts_by_lock.items()
            for pid in holders
        ]
