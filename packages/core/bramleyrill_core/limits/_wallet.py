"""Tokens that hubs have granted to this VM, and how many operations its callers start."""

import math
from datetime import timedelta

from attrs import define, field

from bramleyrill_core.limits._messages import TeamReport, VmKey

# Tokens are asked for ahead to last this long: a report interval, and a message both ways.
HORIZON_S = 1.2
# Reports count tokens in 16 bits; a hub must not be told of fewer than there are.
MAX_HELD = 2**15 - 1
# A team without use for this long holds no tokens ahead.
USE_LIFETIME = timedelta(seconds=10)
# Weight of the last report interval in the estimate of a team's demand.
NEW_WEIGHT = 0.5


@define
class Holding:
    """Unused tokens from one hub, all of which run out at the same moment."""

    tokens: int
    expires: timedelta


@define
class TeamUse:
    """A team's tokens, its demand, and what was counted since the start.

    `waiting` operations wait for a token. Until `dry_until` no token is expected. `lowered_in` is
    the version of the configuration that lowered the limit last.
    """

    holdings: dict[VmKey, Holding] = field(factory=dict)
    used_at: timedelta = timedelta()
    arrivals: int = 0
    demand_per_s: float = 0.0
    waiting: int = 0
    dry_until: timedelta = timedelta()
    lowered_in: int = 0
    granted: int = 0
    used: int = 0
    refused: int = 0

    def take(self, now: timedelta) -> bool:
        """Use one token, if there is one that has not run out."""
        for hub, holding in list(self.holdings.items()):
            if holding.expires <= now or not holding.tokens:
                del self.holdings[hub]
                continue
            holding.tokens -= 1
            self.used += 1
            return True
        return False

    def put(self, hub: VmKey, tokens: int, expires: timedelta, now: timedelta) -> None:
        """Add granted tokens of a hub, which last as long as those that it has extended."""
        holding = self.holdings.get(hub)
        if not tokens and not self.held(hub, now):
            return
        if holding is None or holding.expires <= now:
            holding = self.holdings[hub] = Holding(0, expires)
        holding.tokens = min(holding.tokens + tokens, MAX_HELD)
        holding.expires = max(holding.expires, expires)
        self.granted += tokens

    def extend(self, hub: VmKey, expires: timedelta) -> None:
        """Let the tokens of a hub last until a later moment."""
        holding = self.holdings.get(hub)
        if holding is not None:
            holding.expires = max(holding.expires, expires)

    def held(self, hub: VmKey, now: timedelta) -> int:
        """Return the number of unused tokens of a hub."""
        holding = self.holdings.get(hub)
        return holding.tokens if holding is not None and holding.expires > now else 0

    def scale(self, share: float) -> None:
        """Keep a share of the tokens when the limit is lowered to it."""
        for holding in self.holdings.values():
            holding.tokens = math.floor(holding.tokens * share)

    def update_demand(self, seconds: float) -> None:
        """Include the arrivals since the last update, `seconds` ago."""
        if seconds > 0:
            latest = self.arrivals / seconds
            self.demand_per_s += NEW_WEIGHT * (latest - self.demand_per_s)
            self.arrivals = 0

    def in_use(self, now: timedelta) -> bool:
        """Return whether the team's callers started an operation lately."""
        return now - self.used_at <= USE_LIFETIME or bool(self.waiting)

    def report(self, team: int, hub: VmKey, now: timedelta) -> TeamReport:
        """Return what to report to a hub; tokens far beyond the demand are given back."""
        self._drop_lapsed(now)
        held = self.held(hub, now)
        target = 0
        if self.in_use(now):
            expected = self.demand_per_s * HORIZON_S
            # Arrivals vary by about the square root of their number.
            target = max(math.ceil(expected + math.sqrt(expected)), 1)
        returned = max(held - target - max(target // 2, 1), 0) if target else held
        if returned:
            self.holdings[hub].tokens -= returned
        kept = held - returned
        return TeamReport(team, kept, returned, max(target - kept, 0) + self.waiting, self.waiting)

    def _drop_lapsed(self, now: timedelta) -> None:
        for hub, holding in list(self.holdings.items()):
            if holding.expires <= now or not holding.tokens:
                del self.holdings[hub]
