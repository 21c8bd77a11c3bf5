"""What a VM observes of itself and hears from its peers, and the verdict that follows from it.

A timer that fires late shows that the process did not get to run, because it was busy or because
its machine was slow. Two measures tell these apart: the processor time that it used, and the time
that a piece of work of constant size takes. Peers tell how late their own timers are, so that a
cause that all have in common is no reason to pass one by, and how late this VM answers, which also
shows a bad link.
"""

from collections import deque
from datetime import timedelta
from enum import Enum
from typing import Any

from attrs import frozen

from bramleyrill_core.vm_health._statistics import median, spread

# A timer that is later than this delays a statement noticeably at each VM that it passes.
LATE_TIMER = timedelta(milliseconds=50)
# A VM is late beside its peers if its delay is this many spreads beyond their median. The smallest
# spread, in time and in relation to the median, keeps equal peers from making each difference
# significant.
LATE_SPREADS = 4
MIN_SPREAD = timedelta(milliseconds=5)
MIN_RELATIVE_SPREAD = 0.125
# Timers of which the median counts, so that a single pause, as of a freeze, does not.
COUNTED_TIMERS = 3
# Work of constant size that takes this many times its usual time shows a slow processor.
SLOW_PROCESSOR = 2.5
# One that is back below this is not slow.
FINE_PROCESSOR = 1.6
COUNTED_PROBES = 3
REMEMBERED_PROBES = 64
MIN_PROBES = 8
# A process that uses this part of its processor share is busy with its own work.
BUSY_PROCESSOR_USE = 0.7
# How long what a peer told counts.
PEER_DELAY_LIFE = timedelta(seconds=6)
REPORT_LIFE = timedelta(seconds=2)
# Fewer observers may be at fault themselves.
MIN_OBSERVERS = 3
MIN_PEERS = 2
# A VM keeps what this many peers told, the newest ones.
MAX_PEERS = 256
# Observers that a log line names.
MAX_NAMED = 4


class Verdict(Enum):
    """What a VM is: fine, late by much work of its own, or late without it."""

    FINE = "fine"
    BUSY = "busy"
    SLOW = "slow"


@frozen
class Evidence:
    """A verdict and the measures that it rests on.

    `slowdown` is the time of work of constant size in relation to the usual, `processor_use` the
    part of the processor share that was used. `peer_delay` is the median of the peers' timers, and
    `observed` the median of what `observers` of them measured of this VM's answers; `observer_vms`
    names some.
    """

    verdict: Verdict
    reason: str
    loop_delay: timedelta
    slowdown: float = 1.0
    processor_use: float = 0.0
    peer_delay: timedelta = timedelta()
    observers: int = 0
    observed: timedelta = timedelta()
    observer_vms: tuple[str, ...] = ()

    @property
    def late_by(self) -> timedelta:
        """Return the delay that the VM adds to what passes through it."""
        return max(self.loop_delay, self.observed)


class SelfObservation:
    """The recent measures of this VM and what its peers told; bounded in size."""

    def __init__(self) -> None:
        self._timers: deque[timedelta] = deque(maxlen=COUNTED_TIMERS)
        self._probes: deque[timedelta] = deque(maxlen=COUNTED_PROBES)
        self._usual_probes: deque[timedelta] = deque(maxlen=REMEMBERED_PROBES)
        self._usual_probe = timedelta()
        self._processor_use = 0.0
        self._delay_by_peer: dict[str, tuple[timedelta, timedelta]] = {}
        self._report_by_peer: dict[str, tuple[timedelta, timedelta]] = {}

    @property
    def loop_delay(self) -> timedelta:
        """Return how late timers fire."""
        return median(self._timers)

    @property
    def slowdown(self) -> float:
        """Return the time of work of constant size in relation to the usual; 1 if unknown."""
        if len(self._usual_probes) < MIN_PROBES or not self._usual_probe:
            return 1.0
        return median(self._probes) / self._usual_probe

    @property
    def suspicious(self) -> bool:
        """Return whether the last measure alone asks for more of them."""
        if self._timers and self._timers[-1] >= LATE_TIMER:
            return True
        usual = self._usual_probe
        return bool(usual and self._probes and self._probes[-1] >= SLOW_PROCESSOR * usual)

    def record_timer(self, late_by: timedelta) -> None:
        """Record by how much a timer fired late."""
        self._timers.append(max(late_by, timedelta()))

    def record_processor(self, used: timedelta, granted: timedelta) -> None:
        """Record the processor time that was used since the last call, of the time granted."""
        if granted > timedelta():
            self._processor_use = max(used / granted, 0.0)

    def record_probe(self, took: timedelta, regular: bool = True) -> None:
        """Record the time of work of constant size.

        Only regular ones make up what is usual: those added while the VM seems slow would outweigh
        them.
        """
        if took <= timedelta():
            return
        self._probes.append(took)
        if regular:
            self._usual_probes.append(took)
            self._usual_probe = median(self._usual_probes)

    def record_peer_delay(self, vm: str, delay: timedelta, now: timedelta) -> None:
        """Record how late a peer says that its timers are."""
        _put(self._delay_by_peer, vm, (now, delay))

    def record_report(self, vm: str, late_by: timedelta, now: timedelta) -> None:
        """Record by how much this VM's answer was late at a peer."""
        _put(self._report_by_peer, vm, (now, late_by))

    def judge(self, now: timedelta, peers_in_domain: int) -> Evidence:
        """Return the verdict; `peers_in_domain` is the number of VMs that may observe this one."""
        loop_delay, slowdown = self.loop_delay, self.slowdown
        reports = _recent(self._report_by_peer, now - REPORT_LIFE)
        observed = median(reports)
        needed = max(min(MIN_OBSERVERS, peers_in_domain), MIN_PEERS)
        is_reported = len(reports) >= needed and observed >= LATE_TIMER
        if loop_delay < LATE_TIMER and slowdown < SLOW_PROCESSOR and not is_reported:
            return Evidence(Verdict.FINE, "", loop_delay, slowdown, self._processor_use)
        peer_delays = _recent(self._delay_by_peer, now - PEER_DELAY_LIFE)
        peer_delay = median(peer_delays)
        is_late = loop_delay >= self._late_beside(peer_delays, peer_delay)
        verdict, reason = self._verdict(slowdown, is_late, is_reported)
        return Evidence(
            verdict,
            reason,
            loop_delay,
            slowdown,
            self._processor_use,
            peer_delay,
            len(reports),
            observed,
            tuple(list(self._report_by_peer)[-len(reports) :][:MAX_NAMED]) if reports else (),
        )

    def _verdict(self, slowdown: float, is_late: bool, is_reported: bool) -> tuple[Verdict, str]:
        if slowdown >= SLOW_PROCESSOR:
            return Verdict.SLOW, "processor"
        if not is_late and not is_reported:
            return Verdict.FINE, ""
        if self._processor_use >= BUSY_PROCESSOR_USE:
            return Verdict.BUSY, "own_work"
        return Verdict.SLOW, "timers" if is_late else "answers"

    def _late_beside(self, peer_delays: list[timedelta], peer_delay: timedelta) -> timedelta:
        """Return the delay from which this VM is late beside its peers."""
        if len(peer_delays) < MIN_PEERS:
            return LATE_TIMER
        smallest = max(MIN_SPREAD, peer_delay * MIN_RELATIVE_SPREAD)
        usual_spread = max(spread(peer_delays, peer_delay), smallest)
        return max(LATE_TIMER, peer_delay + LATE_SPREADS * usual_spread)


def _put(told: dict[str, tuple[timedelta, timedelta]], vm: str, value: Any) -> None:
    """Store what a peer told as the newest, and drop the oldest beyond the bound."""
    told.pop(vm, None)
    told[vm] = value
    if len(told) > MAX_PEERS:
        del told[next(iter(told))]


def _recent(told: dict[str, tuple[timedelta, timedelta]], since: timedelta) -> list[timedelta]:
    return [value for at, value in told.values() if at >= since]
