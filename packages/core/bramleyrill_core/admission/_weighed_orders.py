"""Orders of teams that were weighed against start-time fair queueing; used by plays only."""

from collections import deque
from random import Random
from typing import ClassVar

from bramleyrill_core.admission._team_ledger import TeamLedger, TeamUse
from bramleyrill_core.admission._team_order import team_orders
from bramleyrill_core.admission._team_share import TeamShare

SHARDS = 16
SHARDS_PER_TEAM = 4


@team_orders.register("deficit_round_robin")
class DeficitRoundRobin:
    """Teams in turns; each turn adds the mean service time, by weight, to what a team may use."""

    by_ledger: ClassVar[bool] = False

    def __init__(self, _ledger: TeamLedger) -> None:
        self._turns: deque[TeamShare] = deque()
        self._left_s: dict[str, float] = {}

    def begin_waiting(self, share: TeamShare) -> None:
        """Give the team the last turn."""
        self._turns.append(share)

    def end_waiting(self, share: TeamShare) -> None:
        """Take the team's turn away; what it did not use is lost."""
        self._turns.remove(share)
        self._left_s[share.use.name] = min(self._left_s.get(share.use.name, 0.0), 0.0)

    def next(self, mean_s: float) -> TeamShare:
        """Return the team whose turn it is, once what it may use covers a request."""
        while self._left_s.get(self._turns[0].use.name, 0.0) < mean_s:
            self._turns.rotate(-1)
            use = self._turns[0].use
            self._left_s[use.name] = self._left_s.get(use.name, 0.0) + mean_s * use.weight
        return self._turns[0]

    def wait_s(self, use: TeamUse) -> float:
        """Return what the team owes before its next turn."""
        return max(-self._left_s.get(use.name, 0.0) / use.weight, 0.0)

    def started(self, share: TeamShare, seconds: float) -> None:
        """Charge a request, unless nobody waits."""
        if self._turns:
            self._left_s[share.use.name] = self._left_s.get(share.use.name, 0.0) - seconds

    def ended(self, share: TeamShare, charged_s: float, used_s: float) -> None:
        """Correct the charge of a request."""
        if share.use.name in self._left_s:
            self._left_s[share.use.name] -= used_s - charged_s


def shards_of(team: str) -> list[str]:
    """Return the shards of a team; two teams rarely have all of theirs in common."""
    return [f"shard{number}" for number in Random(team).sample(range(SHARDS), SHARDS_PER_TEAM)]
