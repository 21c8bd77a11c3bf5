"""Rate at which a member fails work, with the uncertainty of few observations.

This answers members that fail a part of their work while their health check is good: they are
neither in nor out, and get the share of reads that they deserve.
"""

import math
from datetime import timedelta

from attrs import define

# Observations lose half their weight in this time, so that a member that recovered is trusted again
# although it got little work meanwhile.
HALF_LIFE = timedelta(seconds=8)
# The bound of the rate is this many standard deviations below the observed rate.
_DEVIATIONS = 1.0
# Successes assumed before anything was observed, so that a single failure proves little.
_ASSUMED_SUCCESSES = 2.0
# The decayed count of failures below which there are none.
_FORGOTTEN_FAILURES = 0.05
# Failures up to this rate cost a member nothing, since their reads are repeated elsewhere.
_TOLERATED_RATE = 0.03
# At this rate a member keeps only the reads that show whether it has recovered.
_SEVERE_RATE = 0.2
MIN_TRUST = 0.05
# Trust falls at once and rises from the least to 1 in about 8 s, so that a member that fails by
# turns is not flooded each time that it seems well.
_TRUST_GAIN_PER_S = 0.12


@define(eq=False)
class FailureRate:
    """Decayed counts of attempts and failures at one member."""

    attempts: float = 0.0
    failures: float = 0.0
    updated_at: timedelta = timedelta()
    _trust: float = 1.0
    _judged_at: timedelta = timedelta()

    def record(self, failed: bool, now: timedelta) -> None:
        """Count one attempt."""
        self._decay(now)
        self.attempts += 1.0
        self.failures += failed

    def lower_bound(self, now: timedelta) -> float:
        """Return the rate that the observations exceed with good confidence (Wilson's bound).

        A single failure among few attempts gives a low bound, and repeated ones a bound near their
        share: 1 of 1 gives 0.14, 10 of 10 gives 0.68, 4 of 12 gives 0.18 and 1 of 100 gives 0.004.
        """
        self._decay(now)
        count, square = self.attempts + _ASSUMED_SUCCESSES, _DEVIATIONS**2
        if self.failures < _FORGOTTEN_FAILURES:
            return 0.0
        rate = min(self.failures / count, 1.0)
        spread = _DEVIATIONS * math.sqrt(rate * (1 - rate) / count + square / (4 * count**2))
        return max((rate + square / (2 * count) - spread) / (1 + square / count), 0.0)

    def trust(self, now: timedelta) -> float:
        """Return the part of its share of reads that a member keeps, from MIN_TRUST to 1."""
        excess = (self.lower_bound(now) - _TOLERATED_RATE) / (_SEVERE_RATE - _TOLERATED_RATE)
        deserved = min(max(1 - excess, MIN_TRUST), 1.0)
        gain = _TRUST_GAIN_PER_S * max((now - self._judged_at).total_seconds(), 0.0)
        self._trust = min(deserved, self._trust + gain)
        self._judged_at = now
        return self._trust

    def _decay(self, now: timedelta) -> None:
        if now > self.updated_at:
            factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE)
            self.attempts *= factor
            self.failures *= factor
            self.updated_at = now
