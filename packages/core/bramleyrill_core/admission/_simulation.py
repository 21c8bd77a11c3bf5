"""Simulation of load floods at one member, on a manual clock."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta
from random import Random

from attrs import define, field, frozen
from bramleyrill_base import ErrorKind, ManualClock, Problem

from bramleyrill_core._values import Rank
from bramleyrill_core.admission._queue import AdmissionQueue
from bramleyrill_core.admission._values import (
    AdmissionPolicy,
    ClassPolicy,
    Queued,
    Refused,
    Request,
    Started,
    WorkClass,
)

FLEET, SERVICE = "kintsugi", "onarim-defteri"
WINDOW_S = 10
# Slot time is recorded in steps of this length; a window of `WINDOW_S` starts at each step.
STEP_S = 0.1
# Work may finish this much later than at a dedicated server with the capacity of the floor.
_SLACK_S = 1.0
_TICK_S = 0.05


@frozen
class RankLoad:
    """Guarantees of a rank and its base load; `floor` and `base_load` are shares of capacity."""

    floor: float
    target_s: float
    deadline_s: float
    base_load: float


LOADS = {
    Rank.URGENT: RankLoad(0.4, 0.25, 3.0, 0.25),
    Rank.EVERYDAY: RankLoad(0.2, 1.0, 5.0, 0.25),
    Rank.LEAST_URGENT: RankLoad(0.1, 5.0, 10.0, 0.15),
}


@frozen
class FloodPlan:
    """Parameters of a run: in the flood, one rank offers `multiple` times the capacity.

    From `slow_from_s` to `slow_to_s` statements take `slow_factor` times as long. When more than
    `contended_above` statements run at once, they slow down by the square of the ratio, as at a
    member that thrashes. `load_scale` scales the base load.
    """

    multiple: float = 50.0
    flooded: Rank = Rank.LEAST_URGENT
    slots: int = 2
    mean_service_s: float = 0.020
    flood_from_s: float = 5.0
    flood_to_s: float = 35.0
    end_s: float = 50.0
    slow_from_s: float = 0.0
    slow_to_s: float = 0.0
    slow_factor: float = 1.0
    contended_above: int = 0
    load_scale: float = 1.0
    seed: int = 1


@define
class RankResult:
    """Result of one rank: counts of requests that arrived in the flood, and the worst window.

    `min_share` is the smallest share of the capacity that the rank used in a window of
    `WINDOW_S`. `min_floor_ratio` is the smallest ratio of its slot time to that of a dedicated
    server with the capacity of the floor, which does less than the floor if demand is lower.
    """

    offered: int = 0
    served: int = 0
    within_target: int = 0
    refused_at_once: int = 0
    expired: int = 0
    min_share: float = 1.0
    min_floor_ratio: float = 1.0
    within_target_after_flood: float = 1.0

    @property
    def share_within_target(self) -> float:
        """Return the share of offered requests that were served within the target."""
        return self.within_target / self.offered if self.offered else 1.0


@define
class FloodResult:
    """Result of one queue; `utilization` is the share of slot time used in the flood."""

    ranks: dict[Rank, RankResult]
    utilization: float
    statements_per_s: float
    max_in_flight: int


class FirstComeQueue:
    """Baseline: one bounded queue, first come, first served."""

    def __init__(self, slots: int, clock: ManualClock, limit: int = 768) -> None:
        self._slots, self._clock, self._limit = slots, clock, limit
        self._running: set = set()
        self._queue: deque[Request] = deque()

    def submit(self, request: Request) -> Started | Queued | Refused:
        """Start or queue a request, or refuse it if the queue is full."""
        if len(self._running) < self._slots:
            self._running.add(request.id)
            return Started(request.id)
        if len(self._queue) >= self._limit:
            return Refused(request.id, Problem(ErrorKind.NOT_RUN_OVERLOADED))
        self._queue.append(request)
        return Queued(request.id)

    def finish(self, request_id: int) -> list[Started | Refused]:
        """Release a slot and start the oldest requests whose deadline has not passed."""
        self._running.discard(request_id)
        outcomes: list[Started | Refused] = []
        while self._queue and len(self._running) < self._slots:
            request = self._queue.popleft()
            if request.deadline <= self._clock.monotonic():
                outcomes.append(Refused(request.id, Problem(ErrorKind.NOT_RUN_DEADLINE)))
            else:
                self._running.add(request.id)
                outcomes.append(Started(request.id))
        return outcomes

    def tick(self) -> list[Refused]:
        """Do nothing: expired requests are removed when they reach the head of the queue."""
        return []


def ranked_policy(plan: FloodPlan, **options: bool) -> AdmissionPolicy:
    """Return the policy of the simulated member; `options` are flags of `AdmissionPolicy`."""
    classes = {
        WorkClass(FLEET, SERVICE, rank): ClassPolicy(
            load.floor, target=timedelta(seconds=load.target_s)
        )
        for rank, load in LOADS.items()
    }
    return AdmissionPolicy(plan.slots, classes, **options)


QUEUES = ("by_rank", "first_come")


def simulate_flood(
    plan: FloodPlan = FloodPlan(), queues: tuple[str, ...] = QUEUES, **options: bool
) -> dict[str, FloodResult]:
    """Run one flood against the admission queue and against first come, first served.

    Both get the same arrivals and service times, drawn from `plan.seed`, so runs are
    reproducible. `options` are flags of `AdmissionPolicy`, such as `floors=False`.

    Example: `simulate_flood(FloodPlan(multiple=10))["by_rank"].ranks[Rank.URGENT]`.
    """
    policy = ranked_policy(plan, **options)
    builders = {
        "by_rank": lambda clock: AdmissionQueue(policy, clock),
        "first_come": lambda clock: FirstComeQueue(plan.slots, clock),
    }
    return {name: FloodRun(plan, builders[name]).run() for name in queues}


@define
class Statement:
    """A statement of the simulated load; times are in seconds."""

    rank: Rank
    arrived_s: float
    service_s: float
    team: str = ""
    started_s: float = 0.0


def _arrivals(plan: FloodPlan, rank: Rank) -> Iterator[tuple[float, Rank, float, str]]:
    """Yield (arrival, rank, service time, team) of one rank in seconds, as a Poisson process."""
    random = Random(plan.seed * 16 + rank)
    capacity = plan.slots / plan.mean_service_s
    base_rate = LOADS[rank].base_load * capacity * plan.load_scale
    now_s = 0.0
    while True:
        in_flood = rank is plan.flooded and plan.flood_from_s <= now_s < plan.flood_to_s
        rate = plan.multiple * capacity if in_flood else base_rate
        step = random.expovariate(rate)
        if not in_flood and rank is plan.flooded and now_s < plan.flood_from_s <= now_s + step:
            now_s = plan.flood_from_s
            continue
        now_s += step
        if now_s >= plan.end_s:
            return
        yield now_s, rank, random.expovariate(1.0 / plan.mean_service_s), ""


@define(eq=False)
class FloodRun:
    """Run of one queue under one plan."""

    plan: FloodPlan
    build_queue: Callable[[ManualClock], AdmissionQueue | FirstComeQueue]
    clock: ManualClock = field(factory=ManualClock)
    statements: dict[int, Statement] = field(factory=dict)
    ends: list[tuple[float, int]] = field(factory=list)
    running: int = 0
    max_in_flight: int = 0
    served_in_flood: int = 0
    slot_time_s: dict[Rank, list[float]] = field(init=False)
    demand_s: dict[Rank, list[float]] = field(init=False)
    results: dict[Rank, RankResult] = field(init=False)
    queue: AdmissionQueue | FirstComeQueue = field(init=False)
    after_flood: dict[Rank, list[int]] = field(factory=lambda: {rank: [0, 0] for rank in Rank})

    def run(self) -> FloodResult:
        """Run the simulation to the end and return its result."""
        plan = self.plan
        steps = int(plan.end_s / STEP_S) + 1
        self.slot_time_s = {rank: [0.0] * steps for rank in Rank}
        self.demand_s = {rank: [0.0] * steps for rank in Rank}
        self.results = {rank: RankResult() for rank in Rank}
        self.queue = self.build_queue(self.clock)
        next_tick = 0.0
        for request_id, (at_s, rank, service_s, team) in enumerate(heapq.merge(*self._streams())):
            while (self.ends and self.ends[0][0] <= at_s) or next_tick <= at_s:
                if self.ends and self.ends[0][0] <= next_tick:
                    self._end(*heapq.heappop(self.ends))
                else:
                    self._tick(next_tick)
                    next_tick += _TICK_S
            self._arrive(request_id, Statement(rank, at_s, service_s, team))
        return self._report()

    def _streams(self) -> list[Iterator[tuple[float, Rank, float, str]]]:
        return [_arrivals(self.plan, rank) for rank in Rank]

    def _tick(self, now_s: float) -> None:
        self._advance_clock(now_s)
        self._handle_outcomes(self.queue.tick(), now_s)

    def _advance_clock(self, now_s: float) -> None:
        self.clock.advance_to(max(timedelta(seconds=now_s), self.clock.monotonic()))

    def _arrive(self, request_id: int, statement: Statement) -> None:
        at_s = statement.arrived_s
        self._advance_clock(at_s)
        self.statements[request_id] = statement
        if self._in_flood(at_s):
            self.results[statement.rank].offered += 1
        elif at_s >= self.plan.flood_to_s:
            self.after_flood[statement.rank][0] += 1
        outcome = self._submit(request_id, statement)
        if not isinstance(outcome, Queued):
            self._handle_outcomes([outcome], at_s)

    def _submit(self, request_id: int, statement: Statement) -> Started | Queued | Refused:
        rank = statement.rank
        deadline = self.clock.monotonic() + timedelta(seconds=LOADS[rank].deadline_s)
        return self.queue.submit(Request(request_id, WorkClass(FLEET, SERVICE, rank), deadline))

    def _in_flood(self, at_s: float) -> bool:
        return self.plan.flood_from_s <= at_s < self.plan.flood_to_s

    def _slow_factor_at(self, at_s: float) -> float:
        plan = self.plan
        return plan.slow_factor if plan.slow_from_s <= at_s < plan.slow_to_s else 1.0

    def _handle_outcomes(self, outcomes: list, now_s: float) -> None:
        for outcome in outcomes:
            if isinstance(outcome, Started):
                self._start(outcome.id, now_s)
                continue
            statement = self.statements.pop(outcome.id)
            demand_s = statement.service_s * self._slow_factor_at(now_s)
            self.demand_s[statement.rank][int(statement.arrived_s / STEP_S)] += demand_s
            if self._in_flood(statement.arrived_s):
                result = self.results[statement.rank]
                if outcome.problem.kind is ErrorKind.NOT_RUN_DEADLINE:
                    result.expired += 1
                else:
                    result.refused_at_once += 1

    def _start(self, request_id: int, now_s: float) -> None:
        statement = self.statements[request_id]
        statement.started_s = now_s
        self.running += 1
        self.max_in_flight = max(self.max_in_flight, self.running)
        duration_s = statement.service_s * self._slow_factor_at(now_s)
        if self.plan.contended_above and self.running > self.plan.contended_above:
            duration_s *= (self.running / self.plan.contended_above) ** 2
        heapq.heappush(self.ends, (now_s + duration_s, request_id))

    def _end(self, at_s: float, request_id: int) -> None:
        self._advance_clock(at_s)
        self.running -= 1
        statement = self.statements.pop(request_id)
        self._record_slot_time(statement, at_s)
        demand_s = at_s - statement.started_s
        self.demand_s[statement.rank][int(statement.arrived_s / STEP_S)] += demand_s
        in_time = at_s - statement.arrived_s <= LOADS[statement.rank].target_s
        if self._in_flood(at_s):
            self.served_in_flood += 1
        if self._in_flood(statement.arrived_s):
            self.results[statement.rank].served += 1
            self.results[statement.rank].within_target += in_time
        elif statement.arrived_s >= self.plan.flood_to_s:
            self.after_flood[statement.rank][1] += in_time
        self._handle_outcomes(self.queue.finish(request_id), at_s)

    def _record_slot_time(self, statement: Statement, end: float) -> None:
        slot_time_by_step = self.slot_time_s[statement.rank]
        start = statement.started_s
        while start < end:
            step = int(start / STEP_S + 1e-9)
            stop = min(end, (step + 1) * STEP_S)
            if step >= len(slot_time_by_step):
                return
            slot_time_by_step[step] += stop - start
            start = stop

    def _report(self) -> FloodResult:
        plan = self.plan
        first, last = round(plan.flood_from_s / STEP_S), round(plan.flood_to_s / STEP_S)
        for rank, result in self.results.items():
            self._record_worst_windows(rank, result, first, last)
            offered, in_time = self.after_flood[rank]
            result.within_target_after_flood = in_time / offered if offered else 1.0
        capacity_s = plan.slots * (last - first) * STEP_S
        utilization = sum(sum(used[first:last]) for used in self.slot_time_s.values()) / capacity_s
        per_s = self.served_in_flood / (plan.flood_to_s - plan.flood_from_s)
        return FloodResult(self.results, utilization, per_s, self.max_in_flight)

    def _record_worst_windows(self, rank: Rank, result: RankResult, first: int, last: int) -> None:
        width = round(WINDOW_S / STEP_S)
        capacity_s = self.plan.slots * WINDOW_S
        used = [0.0, *itertools.accumulate(self.slot_time_s[rank])]
        slack = round(_SLACK_S / STEP_S)
        reserved = [0.0, *itertools.accumulate(self._reserved_slot_time(rank))]
        for start in range(first, last - width + 1):
            share = (used[start + width] - used[start]) / capacity_s
            reserved_share = (reserved[start + width - slack] - reserved[start]) / capacity_s
            result.min_share = min(result.min_share, share)
            result.min_floor_ratio = min(
                result.min_floor_ratio, share / reserved_share if reserved_share else 1.0
            )

    def _reserved_slot_time(self, rank: Rank) -> Iterator[float]:
        """Yield the slot time per step that a dedicated server with the floor's capacity uses."""
        capacity_per_step_s = LOADS[rank].floor * self.plan.slots * STEP_S
        backlog = 0.0
        for demand_s in self.demand_s[rank]:
            backlog += demand_s
            done = min(capacity_per_step_s, backlog)
            yield done
            # The dedicated server refuses what it cannot serve within the slack, too.
            backlog = min(backlog - done, capacity_per_step_s * _SLACK_S / STEP_S)


def format_flood_results(plan: FloodPlan, results: dict[str, FloodResult]) -> list[str]:
    """Return the results of one run as lines of text, one per queue and rank."""
    lines = [f"flood={plan.flooded.name.lower()} multiple={plan.multiple:g} seed={plan.seed}"]
    for name, outcome in results.items():
        used = (
            f"slot time used {outcome.utilization:.1%}, {outcome.statements_per_s:.1f} statements/s"
        )
        lines.append(f"  {name}: {used}, at most {outcome.max_in_flight} in flight")
        for rank, result in outcome.ranks.items():
            in_time = result.within_target / max(result.served, 1)
            lines.append(
                f"    {rank.name.lower():<13} offered {result.offered:>7}"
                f"  within target {result.share_within_target:7.2%}"
                f" (of served {in_time:6.1%})"
                f"  worst 10 s share {result.min_share:6.1%}"
                f" (floor ratio {result.min_floor_ratio:.2f})"
                f"  refused at once {result.refused_at_once:>7}  expired {result.expired:>5}"
                f"  after the flood {result.within_target_after_flood:7.2%}"
            )
    return lines
