"""Metrics by team of a holder: waits, refusals for lack of room, and used slot time."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from attrs import define, field

WAIT_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0)
# Teams with series of their own; all others together have the label OTHER_TEAMS.
MAX_TEAM_SERIES = 20
OTHER_TEAMS = "other"
# Requests after which the teams with series are chosen anew; the counts of use are then halved.
_REQUESTS_PER_CHOICE = 2000
# A team keeps its series while it is among this many times as many teams, so that teams of equal
# use do not take turns.
_KEEP_FACTOR = 2


@define(eq=False)
class TeamCounts:
    """Counts of one team: waits by bucket, their sum, refusals, and slot time in seconds."""

    waits: list[int] = field(factory=lambda: [0] * (len(WAIT_BUCKETS_S) + 1))
    wait_sum_s: float = 0.0
    refused: int = 0
    slot_time_s: float = 0.0

    def add(self, other: "TeamCounts") -> None:
        """Add the counts of another team."""
        self.waits = [sum(pair) for pair in zip(self.waits, other.waits, strict=True)]
        self.wait_sum_s += other.wait_sum_s
        self.refused += other.refused
        self.slot_time_s += other.slot_time_s


class TeamMetrics:
    """Metrics of the teams with the most requests, and one sum of all others.

    The number of series is bounded. A team that gets series of its own starts at zero, and its
    counts go to the sum when it loses them, so that no counter ever falls.
    """

    def __init__(self) -> None:
        self._counts_by_team: dict[str, TeamCounts] = {}
        self._others = TeamCounts()
        self._use_by_team: Counter[str] = Counter()
        self._requests = 0

    def record_wait(self, team: str, waited: timedelta, refused: bool) -> None:
        """Count the wait of a request that was started or refused for lack of room."""
        counts = self._counts_of(team)
        seconds = waited.total_seconds()
        counts.waits[bisect_left(WAIT_BUCKETS_S, seconds)] += 1
        counts.wait_sum_s += seconds
        counts.refused += refused
        self._use_by_team[team] += 1
        self._requests += 1
        if self._requests % _REQUESTS_PER_CHOICE == 0:
            self._choose_teams()

    def record_slot_time(self, team: str, used: timedelta) -> None:
        """Add the time for which a statement used a slot of a member."""
        self._counts_of(team).slot_time_s += used.total_seconds()

    def collect(self) -> Iterator[Any]:
        """Yield the metric families, as a collector of the Prometheus library does."""
        if not self._counts_by_team:
            return
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        refused = CounterMetricFamily(
            "bramleyrill_team_refused", "Requests refused for lack of room", labels=["team"]
        )
        slot_time = CounterMetricFamily(
            "bramleyrill_team_slot_seconds", "Slot time used at members", labels=["team"]
        )
        waits = HistogramMetricFamily(
            "bramleyrill_team_wait_seconds", "Waits for a slot of a member", labels=["team"]
        )
        bounds = [*map(str, WAIT_BUCKETS_S), "+Inf"]
        for team, counts in [*self._counts_by_team.items(), (OTHER_TEAMS, self._others)]:
            refused.add_metric([team], counts.refused)
            slot_time.add_metric([team], counts.slot_time_s)
            cumulative = [sum(counts.waits[: index + 1]) for index in range(len(counts.waits))]
            buckets = list(zip(bounds, cumulative, strict=True))
            waits.add_metric([team], buckets, counts.wait_sum_s)
        yield from (waits, refused, slot_time)

    def _counts_of(self, team: str) -> TeamCounts:
        counts = self._counts_by_team.get(team)
        if counts is None and team != OTHER_TEAMS and len(self._counts_by_team) < MAX_TEAM_SERIES:
            counts = self._counts_by_team[team] = TeamCounts()
        return self._others if counts is None else counts

    def _choose_teams(self) -> None:
        """Give up the series of teams that are no longer among the most active ones."""
        most_active = [team for team, _ in self._use_by_team.most_common()]
        kept = set(most_active[: _KEEP_FACTOR * MAX_TEAM_SERIES])
        top = [team for team in most_active[:MAX_TEAM_SERIES] if team not in self._counts_by_team]
        for team in [team for team in self._counts_by_team if team not in kept]:
            self._others.add(self._counts_by_team.pop(team))
        for team in top[: MAX_TEAM_SERIES - len(self._counts_by_team)]:
            if team != OTHER_TEAMS:
                self._counts_by_team[team] = TeamCounts()
        self._use_by_team = Counter(
            {team: use // 2 for team, use in self._use_by_team.items() if use > 1}
        )
