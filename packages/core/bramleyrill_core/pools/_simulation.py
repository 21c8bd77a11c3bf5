"""Simulated sharing of one member's connections between VMs, in the three ways weighed."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from random import Random

from attrs import define, frozen
from bramleyrill_base import ManualClock

from bramleyrill_core._values import Rank
from bramleyrill_core.admission import (
    AdmissionPolicy,
    AdmissionQueue,
    ClassPolicy,
    Refused,
    Request,
    Started,
    WorkClass,
)

TARGET_S = {Rank.URGENT: 0.25, Rank.EVERYDAY: 1.0, Rank.LEAST_URGENT: 5.0}
DEADLINE_S = {Rank.URGENT: 3.0, Rank.EVERYDAY: 5.0, Rank.LEAST_URGENT: 10.0}
FLOORS = {Rank.URGENT: 0.4, Rank.EVERYDAY: 0.2, Rank.LEAST_URGENT: 0.1}


@frozen
class SharingPlan:
    """Parameters of a run: one member with `connections` for statements, and its load.

    `loads` is the load of each rank as a share of the capacity of the slots. The load balancer
    sends a share `skew` of the requests to one VM, another one every `rebalance_interval_s`. A
    share `transactions` of the requests has three statements with pauses of `think_s` between
    them. The platform grants and renews no lease between the two times of `outage`, in seconds.
    """

    vms: int = 9
    connections: int = 12
    slots: int = 2
    service_s: float = 0.020
    loads: tuple[float, float, float] = (0.25, 0.25, 0.2)
    skew: float = 0.4
    rebalance_interval_s: float = 10.0
    transactions: float = 0.2
    think_s: float = 0.030
    hop_round_trip_s: float = 0.001
    platform_call_s: float = 0.005
    lease_s: float = 10.0
    lease_idle_s: float = 1.0
    outage: tuple[float, float] = (0.0, 0.0)
    end_s: float = 60.0
    seed: int = 1


@define
class SharingResult:
    """What came of one way; latencies in seconds, of what was served."""

    offered: int = 0
    served: int = 0
    refused: int = 0
    urgent_within_target: float = 0.0
    p50_s: float = 0.0
    p99_s: float = 0.0
    max_statements: int = 0
    max_connections: int = 0
    platform_calls: int = 0


@define(eq=False)
class _Work:
    id: int
    vm: int
    rank: Rank
    arrived_s: float
    statements: int
    needs_s: list[float]


class _Engine:
    """Events, the member with its slots, and the figures."""

    def __init__(self, plan: SharingPlan) -> None:
        self.plan = plan
        self.clock = ManualClock()
        self.now = 0.0
        self.result = SharingResult()
        self.connections = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._running = 0
        self._waiting: deque[tuple[_Work, Callable[[], None]]] = deque()
        self._latencies: list[float] = []
        self._urgent = [0, 0]

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), call))

    def run(self) -> SharingResult:
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            self.clock.advance_to(max(self.clock.monotonic(), timedelta(seconds=self.now)))
            call()
        ordered = sorted(self._latencies) or [0.0]
        self.result.p50_s = ordered[len(ordered) // 2]
        self.result.p99_s = ordered[int(len(ordered) * 0.99)]
        self.result.urgent_within_target = self._urgent[1] / max(self._urgent[0], 1)
        return self.result

    def execute(self, work: _Work, done: Callable[[], None]) -> None:
        """Run the next statement; beyond the slots the member makes it wait, without ranks."""
        self._waiting.append((work, done))
        self._start_next()

    def _start_next(self) -> None:
        in_progress = self._running + len(self._waiting)
        self.result.max_statements = max(self.result.max_statements, in_progress)
        while self._waiting and self._running < self.plan.slots:
            work, done = self._waiting.popleft()
            self._running += 1
            self.after(work.needs_s.pop(), lambda done=done: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self._running -= 1
        done()
        self._start_next()

    def connect(self, change: int) -> None:
        self.connections += change
        self.result.max_connections = max(self.result.max_connections, self.connections)

    def arrived(self, work: _Work) -> None:
        self.result.offered += 1
        if work.rank is Rank.URGENT:
            self._urgent[0] += 1

    def served(self, work: _Work, extra_s: float = 0.0) -> None:
        latency = self.now - work.arrived_s + extra_s
        self.result.served += 1
        self._latencies.append(latency)
        if work.rank is Rank.URGENT and latency <= TARGET_S[Rank.URGENT]:
            self._urgent[1] += 1


def _request(engine: _Engine, work: _Work) -> Request:
    deadline = engine.clock.monotonic() + timedelta(seconds=DEADLINE_S[work.rank])
    return Request(work.id, WorkClass("f", "s", work.rank), deadline)


def _queue(engine: _Engine, slots: int) -> AdmissionQueue:
    classes = {
        WorkClass("f", "s", rank): ClassPolicy(FLOORS[rank], target=timedelta(seconds=target))
        for rank, target in TARGET_S.items()
    }
    return AdmissionQueue(AdmissionPolicy(slots, classes, adaptive=False), engine.clock)


class _Split:
    """Each VM has a fixed part of the connections, with a queue of its own."""

    def __init__(self, engine: _Engine) -> None:
        self.engine = engine
        plan = engine.plan
        parts = [plan.connections // plan.vms] * plan.vms
        for vm in range(plan.connections % plan.vms):
            parts[vm] += 1
        engine.connect(sum(parts))
        self.queues = [_queue(engine, part) for part in parts]
        self.works: dict[int, _Work] = {}

    def submit(self, work: _Work) -> None:
        self.works[work.id] = work
        self.note([self.queues[work.vm].submit(_request(self.engine, work))])

    def note(self, outcomes: list) -> None:
        for outcome in outcomes:
            if isinstance(outcome, Started):
                self.next_statement(self.works[outcome.id])
            elif isinstance(outcome, Refused):
                self.engine.result.refused += 1
                del self.works[outcome.id]

    def next_statement(self, work: _Work) -> None:
        self.engine.execute(work, lambda: self.done(work))

    def done(self, work: _Work) -> None:
        if work.needs_s:
            self.engine.after(self.engine.plan.think_s, lambda: self.next_statement(work))
            return
        self.engine.served(work)
        del self.works[work.id]
        self.note(self.queues[work.vm].finish(work.id))


class _Holder(_Split):
    """One VM holds all connections; the others forward to its queue."""

    def __init__(self, engine: _Engine) -> None:
        self.engine = engine
        engine.connect(engine.plan.connections)
        self.queues = [_queue(engine, engine.plan.slots)] * engine.plan.vms
        self.works = {}
        self.open: set[int] = set()
        self.blocked: list[tuple[Rank, int, _Work]] = []

    def submit(self, work: _Work) -> None:
        hop = self.engine.plan.hop_round_trip_s if work.vm else 0.0
        self.engine.after(hop / 2, lambda: self.arrive(work))

    def arrive(self, work: _Work) -> None:
        if len(self.open) >= self.engine.plan.connections:
            heapq.heappush(self.blocked, (work.rank, work.id, work))
            return
        self.works[work.id] = work
        outcome = self.queues[0].submit(_request(self.engine, work))
        self.note([outcome])

    def next_statement(self, work: _Work) -> None:
        self.open.add(work.id)
        super().next_statement(work)

    def done(self, work: _Work) -> None:
        hop = self.engine.plan.hop_round_trip_s if work.vm else 0.0
        if work.needs_s:
            self.note(self.queues[0].pause(work.id))
            self.engine.after(self.engine.plan.think_s + hop, lambda: self.resume(work))
            return
        self.engine.served(work, hop / 2)
        del self.works[work.id]
        self.open.discard(work.id)
        self.note(self.queues[0].finish(work.id))
        while self.blocked and len(self.open) < self.engine.plan.connections:
            self.arrive(heapq.heappop(self.blocked)[2])

    def resume(self, work: _Work) -> None:
        self.note([self.queues[0].resume(_request(self.engine, work))])


class _Leases:
    """VMs lease connections from the platform, one call each, and give idle ones back."""

    def __init__(self, engine: _Engine) -> None:
        self.engine = engine
        self.idle: list[list[float]] = [[] for _ in range(engine.plan.vms)]
        self.asking = [0] * engine.plan.vms
        self.waiting: list[list] = [[] for _ in range(engine.plan.vms)]
        self.free = engine.plan.connections

    def is_out(self) -> bool:
        start, end = self.engine.plan.outage
        return start <= self.engine.now < end

    def submit(self, work: _Work) -> None:
        heapq.heappush(self.waiting[work.vm], (work.rank, work.id, work))
        self.serve(work.vm)

    def serve(self, vm: int) -> None:
        """Use idle leases, and ask for one per request that waits without one."""
        now = self.engine.now
        while self.waiting[vm]:
            work = self.waiting[vm][0][2]
            if now - work.arrived_s > DEADLINE_S[work.rank]:
                heapq.heappop(self.waiting[vm])
                self.engine.result.refused += 1
                continue
            lease = self.take_idle(vm)
            if lease is None:
                break
            heapq.heappop(self.waiting[vm])
            self.next_statement(work, lease)
        if self.waiting[vm] and self.asking[vm] < min(4, len(self.waiting[vm])):
            self.asking[vm] += 1
            self.engine.result.platform_calls += 1
            self.engine.after(self.engine.plan.platform_call_s, lambda: self.answered(vm))

    def take_idle(self, vm: int) -> float | None:
        """Return the expiry of an idle lease that lasts; lapsed ones go back to the platform."""
        while self.idle[vm]:
            expires = self.idle[vm].pop()
            if expires > self.engine.now:
                return expires
            self.give_up()
        return None

    def give_up(self) -> None:
        self.free += 1
        self.engine.connect(-1)

    def answered(self, vm: int) -> None:
        if self.is_out() or not self.free:
            # An outage or a member without a free connection: ask again later.
            self.engine.after(0.1, lambda: self.ask_again(vm))
            return
        self.asking[vm] -= 1
        self.free -= 1
        self.engine.connect(1)
        self.put_idle(vm, self.engine.now + self.engine.plan.lease_s)

    def ask_again(self, vm: int) -> None:
        self.asking[vm] -= 1
        self.serve(vm)

    def put_idle(self, vm: int, expires: float) -> None:
        now = self.engine.now
        if expires - now < self.engine.plan.lease_s / 2 and not self.is_out():
            self.engine.result.platform_calls += 1
            expires = now + self.engine.plan.lease_s
        if expires <= now:
            self.give_up()
        else:
            self.idle[vm].append(expires)
            self.engine.after(
                self.engine.plan.lease_idle_s, lambda: self.return_unused(vm, expires)
            )
        self.serve(vm)

    def return_unused(self, vm: int, expires: float) -> None:
        if expires in self.idle[vm] and not self.is_out():
            self.idle[vm].remove(expires)
            self.engine.result.platform_calls += 1
            self.give_up()

    def next_statement(self, work: _Work, lease: float) -> None:
        self.engine.execute(work, lambda: self.done(work, lease))

    def done(self, work: _Work, lease: float) -> None:
        if work.needs_s:
            self.engine.after(self.engine.plan.think_s, lambda: self.next_statement(work, lease))
            return
        self.engine.served(work)
        self.put_idle(work.vm, lease)


WAYS: dict[str, Callable[[_Engine], _Split | _Leases]] = {
    "split": _Split,
    "leases": _Leases,
    "holder": _Holder,
}


def _works(plan: SharingPlan) -> list[_Work]:
    """Return the work of a plan; it is the same for every way."""
    random = Random(plan.seed)
    statements_each = 1 + 2 * plan.transactions
    works = []
    for rank in Rank:
        rate = plan.loads[rank] * plan.slots / plan.service_s / statements_each
        now = random.expovariate(rate) if rate else plan.end_s
        while now < plan.end_s:
            hot = int(now / plan.rebalance_interval_s) % plan.vms
            vm = hot if random.random() < plan.skew else random.randrange(plan.vms)
            statements = 3 if random.random() < plan.transactions else 1
            needs = [random.expovariate(1 / plan.service_s) for _ in range(statements)]
            works.append(_Work(len(works), vm, rank, now, statements, needs))
            now += random.expovariate(rate)
    return works


def _arrive(engine: _Engine, way: _Split | _Leases, work: _Work) -> None:
    engine.arrived(work)
    way.submit(work)


def compare_sharing(plan: SharingPlan = SharingPlan()) -> dict[str, SharingResult]:
    """Run the same work in each way and return the results by the way's name.

    Example: `compare_sharing(SharingPlan(skew=0.8))["holder"].p99_s`.
    """
    results = {}
    for name, build in WAYS.items():
        engine = _Engine(plan)
        way = build(engine)
        for work in _works(plan):
            engine.after(work.arrived_s, partial(_arrive, engine, way, work))
        results[name] = engine.run()
    return results


def format_sharing_results(results: dict[str, SharingResult]) -> list[str]:
    """Return one line per way."""
    return [
        f"{name:<8} served {result.served / max(result.offered, 1):7.2%} of {result.offered}"
        f"  urgent in target {result.urgent_within_target:7.2%}"
        f"  p50 {result.p50_s * 1000:7.1f} ms  p99 {result.p99_s * 1000:8.1f} ms"
        f"  at most {result.max_statements:>3} statements,"
        f" {result.max_connections:>3} connections"
        f"  {result.platform_calls:>6} platform calls"
        for name, result in results.items()
    ]
