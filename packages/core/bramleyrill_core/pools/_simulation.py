"""Simulation of three strategies for sharing one member's connections between VMs."""

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
    sends a share `skew` of the requests to one VM, and changes that VM every
    `rebalance_interval_s`. A share `transactions` of the requests has three statements with
    pauses of `think_s` between them. The platform grants and renews no lease between the two times
    of `outage`, in seconds.
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
    """Result of one strategy; latencies are those of served requests, in seconds."""

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
class _ClientRequest:
    id: int
    vm: int
    rank: Rank
    arrived_s: float
    statements: int
    service_times_s: list[float]


class _Engine:
    """Event loop, the member with its slots, and the measured results."""

    def __init__(self, plan: SharingPlan) -> None:
        self.plan = plan
        self.clock = ManualClock()
        self.now = 0.0
        self.result = SharingResult()
        self.connections = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._running = 0
        self._waiting: deque[tuple[_ClientRequest, Callable[[], None]]] = deque()
        self._latencies: list[float] = []
        self._urgent_counts = [0, 0]

    def schedule(self, seconds: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._sequence), call))

    def run(self) -> SharingResult:
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            self.clock.advance_to(max(self.clock.monotonic(), timedelta(seconds=self.now)))
            call()
        ordered = sorted(self._latencies) or [0.0]
        self.result.p50_s = ordered[len(ordered) // 2]
        self.result.p99_s = ordered[int(len(ordered) * 0.99)]
        self.result.urgent_within_target = self._urgent_counts[1] / max(self._urgent_counts[0], 1)
        return self.result

    def execute(self, request: _ClientRequest, done: Callable[[], None]) -> None:
        """Run the next statement; the member queues it, regardless of rank, if no slot is free."""
        self._waiting.append((request, done))
        self._start_next()

    def _start_next(self) -> None:
        in_progress = self._running + len(self._waiting)
        self.result.max_statements = max(self.result.max_statements, in_progress)
        while self._waiting and self._running < self.plan.slots:
            request, done = self._waiting.popleft()
            self._running += 1
            self.schedule(request.service_times_s.pop(), lambda done=done: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self._running -= 1
        done()
        self._start_next()

    def adjust_connections(self, change: int) -> None:
        self.connections += change
        self.result.max_connections = max(self.result.max_connections, self.connections)

    def count_arrival(self, request: _ClientRequest) -> None:
        self.result.offered += 1
        if request.rank is Rank.URGENT:
            self._urgent_counts[0] += 1

    def record_served(self, request: _ClientRequest, extra_s: float = 0.0) -> None:
        latency = self.now - request.arrived_s + extra_s
        self.result.served += 1
        self._latencies.append(latency)
        if request.rank is Rank.URGENT and latency <= TARGET_S[Rank.URGENT]:
            self._urgent_counts[1] += 1


def _admission_request(engine: _Engine, request: _ClientRequest) -> Request:
    deadline = engine.clock.monotonic() + timedelta(seconds=DEADLINE_S[request.rank])
    return Request(request.id, WorkClass("f", "s", request.rank), deadline)


def _build_queue(engine: _Engine, slots: int) -> AdmissionQueue:
    classes = {
        WorkClass("f", "s", rank): ClassPolicy(FLOORS[rank], target=timedelta(seconds=target))
        for rank, target in TARGET_S.items()
    }
    return AdmissionQueue(AdmissionPolicy(slots, classes, adaptive=False), engine.clock)


class _FixedSplit:
    """Each VM has a fixed share of the connections and its own admission queue."""

    def __init__(self, engine: _Engine) -> None:
        self.engine = engine
        plan = engine.plan
        shares = [plan.connections // plan.vms] * plan.vms
        for vm in range(plan.connections % plan.vms):
            shares[vm] += 1
        engine.adjust_connections(sum(shares))
        self.queues = [_build_queue(engine, share) for share in shares]
        self.requests: dict[int, _ClientRequest] = {}

    def submit(self, request: _ClientRequest) -> None:
        self.requests[request.id] = request
        self.handle_outcomes(
            [self.queues[request.vm].submit(_admission_request(self.engine, request))]
        )

    def handle_outcomes(self, outcomes: list) -> None:
        for outcome in outcomes:
            if isinstance(outcome, Started):
                self.next_statement(self.requests[outcome.id])
            elif isinstance(outcome, Refused):
                self.engine.result.refused += 1
                del self.requests[outcome.id]

    def next_statement(self, request: _ClientRequest) -> None:
        self.engine.execute(request, lambda: self.finish_statement(request))

    def finish_statement(self, request: _ClientRequest) -> None:
        if request.service_times_s:
            self.engine.schedule(self.engine.plan.think_s, lambda: self.next_statement(request))
            return
        self.engine.record_served(request)
        del self.requests[request.id]
        self.handle_outcomes(self.queues[request.vm].finish(request.id))


class _Holder(_FixedSplit):
    """One VM holds all connections; the others forward requests to its admission queue."""

    def __init__(self, engine: _Engine) -> None:
        self.engine = engine
        engine.adjust_connections(engine.plan.connections)
        self.queues = [_build_queue(engine, engine.plan.slots)] * engine.plan.vms
        self.requests = {}
        self.connected: set[int] = set()
        self.waiting: list[tuple[Rank, int, _ClientRequest]] = []

    def submit(self, request: _ClientRequest) -> None:
        round_trip_s = self.engine.plan.hop_round_trip_s if request.vm else 0.0
        self.engine.schedule(round_trip_s / 2, lambda: self.arrive(request))

    def arrive(self, request: _ClientRequest) -> None:
        if len(self.connected) >= self.engine.plan.connections:
            heapq.heappush(self.waiting, (request.rank, request.id, request))
            return
        self.requests[request.id] = request
        outcome = self.queues[0].submit(_admission_request(self.engine, request))
        self.handle_outcomes([outcome])

    def next_statement(self, request: _ClientRequest) -> None:
        self.connected.add(request.id)
        super().next_statement(request)

    def finish_statement(self, request: _ClientRequest) -> None:
        round_trip_s = self.engine.plan.hop_round_trip_s if request.vm else 0.0
        if request.service_times_s:
            self.handle_outcomes(self.queues[0].pause(request.id))
            self.engine.schedule(
                self.engine.plan.think_s + round_trip_s, lambda: self.resume(request)
            )
            return
        self.engine.record_served(request, round_trip_s / 2)
        del self.requests[request.id]
        self.connected.discard(request.id)
        self.handle_outcomes(self.queues[0].finish(request.id))
        while self.waiting and len(self.connected) < self.engine.plan.connections:
            self.arrive(heapq.heappop(self.waiting)[2])

    def resume(self, request: _ClientRequest) -> None:
        self.handle_outcomes([self.queues[0].resume(_admission_request(self.engine, request))])


class _Leases:
    """VMs lease connections from the platform, one per call, and return idle ones."""

    def __init__(self, engine: _Engine) -> None:
        self.engine = engine
        self.idle: list[list[float]] = [[] for _ in range(engine.plan.vms)]
        self.pending_calls = [0] * engine.plan.vms
        self.waiting: list[list] = [[] for _ in range(engine.plan.vms)]
        self.free_connections = engine.plan.connections

    def is_platform_down(self) -> bool:
        start, end = self.engine.plan.outage
        return start <= self.engine.now < end

    def submit(self, request: _ClientRequest) -> None:
        heapq.heappush(self.waiting[request.vm], (request.rank, request.id, request))
        self.serve(request.vm)

    def serve(self, vm: int) -> None:
        """Start waiting requests on idle leases, and request another lease if some still wait."""
        now = self.engine.now
        while self.waiting[vm]:
            request = self.waiting[vm][0][2]
            if now - request.arrived_s > DEADLINE_S[request.rank]:
                heapq.heappop(self.waiting[vm])
                self.engine.result.refused += 1
                continue
            lease = self.pop_idle(vm)
            if lease is None:
                break
            heapq.heappop(self.waiting[vm])
            self.next_statement(request, lease)
        if self.waiting[vm] and self.pending_calls[vm] < min(4, len(self.waiting[vm])):
            self.pending_calls[vm] += 1
            self.engine.result.platform_calls += 1
            self.engine.schedule(
                self.engine.plan.platform_call_s, lambda: self.handle_platform_answer(vm)
            )

    def pop_idle(self, vm: int) -> float | None:
        """Return the expiry of an idle lease that is still valid; release expired ones."""
        while self.idle[vm]:
            expires_at_s = self.idle[vm].pop()
            if expires_at_s > self.engine.now:
                return expires_at_s
            self.release_lease()
        return None

    def release_lease(self) -> None:
        self.free_connections += 1
        self.engine.adjust_connections(-1)

    def handle_platform_answer(self, vm: int) -> None:
        if self.is_platform_down() or not self.free_connections:
            # The platform is down or all connections are leased: try again later.
            self.engine.schedule(0.1, lambda: self.retry_call(vm))
            return
        self.pending_calls[vm] -= 1
        self.free_connections -= 1
        self.engine.adjust_connections(1)
        self.add_idle(vm, self.engine.now + self.engine.plan.lease_s)

    def retry_call(self, vm: int) -> None:
        self.pending_calls[vm] -= 1
        self.serve(vm)

    def add_idle(self, vm: int, expires_at_s: float) -> None:
        now = self.engine.now
        if expires_at_s - now < self.engine.plan.lease_s / 2 and not self.is_platform_down():
            self.engine.result.platform_calls += 1
            expires_at_s = now + self.engine.plan.lease_s
        if expires_at_s <= now:
            self.release_lease()
        else:
            self.idle[vm].append(expires_at_s)
            self.engine.schedule(
                self.engine.plan.lease_idle_s, lambda: self.return_unused(vm, expires_at_s)
            )
        self.serve(vm)

    def return_unused(self, vm: int, expires_at_s: float) -> None:
        if expires_at_s in self.idle[vm] and not self.is_platform_down():
            self.idle[vm].remove(expires_at_s)
            self.engine.result.platform_calls += 1
            self.release_lease()

    def next_statement(self, request: _ClientRequest, lease: float) -> None:
        self.engine.execute(request, lambda: self.finish_statement(request, lease))

    def finish_statement(self, request: _ClientRequest, lease: float) -> None:
        if request.service_times_s:
            self.engine.schedule(
                self.engine.plan.think_s, lambda: self.next_statement(request, lease)
            )
            return
        self.engine.record_served(request)
        self.add_idle(request.vm, lease)


STRATEGIES: dict[str, Callable[[_Engine], _FixedSplit | _Leases]] = {
    "split": _FixedSplit,
    "leases": _Leases,
    "holder": _Holder,
}


def _generate_requests(plan: SharingPlan) -> list[_ClientRequest]:
    """Return the requests of a plan, which are the same for every strategy."""
    random = Random(plan.seed)
    statements_each = 1 + 2 * plan.transactions
    requests = []
    for rank in Rank:
        rate = plan.loads[rank] * plan.slots / plan.service_s / statements_each
        now = random.expovariate(rate) if rate else plan.end_s
        while now < plan.end_s:
            favored_vm = int(now / plan.rebalance_interval_s) % plan.vms
            vm = favored_vm if random.random() < plan.skew else random.randrange(plan.vms)
            statements = 3 if random.random() < plan.transactions else 1
            service_times_s = [random.expovariate(1 / plan.service_s) for _ in range(statements)]
            requests.append(
                _ClientRequest(len(requests), vm, rank, now, statements, service_times_s)
            )
            now += random.expovariate(rate)
    return requests


def _arrive(engine: _Engine, strategy: _FixedSplit | _Leases, request: _ClientRequest) -> None:
    engine.count_arrival(request)
    strategy.submit(request)


def compare_sharing(plan: SharingPlan = SharingPlan()) -> dict[str, SharingResult]:
    """Run the same requests with each strategy; return the results by name of the strategy.

    Example: `compare_sharing(SharingPlan(skew=0.8))["holder"].p99_s`.
    """
    results = {}
    for name, build_strategy in STRATEGIES.items():
        engine = _Engine(plan)
        strategy = build_strategy(engine)
        for request in _generate_requests(plan):
            engine.schedule(request.arrived_s, partial(_arrive, engine, strategy, request))
        results[name] = engine.run()
    return results


def format_sharing_results(results: dict[str, SharingResult]) -> list[str]:
    """Return the results as lines of text, one per strategy."""
    return [
        f"{name:<8} served {result.served / max(result.offered, 1):7.2%} of {result.offered}"
        f"  urgent in target {result.urgent_within_target:7.2%}"
        f"  p50 {result.p50_s * 1000:7.1f} ms  p99 {result.p99_s * 1000:8.1f} ms"
        f"  at most {result.max_statements:>3} statements,"
        f" {result.max_connections:>3} connections"
        f"  {result.platform_calls:>6} platform calls"
        for name, result in results.items()
    ]
