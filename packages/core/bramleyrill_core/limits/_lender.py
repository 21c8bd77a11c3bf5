"""Lending a VM's fraction of a group's limits to one hub at a time."""

from datetime import timedelta

import xxhash
from attrs import define, field

from bramleyrill_core._rendezvous import rendezvous_order
from bramleyrill_core._values import VmId
from bramleyrill_core.limits._messages import VmKey
from bramleyrill_core.limits._terms import DRIFT_MARGIN, GRANT_LIFETIME, LOCK

# The VMs move from a hub that still works to a preferred one at different times within this one:
# what is lent is unused for the length of a lock while it moves.
MOVE_SPREAD = timedelta(seconds=20)


@define
class Loan:
    """To which hub a fraction is lent, and until when it must not be lent to another."""

    locked_until: timedelta
    hub: VmKey | None = None
    lent_at: timedelta | None = None

    def may_lend(self, hub: VmKey, now: timedelta) -> bool:
        """Return whether the fraction may be lent to a hub now."""
        return hub == self.hub or now >= self.locked_until

    def lend(self, hub: VmKey, now: timedelta) -> None:
        """Record a lend that is about to be sent; the hub counts it from an earlier moment."""
        self.hub, self.lent_at = hub, now
        self.locked_until = now + LOCK

    def end(self, hub: VmKey, now: timedelta) -> None:
        """Record that the hub no longer uses the lend; grants made from it may still last."""
        if hub == self.hub:
            self.hub = None
            self.locked_until = min(self.locked_until, now + GRANT_LIFETIME + DRIFT_MARGIN)


@define
class HubChoice:
    """The hub of a group: the first choice by rendezvous among the usable VMs.

    A hub that still works is kept for a part of `MOVE_SPREAD` that differs between VMs.
    """

    group: int
    own: str
    hub: VmKey | None = None
    _preferred_since: tuple[VmKey, timedelta] | None = field(default=None)

    def choose(self, key_by_id: dict[str, VmKey], has_lent: bool, now: timedelta) -> bool:
        """Choose among usable VMs by id; return whether the hub is another one than before."""
        preferred = self._prefer(key_by_id)
        if preferred == self.hub:
            self._preferred_since = None
            return False
        if has_lent and self.hub is not None and self.hub in key_by_id.values():
            if self._preferred_since is None or self._preferred_since[0] != preferred:
                self._preferred_since = preferred, now
            if now - self._preferred_since[1] < self._delay():
                return False
        self.hub, self._preferred_since = preferred, None
        return True

    def _prefer(self, key_by_id: dict[str, VmKey]) -> VmKey | None:
        order = rendezvous_order(f"quota|{self.group}", [VmId(vm) for vm in key_by_id])
        return key_by_id[order[0]] if order else None

    def _delay(self) -> timedelta:
        digest = xxhash.xxh32_intdigest(f"{self.own}|{self.group}".encode())
        return MOVE_SPREAD * (digest / 2**32)
