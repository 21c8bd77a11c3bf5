"""Reads that outlive what their kind usually takes, and the budget for repeating them elsewhere.

This answers members that turn slow: a read is not held there for the whole of its time limit, and
repeats can't double the load when all members are slow.
"""

from collections.abc import Hashable
from datetime import timedelta

from attrs import define, field
from bramleyrill_base import Table

# Repeats allowed as a part of the reads.
REPEATS_PER_READ = 0.05
# Unused allowance is kept up to this number of repeats.
MAX_SAVED_REPEATS = 10.0
# Reads of a kind that are measured before it has a usual time.
MIN_SAMPLES = 20
# A read is late for its kind at the mean plus this many mean deviations, and at no less than this
# multiple of the mean.
_DEVIATIONS = 6.0
_MIN_MULTIPLE = 3.0
# A shorter limit would end reads that only a busy moment delays.
_MIN_LIMIT = timedelta(milliseconds=100)
_WEIGHT = 0.05
# Kinds that are remembered.
MAX_KINDS = 1000


@define(eq=False)
class UsualTime:
    """Mean run of a kind of read, and the mean deviation from it, in seconds."""

    samples: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0

    def record(self, run: timedelta) -> None:
        """Count the run of a read."""
        run_s = run.total_seconds()
        weight = max(_WEIGHT, 1 / (self.samples + 1))
        self.deviation_s += (abs(run_s - self.mean_s) - self.deviation_s) * weight
        self.mean_s += (run_s - self.mean_s) * weight
        self.samples += 1

    def limit(self) -> timedelta | None:
        """Return the time that such a read rarely exceeds; None if too few were seen."""
        if self.samples < MIN_SAMPLES:
            return None
        limit_s = max(self.mean_s + _DEVIATIONS * self.deviation_s, _MIN_MULTIPLE * self.mean_s)
        return max(timedelta(seconds=limit_s), _MIN_LIMIT)


@define(eq=False)
class RepeatBudget:
    """Usual times by kind of read, and the repeats that may still be made.

    Example:

        budget = RepeatBudget()
        budget.record_read("ledger", timedelta(milliseconds=30))
        limit = budget.first_limit("ledger")
    """

    saved: float = MAX_SAVED_REPEATS
    repeated: int = 0
    by_kind: Table[Hashable, UsualTime] = field(factory=Table)

    def record_read(self, kind: Hashable, run: timedelta | None, is_first: bool = True) -> None:
        """Count a read's attempt, with its run at a member if it was answered.

        Only the first attempt of a read earns a part of a repeat.
        """
        if is_first:
            self.saved = min(self.saved + REPEATS_PER_READ, MAX_SAVED_REPEATS)
        usual = self.by_kind.get(kind)
        if usual is None and len(self.by_kind) < MAX_KINDS:
            usual = self.by_kind.add(kind, UsualTime())
        if usual is not None and run is not None:
            usual.record(run)

    def first_limit(self, kind: Hashable) -> timedelta | None:
        """Return the time after which a read is repeated elsewhere; None if it may not be."""
        usual = self.by_kind.get(kind)
        return usual.limit() if usual is not None and self.saved >= 1 else None

    def spend(self) -> None:
        """Count a repeat; reads that are in flight together may overdraw the budget."""
        self.saved -= 1
        self.repeated += 1
