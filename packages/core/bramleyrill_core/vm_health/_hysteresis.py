"""When a VM calls itself slow and when it stops to: quickly in, slowly out.

This answers the load of a VM that is slow again as soon as its work is back: each further time it
waits longer, so that its members do not move to and fro.
"""

from datetime import timedelta
from enum import Enum

from bramleyrill_core.vm_health._evidence import (
    FINE_PROCESSOR,
    LATE_TIMER,
    SLOW_PROCESSOR,
    Evidence,
    Verdict,
)

# How long the evidence must last before the VM calls itself slow. Much own work passes by itself
# more often, moving it costs new connections, and the next holder may be as busy with it.
# Timers alone may also be late because of a burst of work.
SLOW_AFTER = timedelta(milliseconds=400)
LATE_AFTER = timedelta(milliseconds=800)
BUSY_AFTER = timedelta(seconds=8)
# How long a VM must be fine before it takes work again; doubles with each time that follows soon.
FINE_FOR = timedelta(seconds=3)
MAX_FINE_FOR = timedelta(seconds=12)
REPEATED_WITHIN = timedelta(seconds=30)
# A VM that delays its callers by this much at least is better passed by at the balancer, too.
CLEARLY_LATE = timedelta(milliseconds=150)


class Change(Enum):
    """What a VM should tell the others."""

    MARK = "mark"
    CLEAR = "clear"


class SlownessState:
    """Whether this VM calls itself slow; `update` is to be called several times a second.

    `evidence_at` is the time of the last verdict that was not FINE. `is_clear` is whether callers
    are better served elsewhere: the processor is slow, or all that passes is clearly late.
    """

    def __init__(self) -> None:
        self.slow = False
        self.is_clear = False
        self.evidence_at: timedelta | None = None
        self._late_since: timedelta | None = None
        self._slow_since: timedelta | None = None
        self._by_processor = False
        self._fine_since: timedelta | None = None
        self._fine_for = FINE_FOR
        self._cleared_at: timedelta | None = None

    def update(self, evidence: Evidence, now: timedelta, may_mark: bool) -> Change | None:
        """Take a new verdict into account; return the change that it leads to.

        While `may_mark` is False, because enough VMs are slow already, no mark is set.
        """
        if evidence.verdict is Verdict.FINE:
            return self._update_fine(evidence, now)
        self._record_late(evidence, now)
        self.is_clear = self.is_clear or _is_clear(evidence)
        if self.slow or not may_mark or not self.is_due(now):
            return None
        self.slow = True
        self._set_fine_for(now)
        return Change.MARK

    def is_due(self, now: timedelta) -> bool:
        """Return whether the evidence has lasted long enough for a mark."""
        needed = SLOW_AFTER if self._by_processor else LATE_AFTER
        if self._slow_since is not None and now - self._slow_since >= needed:
            return True
        return self._late_since is not None and now - self._late_since >= BUSY_AFTER

    def _record_late(self, evidence: Evidence, now: timedelta) -> None:
        self._fine_since = None
        self.evidence_at = now
        if self._late_since is None:
            self._late_since = now
        self._by_processor = evidence.slowdown >= SLOW_PROCESSOR
        if evidence.verdict is not Verdict.SLOW:
            self._slow_since = None
        elif self._slow_since is None:
            self._slow_since = now

    def _update_fine(self, evidence: Evidence, now: timedelta) -> Change | None:
        """Clear the mark once the VM has been clearly fine for long enough."""
        self._late_since = self._slow_since = None
        if not self.slow:
            self.is_clear = False
        if evidence.loop_delay > LATE_TIMER / 2 or evidence.slowdown > FINE_PROCESSOR:
            self._fine_since = None
            return None
        if self._fine_since is None:
            self._fine_since = now
        if not self.slow or now - self._fine_since < self._fine_for:
            return None
        self.slow = self.is_clear = False
        self._cleared_at = now
        return Change.CLEAR

    def _set_fine_for(self, now: timedelta) -> None:
        if self._cleared_at is not None and now - self._cleared_at < REPEATED_WITHIN:
            self._fine_for = min(self._fine_for * 2, MAX_FINE_FOR)
        else:
            self._fine_for = FINE_FOR


def _is_clear(evidence: Evidence) -> bool:
    if evidence.verdict is not Verdict.SLOW:
        return False
    return evidence.slowdown >= SLOW_PROCESSOR or evidence.late_by >= CLEARLY_LATE
