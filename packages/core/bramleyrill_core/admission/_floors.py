"""Accounts of slot time, which tell who is below its floor."""

from collections.abc import Iterable
from datetime import timedelta

# Credit beyond this much backlogged time is forgotten, so that a class cannot save up.
WINDOW_S = timedelta(seconds=2).total_seconds()
# What a class got beyond its floor counts for this long, and what it is owed is only served
# ahead of higher ranks once it amounts to this much backlogged time: short bursts of urgent
# work pass in one piece.
SURPLUS_S = timedelta(seconds=1).total_seconds()
DEFERRED_S = timedelta(milliseconds=500).total_seconds()
# Both together take up to 1.5 s out of a 10 s window, which the margin gives back.
MARGIN = 1.2


class FloorAccount:
    """Slot time owed to a class or group: grows while it has work waiting, shrinks by its use.

    The balance is kept within a window on both sides. A plain sliding average would let a class
    that had more than its floor just before a flood starve until the average has fallen, and
    would let an idle class monopolize the slots when it wakes up.
    """

    __slots__ = ("balance", "floor", "since", "waiting")

    def __init__(self, floor: float, margin: float) -> None:
        self.floor = floor * margin
        self.balance = 0.0
        self.waiting = 0
        self.since = 0.0

    def accrue(self, now: float, slots: float) -> None:
        """Add what is owed since the last call, if work was waiting."""
        if self.waiting and self.floor:
            owed = self.balance + self.floor * slots * (now - self.since)
            self.balance = min(owed, self.floor * slots * WINDOW_S)
        self.since = now

    def charge(self, slot_time: float, slots: float) -> None:
        """Take off slot time, and forget a surplus beyond a second of the floor."""
        self.balance = max(self.balance - slot_time, -self.floor * slots * SURPLUS_S)

    def owed_s(self, slots: float) -> float:
        """Return the backlogged time for which the floor is owed beyond what may be deferred."""
        if not self.waiting or not self.floor:
            return 0.0
        return self.balance / (self.floor * slots) - DEFERRED_S


def margin_for(floors: Iterable[float]) -> float:
    """Return the margin on floors that share a whole; it shrinks when they nearly fill it."""
    total = sum(floors)
    return min(MARGIN, 1.0 / total) if total > 0 else MARGIN
