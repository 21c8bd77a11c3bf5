"""What this VM knows about the era of the store's history."""

from collections.abc import Callable
from datetime import timedelta

from bramleyrill_base import Clock, log_event

from bramleyrill_core.history._revision import StoreRevision

# Era of a platform that does not tell one: its store is never restored.
NO_ERA = 0
# Fencing tokens hold the era above the revision, and JSON numbers are exact up to 2**53.
MAX_ERA = 2**20


class StoreHistory:
    """The newest era of the store that this VM knows, and since when.

    The store begins a new era when it is restored from a copy: it has lost what was written since
    the copy was made, and gives those revisions out again. So revisions, leases and answers of an
    earlier era prove nothing. Only the store's own answers change `era`; what other VMs tell
    (`hear`) is a reason to ask the store. `changes` counts the restores that this VM has noticed.
    `hooks` are called when the era changes or a newer one was heard of, but not for the first era.

    Example: `history.accept(3)` after an answer of era 3, then `history.known_for()`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.era = NO_ERA
        self.changes = 0
        self.hooks: list[Callable[[], None]] = []
        self._known_since = clock.monotonic()
        self._heard_era = NO_ERA
        self._heard_at = self._known_since

    def accept(self, era: int | None) -> bool:
        """Learn the era of an answer; return False if the answer belongs to an earlier one.

        An answer without an era is accepted as long as none has told one.
        """
        told = NO_ERA if era is None else era
        if told < self.era:
            log_event("store_answer_outdated", era=told, known_era=self.era)
            return False
        if told > self.era:
            self._begin(told)
        return True

    def hear(self, era: int, lasted: timedelta = timedelta()) -> None:
        """Note that another VM has known `era` for `lasted`; call the hooks if it is a newer one.

        A VM that has just started learns so that the era is not new.
        """
        began_at = self._clock.monotonic() - max(lasted, timedelta())
        if era == self.era:
            self._known_since = min(self._known_since, began_at)
        elif era == self._heard_era:
            self._heard_at = min(self._heard_at, began_at)
        elif era > max(self.era, self._heard_era):
            self._heard_era, self._heard_at = era, began_at
            if self.era != NO_ERA:
                self._call_hooks()

    def age_of(self, era: int) -> timedelta:
        """Return for how long `era` has lasted at least, or zero if this VM is in another one."""
        return self.known_for() if era == self.era else timedelta()

    def place(self, era: int | None, number: int) -> StoreRevision:
        """Return the revision that another VM tells; raise ValueError for one that cannot be.

        A VM of a build that tells no era is taken to be in this VM's, unless the store was restored
        since this VM started: then its number may be of either history, and counts as older.
        """
        if era is None:
            era = NO_ERA if self.changes else self.era
        if not 0 <= era <= MAX_ERA or number < 0:
            raise ValueError(f"no revision of a store: {era}:{number}")
        return StoreRevision(era, number)

    def known_for(self) -> timedelta:
        """Return for how long the era has lasted at least, as far as this VM knows."""
        return self._clock.monotonic() - self._known_since

    def _begin(self, era: int) -> None:
        was_heard = era == self._heard_era
        now = self._clock.monotonic()
        log_event("store_era_changed", era=era, earlier=self.era, heard=was_heard)
        is_first = self.era == NO_ERA
        self.era = era
        self._known_since = self._heard_at if was_heard else now
        if not is_first:
            self.changes += 1
            self._call_hooks()

    def _call_hooks(self) -> None:
        for hook in self.hooks:
            hook()
