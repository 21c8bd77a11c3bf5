"""The fraction of each limit that a VM owns: one over the number of registered VMs.

Answers the load on a VM that is cut off: it goes on with its own fraction, and no other VM uses it.
"""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from bramleyrill_core.limits._terms import LOCK, REPORT_INTERVAL

# A VM is counted until no listing of the store has named it for this long. A restart after a
# planned stop is shorter, so the count stays as it is.
ABSENCE = timedelta(minutes=10)
# A newly registered VM stops to wait for a listed one that has not answered for this long.
SILENCE = timedelta(seconds=30)
# Until the others lend smaller fractions, and neither an earlier lend nor a grant from it is left.
COUNTED_DELAY = LOCK + REPORT_INTERVAL


@define
class VmCount:
    """Counts VMs; the count rises at once and falls only after a long absence from the store.

    A VM owns nothing until it has a complete listing that is newer than its own registration.
    If its id was not in the store before, the others have to count it first: it waits until each
    listed VM has answered it, or is silent for `SILENCE`, and then for the longest lend.
    """

    own: str
    _seen_at: dict[str, timedelta] = field(factory=dict)
    _unconfirmed: set[str] = field(factory=set)
    _listed_at: timedelta | None = None
    _confirmed_at: timedelta | None = None
    _last_listing_at: timedelta | None = None
    _had_to_wait: bool = False

    @property
    def total(self) -> int:
        """Return the number of counted VMs, this one included."""
        return len(self._seen_at.keys() | {self.own})

    @property
    def others(self) -> list[str]:
        """Return the counted VMs without this one."""
        return sorted(self._seen_at.keys() - {self.own})

    @property
    def was_restarted(self) -> bool:
        """Return whether an earlier process of this VM was registered, as the listing showed."""
        return self._listed_at is not None and not self._had_to_wait

    @property
    def needs_listing(self) -> bool:
        """Return whether no complete listing newer than the registration was recorded yet."""
        return self._listed_at is None

    def hear(self, vms: Iterable[str], now: timedelta) -> None:
        """Count VMs that a peer told of or that are in touch."""
        for vm in vms:
            self._seen_at[vm] = now

    def list_stale(self, vms: Iterable[str], now: timedelta) -> None:
        """Record a listing that may be seconds old; VMs absent for long leave the count."""
        self.hear(vms, now)
        previous, self._last_listing_at = self._last_listing_at, now
        if previous is None or now - previous > ABSENCE / 2:
            # After an outage of the store the first listing says nothing of the time before.
            for vm in self._seen_at:
                self._seen_at[vm] = max(self._seen_at[vm], now - ABSENCE / 2)
        for vm in [vm for vm, seen_at in self._seen_at.items() if now - seen_at > ABSENCE]:
            del self._seen_at[vm]

    def list_fresh(self, vms: Iterable[str], was_registered: bool, now: timedelta) -> None:
        """Record a complete listing that was requested after this VM's registration."""
        listed = set(vms)
        self.hear(listed, now)
        if self._listed_at is None:
            self._listed_at = now
            self._had_to_wait = not was_registered
            self._unconfirmed = set() if was_registered else listed - {self.own}

    def confirm(self, vm: str, now: timedelta) -> None:
        """Record that another VM has answered this one, and so counts it."""
        if vm in self._unconfirmed:
            self._unconfirmed.discard(vm)
            self._confirmed_at = now

    def unconfirmed(self, now: timedelta) -> set[str]:
        """Return the VMs that still have to answer before this one owns a fraction."""
        if self._listed_at is None or now - self._listed_at > SILENCE:
            return set()
        return set(self._unconfirmed)

    def fraction(self, now: timedelta) -> float:
        """Return the fraction of each limit that this VM owns now."""
        if self._listed_at is None or self.unconfirmed(now):
            return 0.0
        if self._had_to_wait and now - self._counted_since() < COUNTED_DELAY:
            return 0.0
        return 1 / self.total

    def _counted_since(self) -> timedelta:
        """Return when the last VM began to count this one, at the latest."""
        if self._unconfirmed:
            return self._listed_at + SILENCE
        return self._confirmed_at or self._listed_at
