"""Accounting of slot time against the guaranteed floors."""

from collections.abc import Iterable
from datetime import timedelta

# An account keeps at most the credit of this much backlogged time, so that a class cannot save
# up slot time.
MAX_CREDIT_S = timedelta(seconds=2).total_seconds()
# Use beyond the floor is held against a class up to this much time of its floor. A deficit goes
# ahead of higher ranks only once it exceeds `MAX_DEFERRED_S` of backlogged time, so that short
# bursts of urgent work are not interrupted.
MAX_SURPLUS_S = timedelta(seconds=1).total_seconds()
MAX_DEFERRED_S = timedelta(milliseconds=500).total_seconds()
# Surplus and deferred time together may cost a class 1.5 s of a 10 s window. Floors are raised by
# up to this factor to make up for that.
MAX_MARGIN = 1.2


class FloorAccount:
    """Slot time credit of a class or group, in seconds.

    The balance grows by the floor while the class has work waiting and shrinks as it uses slots.
    It is limited in both directions. A plain sliding average would starve a class that used more
    than its floor just before a flood until the average has fallen, and would let a class that
    was idle monopolize the slots.
    """

    __slots__ = ("balance", "floor", "updated_s", "waiting")

    def __init__(self, floor: float, margin: float) -> None:
        self.floor = floor * margin
        self.balance = 0.0
        self.waiting = 0
        self.updated_s = 0.0

    def accrue(self, now_s: float, slots: float) -> None:
        """Add the floor for the time since the last call if work was waiting."""
        if self.waiting and self.floor:
            credit = self.balance + self.floor * slots * (now_s - self.updated_s)
            self.balance = min(credit, self.floor * slots * MAX_CREDIT_S)
        self.updated_s = now_s

    def charge(self, slot_time_s: float, slots: float) -> None:
        """Subtract used slot time; use beyond the floor counts for up to `MAX_SURPLUS_S` of it."""
        self.balance = max(self.balance - slot_time_s, -self.floor * slots * MAX_SURPLUS_S)

    def deficit_s(self, slots: float) -> float:
        """Return the backlogged time by which the class misses its floor, less `MAX_DEFERRED_S`.

        The result is positive only if the class should go ahead of higher ranks.
        """
        if not self.waiting or not self.floor:
            return 0.0
        return self.balance / (self.floor * slots) - MAX_DEFERRED_S


def floor_margin(floors: Iterable[float]) -> float:
    """Return the factor by which floors are raised; smaller if they add up to nearly 1.

    `floors` are shares of the same slots.
    """
    total = sum(floors)
    return min(MAX_MARGIN, 1.0 / total) if total > 0 else MAX_MARGIN
