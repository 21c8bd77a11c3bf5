"""Limit of the slots that statements of one item may use while other work waits.

Answers the load of one item that gets much of the traffic at a primary.
"""

from collections import Counter

# Share of the slots that one item may use while statements of other items wait. The rest is enough
# to serve them, and a hot item still gets more than any other.
MAX_ITEM_SHARE = 0.5


class HotItems:
    """Number of requests in progress by item; holds only items that are in progress."""

    def __init__(self) -> None:
        self._running_by_item: Counter[str] = Counter()
        self.limit = 1

    def set_slots(self, slots: int) -> None:
        """Set the limit of an item from the number of slots."""
        self.limit = max(1, int(slots * MAX_ITEM_SHARE))

    def start(self, item: str) -> None:
        """Count a request that starts."""
        self._running_by_item[item] += 1

    def end(self, item: str) -> None:
        """Count a request that ended."""
        self._running_by_item[item] -= 1
        if self._running_by_item[item] <= 0:
            del self._running_by_item[item]

    def is_full(self, item: str) -> bool:
        """Return whether an item uses all slots that it may while others wait."""
        return bool(item) and self._running_by_item.get(item, 0) >= self.limit
