"""How often each team asks for a connection of a member, and for how long it holds one."""

import math
from datetime import timedelta

from attrs import define

# Time constant of the request rates. It spans several requests even of a team with one in ten
# seconds; a much shorter one would rank such teams by chance.
RATE_MEMORY_S = 300.0
# Weight of one lease in the mean time that a team holds a connection. A few long transactions
# among many single statements must not change it at once.
_HOLD_WEIGHT = 0.02
# Assumed until the first lease of a team ends.
EXPECTED_HOLD_S = 0.02
# Teams with fewer remembered requests are forgotten if they have no connection.
_NEGLIGIBLE_REQUESTS = 0.01


@define(eq=False)
class TeamDemand:
    """Demand of one team.

    `requests` is the number of requests, each with a weight that decays with its age, as of
    `updated_s`. `hold_s` is the mean time for which it holds a connection.
    """

    updated_s: float
    requests: float = 0.0
    hold_s: float = EXPECTED_HOLD_S

    def rate_per_s(self, now: timedelta) -> float:
        """Return the recent request rate."""
        age_s = now.total_seconds() - self.updated_s
        return self.requests * math.exp(-age_s / RATE_MEMORY_S) / RATE_MEMORY_S

    def use_rate_per_s(self, held: int, now: timedelta) -> float:
        """Return how often the last one of `held` connections is needed.

        A request needs it if it finds all others in use. The number in use is taken as Poisson
        distributed, with the mean from the team's rate and hold time.
        """
        rate = self.rate_per_s(now)
        in_use = rate * self.hold_s
        term = math.exp(-in_use)
        others_free = 0.0
        for count in range(held - 1):
            others_free += term
            term *= in_use / (count + 1)
        return rate * max(1.0 - others_free, 0.0)


class DemandTable:
    """Demand by team."""

    def __init__(self) -> None:
        self._by_team: dict[str, TeamDemand] = {}

    def of(self, team: str) -> TeamDemand:
        """Return the demand of a team; of one that never asked it is zero."""
        return self._by_team.get(team) or TeamDemand(0.0)

    def count_request(self, team: str, now: timedelta) -> None:
        """Count a request for a connection."""
        now_s = now.total_seconds()
        demand = self._by_team.get(team)
        if demand is None:
            demand = self._by_team[team] = TeamDemand(now_s)
        decay = math.exp((demand.updated_s - now_s) / RATE_MEMORY_S)
        demand.requests = demand.requests * decay + 1.0
        demand.updated_s = now_s

    def record_hold(self, team: str, duration: timedelta) -> None:
        """Record for how long a connection was leased."""
        demand = self._by_team.get(team)
        if demand is not None:
            demand.hold_s += _HOLD_WEIGHT * (duration.total_seconds() - demand.hold_s)

    def forget_unused(self, kept_teams: set[str], now: timedelta) -> None:
        """Forget teams that have not asked for long, except `kept_teams`."""
        negligible_rate = _NEGLIGIBLE_REQUESTS / RATE_MEMORY_S
        for team, demand in list(self._by_team.items()):
            if team not in kept_teams and demand.rate_per_s(now) < negligible_rate:
                del self._by_team[team]
