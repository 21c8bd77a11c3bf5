"""Measure whether this VM is slow, and tell it to the other VMs and to the load balancer."""

import time
import zlib
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from attrs import evolve
from bramleyrill_base import log_event
from bramleyrill_core.placement import (
    MAX_SLOW_MS,
    VmEntry,
    may_be_marked,
    may_leave_rotation,
    slow_vms,
)
from bramleyrill_core.vm_health import (
    MAX_DELAY,
    Change,
    Evidence,
    RotationBudget,
    RoundTrips,
    SelfObservation,
    SlownessState,
    Verdict,
    accepted_delay,
)

from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._state import EntryState

# A process that starts is busy with its imports and the first connections.
WARM_UP = timedelta(seconds=4)
# Timers between two measures of the processor while this VM seems fine.
TIMERS_PER_MEASURE = 5
# A VM whose own timers are this late measures nothing of its peers.
MAX_OBSERVER_DELAY = timedelta(milliseconds=25)
# How long the last evidence keeps a slow VM out of rotation.
OUT_AFTER_EVIDENCE = timedelta(seconds=2)
# Work of constant size, done without a system call: some 15 microseconds of a core.
_PROBE_INPUT = bytes(32_768)
PROBE_REPEATS = 3
MAX_LOGGED_PEERS = 256
_PEERS_KEY = "peers_in_domain"
_MILLISECOND = timedelta(milliseconds=1)
_MICROSECOND = timedelta(microseconds=1)


class VmHealth:
    """Observe this VM and its peers each time a periodic timer fires.

    `timer_fired` is to be called by a task that runs with the pause `interval`, at its start, and
    `timer_set` at its end. `change_hooks` are called when the entry of this VM changed.
    """

    def __init__(self, state: EntryState, interval: timedelta) -> None:
        self._state = state
        self._interval = interval
        self._started_at = state.now()
        self._timer_set_at: timedelta | None = None
        self._timers = 0
        self._measured_at = self._started_at
        self._processor_time = _processor_time()
        self._logged_peers: set[str] = set()
        self._logged_bound = False
        self._rotation = RotationBudget()
        self._was_out = False
        self.observation = SelfObservation()
        self.round_trips = RoundTrips()
        self.slowness = SlownessState()
        self.change_hooks: list[Callable[[], None]] = []

    def timer_set(self) -> None:
        """Record that the timer was set."""
        self._timer_set_at = self._state.now()

    def timer_fired(self) -> None:
        """Record that the timer fired, judge this VM and tell a change."""
        now = self._state.now()
        if self._timer_set_at is None or now - self._started_at < WARM_UP:
            return
        observation = self.observation
        observation.record_timer(now - self._timer_set_at - self._interval)
        self._timers += 1
        is_regular = self._timers % TIMERS_PER_MEASURE == 0
        if is_regular or observation.suspicious:
            self._measure(now, is_regular)
        evidence = observation.judge(now, self._peers_in_domain())
        may_mark = evidence.verdict is Verdict.FINE or may_be_marked(self._state.vms)
        change = self.slowness.update(evidence, now, may_mark)
        if change is not None:
            self._tell(change, evidence)
        elif not self.slowness.slow:
            self._log_bound(evidence, now)

    def is_out_of_rotation(self) -> bool:
        """Return whether the balancer is told that this VM is not ready because it is slow."""
        now = self._state.now()
        slowness = self.slowness
        wanted = (
            slowness.slow
            and slowness.is_clear
            and now - slowness.evidence_at < OUT_AFTER_EVIDENCE
            and may_leave_rotation(self._state.vms)
        )
        is_out = self._rotation.is_out(wanted, now)
        if is_out is not self._was_out:
            self._was_out = is_out
            log_event("vm_out_of_rotation" if is_out else "vm_in_rotation", reason="slow")
        return is_out

    @property
    def loop_delay_us(self) -> int:
        """Return how late timers fire, for peers."""
        return min(self.observation.loop_delay, MAX_DELAY) // _MICROSECOND

    def record_round_trip(self, peer: VmEntry, round_trip: timedelta) -> timedelta:
        """Record the round trip of a ping; return by how much the answer was late, or zero."""
        if self.observation.loop_delay > MAX_OBSERVER_DELAY:
            return timedelta()
        return self.round_trips.record(peer.domain, round_trip) or timedelta()

    def hear(self, vm: str, loop_delay_us: Any, late_by_us: Any = None) -> None:
        """Take what a peer told: how late its timers are, and how late this VM answered it."""
        now = self._state.now()
        try:
            loop_delay, late_by = accepted_delay(loop_delay_us), accepted_delay(late_by_us)
        except ValueError as error:
            self._log_peer(vm, error)
            return
        if loop_delay is not None:
            self.observation.record_peer_delay(vm, loop_delay, now)
        if late_by is not None:
            self.observation.record_report(vm, late_by, now)

    def update_metrics(self, metrics: EntryMetrics) -> None:
        """Set the gauges of this VM."""
        vms = self._state.vms
        metrics.set_gauge("vm_slow", self.slowness.slow)
        metrics.set_gauge("vm_capacity", vms.own.capacity / 1000)
        metrics.set_gauge("vms_passed_by", len(slow_vms(vms)))
        metrics.set_gauge("vm_loop_delay_seconds", self.observation.loop_delay.total_seconds())

    def _measure(self, now: timedelta, is_regular: bool) -> None:
        """Measure the processor's speed and the use of the share that this VM is granted."""
        self.observation.record_probe(_probe(), is_regular)
        used = _processor_time()
        granted = (now - self._measured_at) * min(self._state.settings.cpu_share or 1.0, 1.0)
        self.observation.record_processor(used - self._processor_time, granted)
        self._measured_at, self._processor_time = now, used

    def _peers_in_domain(self) -> int:
        vms = self._state.vms
        count = vms.cache.get(_PEERS_KEY)
        if count is None:
            here = self._state.settings.domain
            count = sum(row.entry.domain == here and row.usable for row in vms.vms)
            vms.cache[_PEERS_KEY] = count
        return count

    def _tell(self, change: Change, evidence: Evidence) -> None:
        """Change this VM's entry, which each ping and each answer to one carries."""
        own = self._state.vms.own
        slow_ms = 0
        if change is Change.MARK:
            slow_ms = min(max(evidence.late_by // _MILLISECOND, 1), MAX_SLOW_MS)
        self._state.vms.own = evolve(own, slow_ms=slow_ms, sequence=own.sequence + 1)
        self._logged_bound = False
        for hook in self.change_hooks:
            hook()
        log_event(
            "vm_slow" if change is Change.MARK else "vm_fine",
            **_fields(evidence),
            passed_by=own.id in slow_vms(self._state.vms),
        )

    def _log_bound(self, evidence: Evidence, now: timedelta) -> None:
        """Log once that this VM is not marked because enough others are."""
        if evidence.verdict is Verdict.FINE:
            self._logged_bound = False
        elif self.slowness.is_due(now) and not self._logged_bound:
            self._logged_bound = True
            log_event("vm_slow_not_told", why="enough_are_slow", **_fields(evidence))

    def _log_peer(self, vm: str, reason: Any) -> None:
        if vm not in self._logged_peers and len(self._logged_peers) < MAX_LOGGED_PEERS:
            self._logged_peers.add(vm)
            log_event("peer_delay_ignored", vm=vm, reason=reason)


def _fields(evidence: Evidence) -> dict[str, Any]:
    return {
        "verdict": evidence.verdict.value,
        "by": evidence.reason or "-",
        "loop_delay": evidence.loop_delay,
        "slowdown": round(evidence.slowdown, 2),
        "processor_use": round(evidence.processor_use, 2),
        "peer_delay": evidence.peer_delay,
        "observed": evidence.observed,
        "observers": evidence.observers,
        "told_by": ",".join(evidence.observer_vms) or "-",
    }


def _processor_time() -> timedelta:
    return timedelta(seconds=time.process_time())


def _probe() -> timedelta:
    """Return the shortest time that the work of constant size took."""
    times_ns = []
    for _ in range(PROBE_REPEATS):
        began = time.perf_counter_ns()
        zlib.adler32(_PROBE_INPUT)
        times_ns.append(time.perf_counter_ns() - began)
    return timedelta(microseconds=min(times_ns) / 1000)
