"""Adaptive limit of statements in progress, driven by the measured service time."""

from enum import Enum, auto

# A service time of this many times the baseline may be an overload of the member. The ratio is
# above 2 because half the concurrency only helps if statements become more than twice as fast.
SLOW_RATIO = 2.5
DECREASE_FACTOR = 0.5
INCREASE_STEP = 0.25
# Only service times near the baseline adjust it; otherwise a lasting overload would become the
# baseline.
NORMAL_RATIO = 1.25
# Statements per evaluation. With 16, random variation of exponential service times halved the
# limit of a healthy member, which lost 6% of the throughput of a run.
SAMPLES_PER_SLOT = 8
MIN_SAMPLES = 64
# Statements per evaluation of a trial. A decrease that does not help must be undone soon, since
# slots stand idle until then.
TRIAL_SAMPLES = 16
# A lower limit is kept if the throughput is at least this share of what it was before. Otherwise
# the member is slow for another reason, and less concurrency only loses throughput.
MIN_THROUGHPUT_RATIO = 0.9
# Number of first statements of a class whose mean service time sets its baseline.
BASELINE_SAMPLES = 20


class _Phase(Enum):
    NORMAL = auto()
    CONFIRM = auto()
    TRIAL = auto()


class InFlightLimit:
    """Limit between 1 and the slots, by additive increase and multiplicative decrease.

    The baseline service time of a class is set by its first statements and follows slow changes.
    When statements become slow, their time is measured once more at the current limit and then
    at a lower one. If throughput falls there, the limit is restored and the slower time becomes
    the baseline.
    """

    __slots__ = (
        "_adaptive",
        "_ratio_before_trial",
        "_sample_count",
        "_limit_before_trial",
        "_phase",
        "_ratio_sum",
        "_samples_to_skip",
        "_baselines",
        "slots",
        "value",
    )

    def __init__(self, slots: int, adaptive: bool) -> None:
        self.slots = slots
        self.value = float(slots)
        self._adaptive = adaptive
        self._baselines: dict[object, tuple[float, int]] = {}
        self._phase = _Phase.NORMAL
        self._ratio_before_trial = 0.0
        self._limit_before_trial = float(slots)
        self._samples_to_skip = 0
        self._sample_count = 0
        self._ratio_sum = 0.0

    def resize(self, slots: int, adaptive: bool) -> None:
        """Set the number of slots and restart at that limit; baselines are kept."""
        self.slots = slots
        self.value = float(slots)
        self._adaptive = adaptive
        self._phase = _Phase.NORMAL

    def record_service_time(self, work_class: object, seconds: float) -> None:
        """Record a statement's service time, and adjust the limit once there are enough of them."""
        if not self._adaptive:
            return
        baseline_s, sample_count = self._baselines.get(work_class, (seconds, 0))
        if sample_count < BASELINE_SAMPLES:
            baseline_s += (seconds - baseline_s) / (sample_count + 1)
            self._baselines[work_class] = (baseline_s, sample_count + 1)
        if self._samples_to_skip > 0:
            self._samples_to_skip -= 1
            return
        self._ratio_sum += seconds / baseline_s if baseline_s > 0 else 1.0
        self._sample_count += 1
        if self._sample_count >= self._samples_needed():
            ratio = self._ratio_sum / self._sample_count
            self._sample_count = 0
            self._ratio_sum = 0.0
            self._evaluate(ratio)

    def _samples_needed(self) -> int:
        if self._phase is _Phase.NORMAL:
            return max(MIN_SAMPLES, SAMPLES_PER_SLOT * self.slots)
        return max(TRIAL_SAMPLES, 2 * self.slots)

    def _evaluate(self, ratio: float) -> None:
        if self._phase is _Phase.TRIAL:
            if (
                self.value / ratio
                < MIN_THROUGHPUT_RATIO * self._limit_before_trial / self._ratio_before_trial
            ):
                self._rescale(self._ratio_before_trial)
                self.value = self._limit_before_trial
            self._phase = _Phase.NORMAL
        elif self._phase is _Phase.CONFIRM:
            self._phase = _Phase.NORMAL
            if ratio > SLOW_RATIO and self.value > 1.0:
                self._phase = _Phase.TRIAL
                self._ratio_before_trial = ratio
                self._limit_before_trial = self.value
                # Statements that started under the higher limit say nothing about the lower one.
                self._samples_to_skip = int(self.value)
                self.value = max(1.0, self.value * DECREASE_FACTOR)
        elif ratio > SLOW_RATIO:
            self._phase = _Phase.CONFIRM
        elif ratio <= NORMAL_RATIO:
            # Far faster statements set a new baseline at once; it follows others by a tenth.
            self._rescale(ratio if ratio < 1.0 / SLOW_RATIO else 1.0 + 0.1 * (ratio - 1.0))
            self.value = min(float(self.slots), self.value + INCREASE_STEP)

    def _rescale(self, ratio: float) -> None:
        """Multiply the baselines of all classes by `ratio`."""
        for work_class, (baseline_s, sample_count) in self._baselines.items():
            self._baselines[work_class] = (baseline_s * ratio, sample_count)
