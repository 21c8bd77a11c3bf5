"""Floods by teams at one member, and what the callers of each team get under each policy."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random

from attrs import define, evolve, field, frozen
from bramleyrill_base import ManualClock

from bramleyrill_core._values import Rank
from bramleyrill_core.admission import _weighed_orders
from bramleyrill_core.admission._resting import RestingTransaction, resting_to_end
from bramleyrill_core.admission._simulation import (
    LOADS,
    SERVICE,
    FloodPlan,
    FloodRun,
    Statement,
)
from bramleyrill_core.admission._stages import (
    SINGLE_START_SHARE,
    MemberAdmission,
    max_start_delay,
)
from bramleyrill_core.admission._values import Queued, Refused, Started, equal_weight

RANKS = (Rank.URGENT, Rank.EVERYDAY)
RESTING_TEAM = "resting"
# Share of the teams that is called the worst served.
WORST_SHARE = 0.1
_REST_S = 60.0
_IDLE_LIMIT = timedelta(seconds=2)
# Time after which a caller that rests begins its next transaction, whatever became of the last one.
_RESTING_CALLER_CYCLE_S = 3.0


@frozen
class TeamPlan(FloodPlan):
    """Load of many teams of uneven size, of which some send more than usual in the flood.

    `usual_load` is the share of the capacity that all teams together use. `multiples` gives the
    factor of teams by number, the largest being 0; `class_multiple` that of all teams in the rank
    `flooded`. `resting_callers` is the number of callers of one more team that rest in
    transactions: the slots then stand for connections, and a request for a transaction.
    """

    multiple: float = 1.0
    flooded: Rank = Rank.EVERYDAY
    slots: int = 6
    mean_service_s: float = 0.015
    flood_to_s: float = 17.0
    end_s: float = 18.0
    teams: int = 40
    skew: float = 1.2
    usual_load: float = 0.5
    multiples: dict[int, float] = field(factory=dict)
    class_multiple: float = 1.0
    resting_callers: int = 0

    def is_usual(self, team: str) -> bool:
        """Return whether a team keeps to its usual load."""
        return team != RESTING_TEAM and int(team) not in self.multiples

    def shares(self) -> list[float]:
        """Return the share of each team in the usual load."""
        sizes = [(number + 1) ** -self.skew for number in range(self.teams)]
        return [size / sum(sizes) for size in sizes]


@define
class TeamResult:
    """What the callers of some teams got: counts of requests, and their waits in seconds."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    wait_s: float = 0.0

    def add(self, other: "TeamResult") -> None:
        """Add the counts of other callers."""
        self.offered += other.offered
        self.on_time += other.on_time
        self.late += other.late
        self.refused += other.refused
        self.wait_s += other.wait_s

    @property
    def on_time_share(self) -> float:
        """Return the share of requests that were served on time."""
        return self.on_time / self.offered if self.offered else 1.0

    @property
    def mean_wait(self) -> timedelta:
        """Return the mean wait of the served requests."""
        return timedelta(seconds=self.wait_s / max(self.on_time + self.late, 1))


@define
class TeamPlayResult:
    """Results by team and rank of one play; `is_usual` tells the teams that did not flood."""

    plan: TeamPlan
    by_team_and_rank: dict[tuple[str, Rank], TeamResult] = field(factory=dict)

    def of(self, team: str, rank: Rank) -> TeamResult:
        """Return the result of one team and rank."""
        return self.by_team_and_rank.setdefault((team, rank), TeamResult())

    def total(self, usual: bool, rank: Rank | None = None) -> TeamResult:
        """Return the sum over the teams that kept to their usual load, or over the others."""
        sum_of_teams = TeamResult()
        for (team, team_rank), result in self.by_team_and_rank.items():
            if self.plan.is_usual(team) is usual and rank in (None, team_rank):
                sum_of_teams.add(result)
        return sum_of_teams

    def worst_teams(self) -> TeamResult:
        """Return the sum over the worst served tenth of the teams that kept to their usual."""
        teams = {team for team, _ in self.by_team_and_rank if self.plan.is_usual(team)}
        by_team = {team: TeamResult() for team in sorted(teams)}
        for (team, _), result in self.by_team_and_rank.items():
            if team in by_team:
                by_team[team].add(result)
        worst = sorted(by_team.values(), key=lambda result: result.on_time_share)
        sum_of_teams = TeamResult()
        for result in worst[: max(1, round(len(worst) * WORST_SHARE))]:
            sum_of_teams.add(result)
        return sum_of_teams


def play_teams(plan: TeamPlan, policy: str) -> TeamPlayResult:
    """Play one plan under a policy of `POLICIES`.

    `by_limit` weighs teams as limits in proportion to their usual load would, in start-time order;
    `start_time` and the others give them equal shares.

    Example: `play_teams(TeamPlan(multiples={0: 8.0}), "start_time").worst_teams().on_time_share`.
    """
    order = "start_time"
    if policy in ("deficit_round_robin", "shuffle_sharding"):
        order = "deficit_round_robin"
    shares = plan.shares()

    def weight_of(team: str) -> float:
        by_limit = policy == "by_limit" and team != RESTING_TEAM
        return max(shares[int(team)] * plan.teams, 1.0) if by_limit else 1.0

    def build(clock: ManualClock) -> MemberAdmission:
        expected = timedelta(seconds=plan.mean_service_s)
        return MemberAdmission(SERVICE, plan.slots, expected, clock, weight_of, order)

    run = _TeamRun(plan, build, policy=policy)
    run.run()
    return run.team_results


@define(eq=False)
class _TeamRun(FloodRun):
    policy: str = field(kw_only=True)
    team_results: TeamPlayResult = field(init=False)
    resting: dict[int, Statement] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.team_results = TeamPlayResult(self.plan)

    def _streams(self) -> list[Iterator[tuple[float, Rank, float, str]]]:
        streams = [
            _team_arrivals(self.plan, number, share, rank)
            for number, share in enumerate(self.plan.shares())
            for rank in RANKS
        ]
        return [*streams, _resting_arrivals(self.plan)]

    def _submit(self, request_id: int, statement: Statement) -> Started | Queued | Refused:
        if self._in_flood(statement.arrived_s):
            self.team_results.of(statement.team, statement.rank).offered += 1
        now, load = self.clock.monotonic(), LOADS[statement.rank]
        on_time = max_start_delay(timedelta(seconds=load.target_s), False)
        deadline = now + timedelta(seconds=load.deadline_s)
        team = self._queue_of(statement.team)
        return self.queue.submit(request_id, statement.rank, now + on_time, deadline, team)

    def _queue_of(self, team: str) -> str:
        """Return the name under which a team's request is queued, by the policy of the play."""
        if self.policy == "arrival":
            return ""
        if self.policy == "shuffle_sharding":
            waiting = self.queue.waiting_by_team()
            return min(_weighed_orders.shards_of(team), key=lambda shard: waiting.get(shard, 0))
        return team

    def _tick(self, now_s: float) -> None:
        super()._tick(now_s)
        for request_id in self._resting_to_end(now_s):
            self._end(now_s, request_id)

    def _resting_to_end(self, now_s: float) -> list[int]:
        if self.policy in ("arrival", "shuffle_sharding"):
            # As without the decision: each is ended at the limit.
            limit_s = now_s - _IDLE_LIMIT.total_seconds()
            return [key for key, item in self.resting.items() if item.started_s <= limit_s]
        if not self.resting:
            return []
        resting = [
            RestingTransaction(key, item.team, timedelta(seconds=now_s - item.started_s))
            for key, item in self.resting.items()
        ]
        held = {RESTING_TEAM: len(resting)}
        waiting = self.queue.waiting_by_team()
        return resting_to_end(resting, waiting, held, _IDLE_LIMIT, equal_weight)

    def _handle_outcomes(self, outcomes: list, now_s: float) -> None:
        for outcome in outcomes:
            statement = self.statements[outcome.id]
            if type(outcome) is Refused and self._in_flood(statement.arrived_s):
                self.team_results.of(statement.team, statement.rank).refused += 1
        super()._handle_outcomes(outcomes, now_s)

    def _start(self, request_id: int, now_s: float) -> None:
        super()._start(request_id, now_s)
        statement = self.statements[request_id]
        if statement.team == RESTING_TEAM:
            self.resting[request_id] = statement

    def _end(self, at_s: float, request_id: int) -> None:
        statement = self.statements.get(request_id)
        if statement is None:
            return
        self.resting.pop(request_id, None)
        if self._in_flood(statement.arrived_s):
            self._count_served(statement, at_s)
        super()._end(at_s, request_id)

    def _count_served(self, statement: Statement, at_s: float) -> None:
        result = self.team_results.of(statement.team, statement.rank)
        wait_s, target_s = statement.started_s - statement.arrived_s, LOADS[statement.rank].target_s
        result.wait_s += wait_s
        if self.plan.resting_callers:
            # The length of a transaction is its caller's; only the wait counts.
            in_time = wait_s <= target_s * SINGLE_START_SHARE
        else:
            in_time = at_s - statement.arrived_s <= target_s
        result.on_time += in_time
        result.late += not in_time


def _team_arrivals(
    plan: TeamPlan, number: int, share: float, rank: Rank
) -> Iterator[tuple[float, Rank, float, str]]:
    """Yield the arrivals of one team and rank as a Poisson process; each rank has half of them."""
    random = Random(f"{plan.seed}/{number}/{rank}")
    usual_rate = plan.usual_load * share * plan.slots / plan.mean_service_s / len(RANKS)
    factor = plan.multiples.get(number, 1.0)
    if rank is plan.flooded:
        factor *= plan.class_multiple
    periods = (
        (0.0, plan.flood_from_s, 1.0),
        (plan.flood_from_s, plan.flood_to_s, factor),
        (plan.flood_to_s, plan.end_s, 1.0),
    )
    for begin_s, end_s, multiple in periods:
        now_s = begin_s + random.expovariate(usual_rate * multiple)
        while now_s < end_s:
            yield now_s, rank, random.expovariate(1.0 / plan.mean_service_s), str(number)
            now_s += random.expovariate(usual_rate * multiple)


def _resting_arrivals(plan: TeamPlan) -> Iterator[tuple[float, Rank, float, str]]:
    """Yield the transactions of callers that rest; each begins another one after a while."""
    if not plan.resting_callers:
        return
    step_s = _RESTING_CALLER_CYCLE_S / plan.resting_callers
    now_s = plan.flood_from_s
    while now_s < plan.flood_to_s:
        yield now_s, Rank.EVERYDAY, _REST_S, RESTING_TEAM
        now_s += step_s


POLICIES = ("arrival", "by_limit", "start_time", "deficit_round_robin", "shuffle_sharding")
_TRANSACTIONS = {"slots": 50, "mean_service_s": 0.3, "resting_callers": 120}
PLAYS = {
    "usual": TeamPlan(),
    "one team at 8": TeamPlan(multiples={0: 8.0}),
    "four teams at 12": TeamPlan(multiples=dict.fromkeys(range(1, 5), 12.0)),
    "120 resting": TeamPlan(**_TRANSACTIONS),
    "burst of 2.4": TeamPlan(class_multiple=2.4, flood_to_s=10.0, end_s=12.0),
}
SLOW_FACTOR = 3.0


def slowed(plan: TeamPlan) -> TeamPlan:
    """Return the plan at a member that is three times slower for the whole flood."""
    return evolve(
        plan, slow_factor=SLOW_FACTOR, slow_from_s=plan.flood_from_s, slow_to_s=plan.flood_to_s
    )


def format_team_plays(seed: int) -> list[str]:
    """Return the table of all plays and policies as lines of Markdown.

    Cells hold the shares of requests on time, late and refused in percent, and the mean wait of
    the served ones in ms, each of the teams that kept to their usual but for the last column.
    """
    lines = ["| play | policy | urgent | everyday | worst tenth of teams | flooding teams |"]
    lines.append("|---|---|---|---|---|---|")
    for name, plan in PLAYS.items():
        for chosen, title in ((plan, name), (slowed(plan), f"{name}, slow")):
            for policy in POLICIES:
                result = play_teams(evolve(chosen, seed=seed), policy)
                cells = [result.total(True, rank) for rank in RANKS]
                cells += [result.worst_teams(), result.total(False)]
                lines.append(f"| {title} | {policy} | {' | '.join(map(_cell, cells))} |")
    return lines


def _cell(result: TeamResult) -> str:
    if not result.offered:
        return "-"
    parts = (result.on_time, result.late, result.refused)
    percents = " / ".join(f"{100.0 * part / result.offered:.1f}" for part in parts)
    return f"{percents}, {result.mean_wait / timedelta(milliseconds=1):.0f}"
