"""A fleet of quota nodes joined by messages that a test delays, loses, repeats or cuts."""

import heapq
import itertools
import random
from collections import defaultdict
from datetime import timedelta

from bramleyrill_core.limits import REPORT_INTERVAL, Grant, QuotaNode, QuotaTerms, Report, TeamLimit

MS = timedelta(milliseconds=1)
TICK_STEPS = REPORT_INTERVAL // (10 * MS)
TERMS = QuotaTerms(timedelta(seconds=5), 0.1, 20)


class Fleet:
    """Nodes by VM id; `runs_by_team` has the times of the operations that ran."""

    def __init__(self, size, limits, terms=TERMS, seed=1, delay=20 * MS):
        self.random = random.Random(seed)
        self.now = 100 * timedelta(seconds=1)
        self.terms, self.limits, self.version = terms, limits, 1
        self.delay, self.loss, self.repeat, self.lag = delay, 0.0, 0.0, timedelta()
        self.nodes, self.down, self.side_of = {}, set(), {}
        self.checks, self.broken = False, []
        self.frozen_until, self.highest = {}, dict(limits)
        self.runs_by_team = defaultdict(list)
        self.refused = self.messages = 0
        self._queue, self._ids = [], itertools.count()
        self.registered = set()
        for number in range(size):
            self.start(f"vm{number}")
        for node in self.nodes.values():
            node.count.list_fresh(self.registered, True, self.now)

    def start(self, vm, listed=False):
        """Start a VM anew; with `listed` it finds its earlier registration in the store."""
        was_registered = vm in self.registered
        self.registered.add(vm)
        self.down.discard(vm)
        node = QuotaNode(vm, f"{vm}@{next(self._ids)}", self.terms, self.now)
        node.apply(self.limits, self.version, self.now)
        self.nodes[vm] = node
        if listed:
            node.count.list_fresh(self.registered, was_registered, self.now)

    def stop(self, vm):
        self.down.add(vm)

    def freeze(self, vm, duration):
        """Let a VM do nothing for a while, and handle later what has arrived meanwhile."""
        self.frozen_until[vm] = self.now + duration

    def is_frozen(self, vm):
        return self.frozen_until.get(vm, timedelta()) > self.now

    def change_limits(self, limits):
        """Put new limits in force on all VMs that run."""
        self.limits, self.version = limits, self.version + 1
        for team, limit in limits.items():
            highest = self.highest.get(team, limit)
            self.highest[team] = TeamLimit(
                max(limit.rate_per_s, highest.rate_per_s), max(limit.burst, highest.burst)
            )
        for node in self.nodes.values():
            node.apply(limits, self.version, self.now)

    def in_touch(self, one, other):
        sides = self.side_of.get(one, 0), self.side_of.get(other, 0)
        return one not in self.down and other not in self.down and sides[0] == sides[1]

    def tick(self, vm):
        if vm in self.down or self.is_frozen(vm):
            return
        node = self.nodes[vm]
        usable = {other: peer.key for other, peer in self.nodes.items() if self.in_touch(vm, other)}
        node.count.hear(usable, self.now)
        for other in usable:
            node.count.confirm(other, self.now)
        for other in node.vms_to_recall(self.now):
            if self.in_touch(vm, other) and not self.is_frozen(other):
                left = self.nodes[other].on_recall(node.key, self.now)
                node.record_recall(other, left, self.now)
        self.send(vm, node.tick(usable, self.now))

    def send(self, vm, messages):
        for other, message in messages:
            self.messages += 1
            copies = 1 + (self.random.random() < self.repeat)
            for _ in range(copies):
                if self.random.random() >= self.loss and self.in_touch(vm, other):
                    delay = self.delay + self.lag * self.random.random()
                    item = (self.now + delay, next(self._ids), self.nodes[vm].key, vm, other)
                    heapq.heappush(self._queue, (*item, message))

    def advance(self, duration):
        """Deliver the messages that arrive within `duration`."""
        until = self.now + duration
        while self._queue and self._queue[0][0] <= until:
            at, _, key, vm, other, message = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            if other in self.down or not self.in_touch(vm, other):
                continue
            if self.is_frozen(other):
                item = (self.frozen_until[other], next(self._ids), key, vm, other, message)
                heapq.heappush(self._queue, item)
                continue
            self._receive(key, vm, other, message)
        self.now = until

    def _receive(self, key, vm, other, message):
        node = self.nodes[other]
        if isinstance(message, Report):
            grant = node.on_report(key, message, self.now)
            self.send(other, [(vm, grant)] if grant is not None else [])
        elif isinstance(message, Grant):
            self.send(other, node.on_grant(key, message, self.now))

    def arrive(self, vm, team):
        """Let an operation arrive; without a token it asks once and tries again on its answer."""
        if vm in self.down or self.is_frozen(vm):
            return False
        node = self.nodes[vm]
        use = node.record_arrival(team, self.now)
        if node.take(team, self.now):
            self.runs_by_team[team].append(self.now)
            return True
        if use.dry_until > self.now:
            use.refused += 1
            self.refused += 1
            return False
        use.waiting += 1
        self.send(vm, node.request(node.group_of_team(team), self.now))
        return None

    def retry(self, vm, team):
        node = self.nodes[vm]
        use = node.record_arrival(team, self.now)
        use.waiting = max(use.waiting - 1, 0)
        if vm not in self.down and not self.is_frozen(vm) and node.take(team, self.now):
            self.runs_by_team[team].append(self.now)
            return True
        use.refused += 1
        self.refused += 1
        return False

    def lent_to(self, vm):
        """Return the fractions that are lent to a VM as a hub, of all groups."""
        return list(self.nodes[vm].hub_fractions(self.now).values())

    def broken_rules(self):
        """Return which of the two rules that the bound follows from do not hold now."""
        running = [node for vm, node in self.nodes.items() if vm not in self.down]
        lent = defaultdict(float)
        for node in running:
            for group, fraction in node.hub_fractions(self.now).items():
                lent[group] += fraction
        broken = [f"group {group}: {lent[group]}" for group in lent if lent[group] > 1 + 1e-6]
        for team, limit in self.limits.items():
            unused = sum(node.unused_tokens(team, self.now) for node in running)
            if unused > self.terms.stock_of(limit) + 1e-6:
                broken.append(f"{team}: {unused} tokens")
        return broken

    def run(self, duration, rates, step=10 * MS, wait=100 * MS):
        """Play arrivals at `rates` (per second, by team) at random VMs for `duration`."""
        ends, retries = self.now + duration, []
        names = list(self.nodes)
        offsets = {vm: self.random.randrange(TICK_STEPS) for vm in names}
        count = 0
        while self.now < ends:
            self.advance(step)
            count += 1
            for vm in names:
                if (count + offsets[vm]) % TICK_STEPS == 0:
                    self.tick(vm)
            if self.checks and count % 7 == 0:
                self.broken += self.broken_rules()
            for at, vm, team in [item for item in retries if item[0] <= self.now]:
                retries.remove((at, vm, team))
                self.retry(vm, team)
            for team, rate in rates.items():
                expected = rate * step.total_seconds()
                arrivals = int(expected) + (self.random.random() < expected % 1)
                for _ in range(arrivals):
                    vm = self.random.choice(names)
                    if self.arrive(vm, team) is None:
                        retries.append((self.now + wait, vm, team))
        for _, vm, team in retries:
            self.retry(vm, team)


def largest_excess(times, limit: TeamLimit, terms=TERMS):
    """Return by how many operations the fullest window passes what may run; negative if none."""
    window_s = terms.window.total_seconds()
    allowed = (limit.rate_per_s * window_s + limit.burst) * (1 + terms.over) + terms.slack
    first, largest = 0, 0
    times = sorted(times)
    for last, time in enumerate(times):
        while time - times[first] > terms.window:
            first += 1
        largest = max(largest, last - first + 1)
    return largest - allowed
