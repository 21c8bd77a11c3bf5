"""Accounts of slot time, which tell who is below its floor."""

from datetime import timedelta

# Credit beyond this much backlogged time is forgotten, so that a class cannot save up.
WINDOW_S = timedelta(seconds=2).total_seconds()
# Slot time is charged in whole statements; the margin keeps every 10 s window at the floor.
MARGIN = 1.05


class FloorAccount:
    """Slot time owed to a class or group: grows while it has work waiting, shrinks by its use.

    The balance is kept within a window on both sides. A plain sliding average would let a class
    that had more than its floor just before a flood starve until the average has fallen, and
    would let an idle class monopolize the slots when it wakes up.
    """

    __slots__ = ("balance", "floor", "since", "waiting")

    def __init__(self, floor: float) -> None:
        self.floor = floor * MARGIN
        self.balance = 0.0
        self.waiting = 0
        self.since = 0.0

    def accrue(self, now: float, slots: float) -> None:
        """Add what is owed since the last call, if work was waiting."""
        if self.waiting and self.floor:
            owed = self.balance + self.floor * slots * (now - self.since)
            self.balance = min(owed, self.floor * slots * WINDOW_S)
        self.since = now

    def charge(self, slot_time: float, keep: float) -> None:
        """Take off slot time; the balance does not fall below minus `keep`."""
        self.balance = max(self.balance - slot_time, -keep)

    @property
    def is_owed(self) -> bool:
        """Tell whether the account is below its floor and has work waiting."""
        return self.waiting > 0 and self.balance > 0.0
