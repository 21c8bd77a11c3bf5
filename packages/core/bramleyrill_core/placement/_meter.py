"""What the holder of a member measures of the member's load."""

import math
from datetime import timedelta

from attrs import define

from bramleyrill_core.placement._stamp import LoadStamp

# Weight of a statement in the moving average of runs; the average covers about the last 20.
_MEAN_WEIGHT = 0.05
# Time constant of the rate of arrivals.
RATE_DECAY_S = 1.0
# Below this use, and without a queue, a member's load changes no choice, and no stamp is sent.
LIGHT_USE = 0.3


@define(eq=False)
class LoadMeter:
    """Arrivals and runs of statements at one member, of the callers of all VMs.

    Example:

        meter = LoadMeter(slots=6)
        meter.record_arrival(clock.monotonic())
        meter.record_run(timedelta(milliseconds=28))
        meter.stamp(in_flight=1, queued=0, now=clock.monotonic())
    """

    slots: int
    _arrivals: float = 0.0
    _decayed_at: timedelta = timedelta()
    _mean_s: float = 0.0

    def record_arrival(self, now: timedelta) -> None:
        """Count a statement that asks for a slot."""
        self._decay(now)
        self._arrivals += 1.0

    def record_run(self, duration: timedelta) -> None:
        """Record the run of a statement at the member."""
        duration_s = duration.total_seconds()
        weight = _MEAN_WEIGHT if self._mean_s else 1.0
        self._mean_s += (duration_s - self._mean_s) * weight

    def stamp(self, in_flight: int, queued: int, now: timedelta) -> LoadStamp:
        """Return the member's load."""
        self._decay(now)
        service_time = timedelta(seconds=self._mean_s)
        return LoadStamp(in_flight, queued, service_time, self._arrivals / RATE_DECAY_S)

    def worth_telling(self, stamp: LoadStamp) -> bool:
        """Return whether a stamp of this member can change a choice of another VM."""
        busy = stamp.arrivals_per_s * stamp.service_time.total_seconds()
        return stamp.queued > 0 or busy >= LIGHT_USE * self.slots

    def _decay(self, now: timedelta) -> None:
        if now > self._decayed_at:
            elapsed_s = (now - self._decayed_at).total_seconds()
            self._arrivals *= math.exp(-elapsed_s / RATE_DECAY_S)
            self._decayed_at = now
