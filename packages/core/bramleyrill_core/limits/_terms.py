"""The limits of the teams, what the platform tolerates, and the times of leases.

Answers the load of a team that sends more than its limit over many VMs at once.
"""

import math
from collections.abc import Iterable
from datetime import timedelta

import xxhash
from attrs import frozen

from bramleyrill_core.teams import Team

# How often a VM reports its use to the hub of a group of teams.
REPORT_INTERVAL = timedelta(seconds=1)
# A grant lasts two reports, so that one lost message does not take a VM's tokens.
GRANT_LIFETIME = timedelta(seconds=2)
# A hub uses a lent fraction for this long after the time stamp that the lender returned.
LEND_LIFETIME = timedelta(seconds=3)
# Covers clocks that differ in speed by up to 4% over the lifetime of a lend and a grant.
DRIFT_MARGIN = timedelta(milliseconds=200)
# A lender uses a fraction elsewhere only when neither the lend nor a grant made from it is left.
LOCK = LEND_LIFETIME + GRANT_LIFETIME + DRIFT_MARGIN
# Largest rate a second and burst; sums of larger ones lose single tokens.
MAX_NUMBER = 1e9
# Teams are hashed into this many groups. More groups spread the hubs' work over more VMs, at two
# frames for each group, VM and report interval.
GROUPS = 3


@frozen
class TeamLimit:
    """A team's limit: operations a second, and how many it may start at once."""

    rate_per_s: float
    burst: float


@frozen
class QuotaTerms:
    """How much may run beyond a limit.

    In each window of length `window`, (rate x window + burst) x (1 + `over`) + `slack` operations
    may run. Half of `over` covers VMs that count too few VMs; the rest and `slack` add to the
    tokens that may be unused at a time, so that small teams rarely wait for one.
    """

    window: timedelta = timedelta()
    over: float = 0.0
    slack: float = 0.0

    @property
    def max_total_fraction(self) -> float:
        """Return the largest sum of the fractions of a limit that may be used at a time."""
        return 1 + self.over / 2

    def stock_of(self, limit: TeamLimit) -> float:
        """Return how many unused tokens of a team the whole of its limit may hold."""
        window_s = self.window.total_seconds()
        allowed = limit.burst * (1 + self.over) + self.over / 2 * limit.rate_per_s * window_s
        return (allowed + self.slack) / self.max_total_fraction


def team_limits(teams: Iterable[Team]) -> tuple[dict[str, TeamLimit], list[str]]:
    """Return the limits by team, and what was wrong with values that had to be bounded.

    A team without a rate has no limit. A missing burst is one second of the rate. A value that is
    no number or is negative counts as zero, since a limit that cannot be read must not be none.
    """
    limits: dict[str, TeamLimit] = {}
    problems: list[str] = []
    for team in teams:
        if team.rate_per_s is None:
            continue
        rate = _bounded(team.rate_per_s)
        burst = rate if team.burst is None else _bounded(team.burst)
        limits[team.name] = TeamLimit(rate, burst)
        if rate != team.rate_per_s or burst != (rate if team.burst is None else team.burst):
            problems.append(f"{team.name}: rate {team.rate_per_s!r}, burst {team.burst!r}")
    return limits, problems


def _bounded(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value):
        return 0.0
    return float(min(max(value, 0), MAX_NUMBER))


def digests_of(teams: Iterable[str]) -> dict[str, int]:
    """Return a number of 31 bits for each team, by which frames name it.

    VMs with the same teams agree on the numbers, also where two hashes would be equal.
    """
    digests: dict[str, int] = {}
    taken: set[int] = set()
    for team in sorted(teams):
        digest, attempt = _digest(team), 0
        while digest in taken:
            attempt += 1
            digest = _digest(f"{team}|{attempt}")
        taken.add(digest)
        digests[team] = digest
    return digests


def _digest(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode()) & 0x7FFFFFFF


def group_of(digest: int) -> int:
    """Return the group of a team by its digest."""
    return digest % GROUPS
