"""Slot time that each rank used of late, from which waits are predicted."""

import math

from bramleyrill_core._values import Rank

# Time constant of the average.
USE_DECAY_S = 1.0


class RecentUse:
    """Exponentially decaying sum of the slot time in seconds used by each rank."""

    __slots__ = ("by_rank", "updated_s")

    def __init__(self) -> None:
        self.by_rank = [0.0] * len(Rank)
        self.updated_s = 0.0

    def decay_to(self, now_s: float) -> None:
        """Let the sums decay until `now_s`, which is on the caller's monotonic clock."""
        factor = math.exp((self.updated_s - now_s) / USE_DECAY_S)
        self.updated_s = now_s
        for rank in range(len(self.by_rank)):
            self.by_rank[rank] *= factor

    def share_left_to(self, rank: int, slots: int, floor_by_rank: list[float]) -> float:
        """Return the share of the slots that higher ranks, and the floors of lower ones, leave."""
        share = 1.0
        for other, use in enumerate(self.by_rank):
            used = use / (USE_DECAY_S * slots)
            if other < rank:
                share -= used
            elif other > rank:
                share -= min(used, floor_by_rank[other])
        return share
