"""The order in which the waiting teams of one class of work get free slots."""

import heapq
import itertools
from typing import ClassVar, Protocol

from bramleyrill_base import Registry

from bramleyrill_core.admission._team_ledger import TeamLedger, TeamUse
from bramleyrill_core.admission._team_share import TeamShare

# Outdated entries are removed when there are this many times as many as teams.
_MAX_ENTRIES_PER_TEAM = 4
_MIN_ENTRIES_TO_CLEAN = 64


class TeamOrder(Protocol):
    """Chooses among the teams with waiting requests; one instance for each class of work.

    `by_ledger` is whether it orders by the ledger, so that the teams of two classes compare.
    """

    by_ledger: ClassVar[bool]

    def begin_waiting(self, share: TeamShare) -> None:
        """Record that the team now has waiting requests."""

    def end_waiting(self, share: TeamShare) -> None:
        """Record that none of the team's requests wait any more."""

    def next(self, mean_s: float) -> TeamShare:
        """Return the team that goes next; it is called only if one waits."""

    def wait_s(self, use: TeamUse) -> float:
        """Return the slot time per weight that other teams may use before the team's next start."""

    def started(self, share: TeamShare, seconds: float) -> None:
        """Charge the expected slot time of a request that starts."""

    def ended(self, share: TeamShare, charged_s: float, used_s: float) -> None:
        """Correct the charge of a request that ended."""


team_orders: Registry[type[TeamOrder]] = Registry("team order")


@team_orders.register("start_time")
class StartTimeOrder:
    """The team with the least used slot time for its weight goes first, at O(log n) a decision.

    The ledger keeps the times; this is a heap of the teams that wait. Places only move back while
    a team waits, but for the end of one of its requests, which enters it anew.
    """

    by_ledger: ClassVar[bool] = True

    def __init__(self, ledger: TeamLedger) -> None:
        self._ledger = ledger
        self._entries: list[tuple[float, int, TeamShare]] = []
        self._valid_entry: dict[str, int] = {}
        self._numbers = itertools.count()

    def begin_waiting(self, share: TeamShare) -> None:
        """Enter the team."""
        number = next(self._numbers)
        self._valid_entry[share.use.name] = number
        heapq.heappush(self._entries, (self._ledger.key_of(share.use), number, share))
        limit = max(_MAX_ENTRIES_PER_TEAM * len(self._valid_entry), _MIN_ENTRIES_TO_CLEAN)
        if len(self._entries) > limit:
            self._remove_outdated_entries()

    def end_waiting(self, share: TeamShare) -> None:
        """Invalidate the entry of the team."""
        self._valid_entry.pop(share.use.name, None)

    def next(self, mean_s: float) -> TeamShare:
        """Return the waiting team with the first place."""
        while True:
            key, number, share = self._entries[0]
            if self._valid_entry.get(share.use.name) != number:
                heapq.heappop(self._entries)
            elif self._ledger.key_of(share.use) > key:
                heapq.heappop(self._entries)
                self.begin_waiting(share)
            else:
                return share

    def wait_s(self, use: TeamUse) -> float:
        """Return how far the virtual clock has to advance to the team's place."""
        return self._ledger.key_of(use) - self._ledger.virtual_time

    def started(self, share: TeamShare, seconds: float) -> None:
        """Do nothing: the ledger charges the team, and its entry is corrected when it is met."""

    def ended(self, share: TeamShare, charged_s: float, used_s: float) -> None:
        """Enter the team anew, since its place may have moved to the front."""
        if share.waiting:
            self.begin_waiting(share)

    def _remove_outdated_entries(self) -> None:
        valid = self._valid_entry
        self._entries = [item for item in self._entries if valid.get(item[2].use.name) == item[1]]
        heapq.heapify(self._entries)
