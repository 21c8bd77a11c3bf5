"""The order in which teams get free slots, by start-time fair queueing.

Answers the load of a team that sends many times its usual while others keep to theirs.
"""

import heapq
import itertools
from typing import Protocol

from bramleyrill_base import Registry

from bramleyrill_core.admission._team_share import TeamShare

# Slot time beyond its share, per unit of weight, that a team pays back at most once its requests
# have ended. It covers long statements, and a team that returns to its usual load is served again
# soon.
MAX_DEBT_S = 2.0
# Outdated entries are removed when there are this many times as many as teams.
_MAX_ENTRIES_PER_TEAM = 4
_MIN_ENTRIES_TO_CLEAN = 64


class TeamOrder(Protocol):
    """Chooses among the teams with waiting requests; one instance for each class of work."""

    def flow_of(self, team: str) -> str:
        """Return the name under which the team's requests are queued, by default its own."""

    def arrived(self, share: TeamShare, is_first: bool) -> None:
        """Record a request that now waits; `is_first` if the team had none waiting."""

    def next(self, mean_s: float) -> TeamShare:
        """Return the team that goes next; it is called only if one waits."""

    def emptied(self, share: TeamShare) -> None:
        """Record that none of the team's requests wait any more."""

    def started(self, share: TeamShare, seconds: float) -> None:
        """Charge the expected slot time of a request that starts."""

    def ended(self, share: TeamShare, charged_s: float, used_s: float) -> None:
        """Correct the charge of a request that ended by the slot time that it used."""

    def wait_share_s(self, share: TeamShare) -> float:
        """Return the slot time per weight that others may use before the team's next start."""

    def is_settled(self, share: TeamShare) -> bool:
        """Return whether an idle team may be forgotten without a gain or loss for it."""


team_orders: Registry[type[TeamOrder]] = Registry("team order")


@team_orders.register("start_time")
class StartTimeOrder:
    """The team with the least slot time per weight goes first, at O(log n) for n waiting teams.

    The virtual clock is the tag of the last team that started. A team that begins to wait starts
    from it: unused share is not saved up, and slots that nobody else wanted are not held against
    a team. The slots that a team holds now count on top, since their use is known only at the end:
    a team with many long transactions waits although its earlier ones were paid.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._entries: list[tuple[float, int, TeamShare]] = []
        self._valid_entry: dict[str, int] = {}
        self._numbers = itertools.count()

    def flow_of(self, team: str) -> str:
        """Return the team's own name."""
        return team

    def arrived(self, share: TeamShare, is_first: bool) -> None:
        """Enter a team that begins to wait."""
        if is_first:
            share.tag = max(share.tag, self.virtual_time)
            self._enter(share)

    def next(self, mean_s: float) -> TeamShare:
        """Return the waiting team with the lowest key; keys only grow between two entries."""
        while True:
            key, number, share = self._entries[0]
            if self._valid_entry.get(share.name) != number:
                heapq.heappop(self._entries)
            elif self._key(share) > key:
                heapq.heappop(self._entries)
                self._enter(share)
            else:
                return share

    def emptied(self, share: TeamShare) -> None:
        """Invalidate the entry of the team."""
        self._valid_entry.pop(share.name, None)

    def started(self, share: TeamShare, seconds: float) -> None:
        """Advance the virtual clock to the team's tag, then charge the team."""
        if not share.waiting:
            share.tag = max(share.tag, self.virtual_time)
        self.virtual_time = max(self.virtual_time, share.tag)
        share.tag += seconds / share.weight

    def ended(self, share: TeamShare, charged_s: float, used_s: float) -> None:
        """Correct the team's tag; enter it anew, since its key may have become lower."""
        latest = self.virtual_time + MAX_DEBT_S + share.running_s / share.weight
        share.tag = min(share.tag + (used_s - charged_s) / share.weight, latest)
        if share.waiting:
            self._enter(share)

    def wait_share_s(self, share: TeamShare) -> float:
        """Return how far the virtual clock has to advance until the team's next start."""
        return max(self._key(share) - self.virtual_time, 0.0)

    def is_settled(self, share: TeamShare) -> bool:
        """Return whether the virtual clock has reached the team's tag."""
        return share.tag <= self.virtual_time

    def _key(self, share: TeamShare) -> float:
        return max(share.tag, self.virtual_time + share.running_s / share.weight)

    def _enter(self, share: TeamShare) -> None:
        number = next(self._numbers)
        self._valid_entry[share.name] = number
        heapq.heappush(self._entries, (self._key(share), number, share))
        limit = max(_MAX_ENTRIES_PER_TEAM * len(self._valid_entry), _MIN_ENTRIES_TO_CLEAN)
        if len(self._entries) > limit:
            valid = self._valid_entry
            self._entries = [item for item in self._entries if valid.get(item[2].name) == item[1]]
            heapq.heapify(self._entries)
