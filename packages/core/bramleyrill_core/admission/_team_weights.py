"""Weight of a team's share at contended members."""

from collections.abc import Callable

from bramleyrill_core.teams import NO_TEAMS, TeamDirectory


class TeamWeights:
    """Weights of the teams of the configuration in force.

    The share of a team with a limit above the mean grows with it, and all are multiplied by their
    stated weights. With equal shares a large team within its limit would be refused for others. A
    team below the mean keeps the mean share: in a tiny one a single statement would wait for long.

    Example: with limits of 30 and 10 a second the weights are 1.5 and 1.
    """

    def __init__(self, directory: Callable[[], TeamDirectory]) -> None:
        self._directory = directory
        self._mean_of = NO_TEAMS
        self._mean_rate_per_s = 0.0

    def of(self, team: str) -> float:
        """Return the weight of a team; 1 for an unknown one."""
        directory = self._directory()
        entry = directory.teams_by_name.get(team)
        if entry is None:
            return 1.0
        if directory is not self._mean_of:
            self._mean_of, self._mean_rate_per_s = directory, _mean_rate_per_s(directory)
        if not entry.rate_per_s or not self._mean_rate_per_s:
            return float(entry.weight)
        return entry.weight * max(entry.rate_per_s / self._mean_rate_per_s, 1.0)


def _mean_rate_per_s(directory: TeamDirectory) -> float:
    rates = [team.rate_per_s for team in directory.teams_by_name.values() if team.rate_per_s]
    return sum(rates) / len(rates) if rates else 0.0
