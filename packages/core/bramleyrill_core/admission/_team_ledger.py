"""Slot time that each team used at one member, over all classes of work.

Answers the load of a team that sends many times its usual in an urgent rank: what it uses there
counts in the other ranks too.
"""

from collections.abc import Callable

from attrs import define

# Slot time beyond its share, per unit of weight, that a team pays back at most once its requests
# have ended. It covers long statements, and a team that returns to its usual load is served again
# soon.
MAX_DEBT_S = 2.0
# Bounds how far a single request moves a team with a tiny share.
MIN_WEIGHT = 0.01
# Idle teams are looked for when there are this many times as many as after the last search.
_FORGET_GROWTH = 2
_MIN_TEAMS_TO_FORGET = 64
# Idle teams that still owe slot time are kept up to this number.
MAX_IDLE_TEAMS = 4096


@define(eq=False)
class TeamUse:
    """Slot use of one team.

    `tag` is the used slot time in seconds per unit of `weight`, on the ledger's virtual clock.
    `running` is how many of the team's requests hold a slot, `running_s` the slot time that they
    were charged for, and `waiting` in how many classes requests of the team wait.
    """

    name: str
    weight: float
    tag: float = 0.0
    running: int = 0
    running_s: float = 0.0
    waiting: int = 0


class TeamLedger:
    """Slot use by team, for start-time fair queueing.

    The virtual clock is the lowest tag among the teams that wait, and never goes back. A team that
    begins to wait, or that starts at once, begins from it: unused share is not saved up, and slots
    that nobody else wanted are not held against a team.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self.virtual_time = 0.0
        self._weight_of = weight_of
        self._uses_by_team: dict[str, TeamUse] = {}
        self._waiting = 0
        self._running = 0
        self._teams_after_search = 0

    def __len__(self) -> int:
        return len(self._uses_by_team)

    def get(self, team: str) -> TeamUse | None:
        """Return the use of a team, or None if it has used nothing of late."""
        return self._uses_by_team.get(team)

    def use_of(self, team: str) -> TeamUse:
        """Return the use of a team, with a new entry if it has none."""
        use = self._uses_by_team.get(team)
        if use is None:
            use = TeamUse(team, max(self._weight_of(team), MIN_WEIGHT), self.virtual_time)
            self._uses_by_team[team] = use
        return use

    def key_of(self, use: TeamUse) -> float:
        """Return the place of a team in the order; the lowest goes first.

        The slots that it holds now count on top of the virtual clock, since their use is known
        only at the end: a team with many long transactions waits although its earlier ones are
        paid.
        """
        return max(use.tag, self.virtual_time + use.running_s / use.weight)

    def begin_waiting(self, use: TeamUse) -> None:
        """Record that requests of the team now wait in one more class."""
        if not use.waiting:
            use.weight = max(self._weight_of(use.name), MIN_WEIGHT)
            use.tag = max(use.tag, self.virtual_time)
        use.waiting += 1
        self._waiting += 1

    def end_waiting(self, use: TeamUse) -> None:
        """Record that requests of the team wait in one class less."""
        use.waiting -= 1
        self._waiting -= 1

    def advance_to(self, tag: float) -> None:
        """Advance the virtual clock to the tag of the team that goes first."""
        self.virtual_time = max(self.virtual_time, tag)

    def start(self, team: str, expected_s: float) -> None:
        """Charge the expected slot time of a request that starts."""
        use = self.use_of(team)
        if not use.waiting:
            use.tag = max(use.tag, self.virtual_time)
        if not self._waiting:
            self.virtual_time = use.tag
        use.tag += expected_s / use.weight
        use.running += 1
        use.running_s += expected_s
        self._running += 1

    def end(self, team: str, charged_s: float, used_s: float) -> TeamUse:
        """Correct the charge of a request that ended by the slot time that it used."""
        use = self.use_of(team)
        use.running -= 1
        use.running_s = max(use.running_s - charged_s, 0.0) if use.running else 0.0
        self._running -= 1
        latest = self.virtual_time + MAX_DEBT_S + use.running_s / use.weight
        use.tag = min(use.tag + (used_s - charged_s) / use.weight, latest)
        self._forget_idle_teams()
        return use

    def _forget_idle_teams(self) -> None:
        """Forget teams without requests that owe nothing; all of them once nothing waits or runs.

        The search costs O(1) a request on average, since it waits until the number has doubled.
        """
        uses = self._uses_by_team
        if not self._running and not self._waiting:
            uses.clear()
            self._teams_after_search = 0
        elif len(uses) > max(_FORGET_GROWTH * self._teams_after_search, _MIN_TEAMS_TO_FORGET):
            idle = [use for use in uses.values() if not use.waiting and not use.running]
            keep_debts = len(idle) <= MAX_IDLE_TEAMS
            for use in idle:
                if not keep_debts or use.tag <= self.virtual_time:
                    del uses[use.name]
            self._teams_after_search = len(uses)
