"""Load of many VMs played through their read placements, with a clock that the test moves.

`python -m tests.placement` prints the table of docs/design/load-knowledge.md.
"""

import heapq
import itertools
import math
import random
from collections import deque
from datetime import timedelta

from attrs import define, field
from bramleyrill_core import MemberRole
from bramleyrill_core.catalog import MemberEntry, MemberState
from bramleyrill_core.placement import LoadSource, LoadStamp, ReadPlacement

SLOTS = 6
DATABASES = 4
REGIONS = {f"{region}-{part}": region for region in ("x", "y", "z") for part in "ab"}
DOMAINS = list(REGIONS)
CHOOSERS = 110
# Share of statements, mean run in seconds, whether only the primary may run it, and target.
KINDS = ((0.15, 0.0093, True, 0.8), (0.15, 0.047, False, 1.2), (0.7, 0.028, False, 1.5))
WAVE, WAVE_PERIOD_S = 0.55, 24.0
STAMP_INTERVAL_S = 0.5
SNAPSHOT_S = 0.05
STATEMENT_BYTES = 700
RATE_DECAY_S = 1.0
# A queue counts as overrun when its wait is longer than twice the way to another region.
LONG_WAIT_S = 0.084


@define(eq=False)
class Member:
    entry: MemberEntry
    speed: float
    queue: deque = field(factory=deque)
    running: int = 0
    mean_s: float = 0.0
    arrivals: float = 0.0
    updated_s: float = 0.0
    snapshots: deque = field(factory=lambda: deque(maxlen=64))

    def decay(self, now_s):
        self.arrivals *= math.exp((self.updated_s - now_s) / RATE_DECAY_S)
        self.updated_s = now_s

    def stamp(self):
        service = timedelta(seconds=self.mean_s)
        return LoadStamp(self.running, len(self.queue), service, self.arrivals / RATE_DECAY_S)


@define(eq=False)
class Result:
    waits: list = field(factory=list)
    asked: dict = field(factory=lambda: dict.fromkeys(DOMAINS, 0))
    on_time: dict = field(factory=lambda: dict.fromkeys(DOMAINS, 0))
    idle_while_queued_s: float = 0.0
    idle_while_overrun_s: float = 0.0
    bytes_between_regions: int = 0

    @property
    def on_time_share(self):
        return sum(self.on_time.values()) / sum(self.asked.values())

    def percentile_ms(self, share):
        return sorted(self.waits)[int(share * (len(self.waits) - 1))] * 1000

    def on_time_shares(self):
        return [self.on_time[domain] / self.asked[domain] for domain in DOMAINS]


class Fleet:
    """110 VMs and 12 members, one for each database and region; one in `slow` runs slower."""

    def __init__(self, policy, age_s, use=0.72, seed=1, slow=()):
        self.random = random.Random(seed)
        self.age_s, self.slow = age_s, dict(slow)
        self.now_s = 0.0
        self.events, self.sequence = [], itertools.count()
        self.result = Result()
        self.members = [self._member(db, r) for db in range(DATABASES) for r in range(3)]
        speeds = sum(1 / member.speed for member in self.members)
        mean_s = sum(share * run_s for share, run_s, *_ in KINDS)
        self.rate = use * SLOTS * speeds / mean_s
        self.vms = []
        for number in range(CHOOSERS):
            source = random.Random(seed * 1000 + number)
            placement = ReadPlacement(DOMAINS[number % 6], REGIONS, policy, source)
            placement.choosers = CHOOSERS
            self.vms.append(placement)
        self.vms_by_domain = {d: self.vms[i::6] for i, d in enumerate(DOMAINS)}
        for number, vm in enumerate(self.vms):
            self.at(STAMP_INTERVAL_S * number / CHOOSERS, self.gossip, vm)
        self.at(0.0, self.snapshot)
        for index, domain in enumerate(DOMAINS):
            self.at(0.0, self.arrive, domain, index)

    def _member(self, database, region):
        domain = DOMAINS[2 * region + database % 2]
        role = MemberRole.PRIMARY if database % 3 == region else MemberRole.REPLICA
        name = f"d{database}{domain}"
        entry = MemberEntry(
            name, f"d{database}", ("10.0.0.1", 1), domain, SLOTS, MemberState.READY, role
        )
        return Member(entry, self.random.choice((0.8, 1.0, 1.0, 1.3)))

    def at(self, time_s, action, *arguments):
        heapq.heappush(self.events, (time_s, next(self.sequence), action, arguments))

    def run(self, seconds):
        while self.events[0][0] < seconds:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.result

    @property
    def now(self):
        return timedelta(seconds=self.now_s)

    def arrive(self, domain, index):
        wave = 1 + WAVE * math.sin(2 * math.pi * (self.now_s / WAVE_PERIOD_S + index // 2 / 3))
        rate = self.rate / len(DOMAINS) * wave
        self.at(self.now_s + self.random.expovariate(rate), self.arrive, domain, index)
        self.result.asked[domain] += 1
        vm = self.random.choice(self.vms_by_domain[domain])
        kind = self.random.choices(KINDS, [kind[0] for kind in KINDS])[0]
        database = self.random.randrange(DATABASES)
        members = self.members[3 * database : 3 * database + 3]
        primary = next(m for m in members if m.entry.role is MemberRole.PRIMARY)
        chosen = primary
        if not kind[2]:
            first = vm.order([m.entry for m in members], primary.entry.id, self.now)[0]
            chosen = next(m for m in members if m.entry is first)
        number = vm.record_sent(chosen.entry.id, self.now)
        if REGIONS[chosen.entry.domain] != REGIONS[domain]:
            self.result.bytes_between_regions += STATEMENT_BYTES
        trip_s = vm.round_trip(chosen.entry.domain).total_seconds() / 2
        statement = (self.now_s, domain, vm, kind, trip_s, number)
        self.at(self.now_s + trip_s, self.queue, chosen, statement)

    def queue(self, member, statement):
        member.decay(self.now_s)
        member.arrivals += 1
        member.queue.append((self.now_s, statement))
        self.start(member)

    def start(self, member):
        while member.queue and member.running < SLOTS:
            queued_s, statement = member.queue.popleft()
            member.running += 1
            run_s = statement[3][1] * self.random.uniform(0.4, 1.6) * member.speed
            since, until, factor = self.slow.get(member.entry.id, (0, 0, 1))
            if since <= self.now_s < until:
                run_s *= factor
            wait_s = self.now_s - queued_s
            self.at(self.now_s + run_s, self.finish, member, statement, wait_s, run_s)

    def finish(self, member, statement, wait_s, run_s):
        member.running -= 1
        member.mean_s += (run_s - member.mean_s) * (0.05 if member.mean_s else 1.0)
        self.start(member)
        self.at(self.now_s + statement[4], self.answer, member, statement, wait_s)

    def answer(self, member, statement, wait_s):
        arrived_s, domain, vm, kind, _, number = statement
        vm.record_ended(member.entry.id, number)
        vm.record_wait(member.entry.id, timedelta(seconds=wait_s), self.now)
        self.result.waits.append(wait_s)
        self.result.on_time[domain] += self.now_s - arrived_s <= kind[3]

    def snapshot(self):
        self.at(self.now_s + SNAPSHOT_S, self.snapshot)
        for member in self.members:
            member.decay(self.now_s)
            member.snapshots.append((self.now_s, member.stamp()))
        for first in range(0, len(self.members), 3):
            group = self.members[first : first + 3]
            if any(m.running < SLOTS for m in group) and any(m.queue for m in group):
                self.result.idle_while_queued_s += SNAPSHOT_S
            free = any(m.running < SLOTS for m in group)
            if free and any(len(m.queue) * m.mean_s / SLOTS > LONG_WAIT_S for m in group):
                self.result.idle_while_overrun_s += SNAPSHOT_S

    def gossip(self, vm):
        """Deliver the stamps of all members, each `age_s` old."""
        self.at(self.now_s + STAMP_INTERVAL_S, self.gossip, vm)
        for member in self.members:
            old = [item for item in member.snapshots if item[0] <= self.now_s - self.age_s]
            if old:
                taken_s, stamp = old[-1]
                age = timedelta(seconds=self.now_s - taken_s)
                vm.record_stamp(member.entry.id, stamp, age, LoadSource.GOSSIP, self.now)
