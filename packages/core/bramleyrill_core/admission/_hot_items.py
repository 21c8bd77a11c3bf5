"""Limit of the slots that statements of one item may use while other work waits.

Answers the load of one item that gets much of the traffic at a primary.
"""

from collections import Counter

# Share of the slots that one item may use while statements of other items wait. The rest is enough
# to serve them, and a hot item still gets more than any other.
MAX_ITEM_SHARE = 0.5


class HotItems:
    """Numbers of requests by item, in progress and passed over in any class of work.

    It holds only items that have such requests.
    """

    def __init__(self) -> None:
        self._running_by_item: Counter[str] = Counter()
        self._passed_over_by_item: Counter[str] = Counter()
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

    def count_passed_over(self, item: str, change: int) -> None:
        """Count a request that was passed over, or with -1 one that no longer is."""
        self._passed_over_by_item[item] += change
        if self._passed_over_by_item[item] <= 0:
            del self._passed_over_by_item[item]

    def wait_s(self, item: str, mean_s: float) -> float:
        """Return how long one more request of an item waits for those that were passed over."""
        if not self.is_full(item):
            return 0.0
        return (self._passed_over_by_item.get(item, 0) + 1) * mean_s / self.limit

    def is_full(self, item: str) -> bool:
        """Return whether an item uses all slots that it may while others wait."""
        return bool(item) and self._running_by_item.get(item, 0) >= self.limit
