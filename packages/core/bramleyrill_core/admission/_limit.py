"""Limit of statements in progress, which follows the measured service time."""

from enum import Enum, auto

# A service time of this many times the usual one may be an overload of the member. Half as many
# statements at a time can only do more work if they become more than twice as fast.
SLOW_RATIO = 2.5
DECREASE = 0.5
INCREASE = 0.25
# Only service times near the usual one change it; otherwise a lasting overload becomes usual.
NORMAL_RATIO = 1.25
# Statements per evaluation. With 16, exponential service times halved the limit of a healthy
# member by chance, which lost 6% of the work of a run.
SAMPLES_PER_SLOT = 8
LEAST_SAMPLES = 64
# A decrease that does not help must be taken back soon: until then slots stand idle.
TRIAL_SAMPLES = 16
# A lower limit is kept if it does at least this share of the work; otherwise the member is slow
# for another reason, and fewer statements at a time only lose work.
WORK_KEPT = 0.9
# The first statements of a class set its usual time.
LEARNING_SAMPLES = 20


class _Phase(Enum):
    NORMAL = auto()
    CONFIRM = auto()
    TRIAL = auto()


class InFlightLimit:
    """Additive increase, multiplicative decrease, between 1 and the slots.

    The usual service time of a class is set by its first statements and follows slow changes.
    When statements become slow, their time is measured at the present limit and then at a lower
    one. If they are not faster there, the limit is restored and the slower time becomes usual.
    """

    __slots__ = (
        "_adaptive",
        "_before",
        "_count",
        "_higher",
        "_phase",
        "_ratio_sum",
        "_skip",
        "_usual",
        "slots",
        "value",
    )

    def __init__(self, slots: int, adaptive: bool) -> None:
        self.slots = slots
        self.value = float(slots)
        self._adaptive = adaptive
        self._usual: dict[object, tuple[float, int]] = {}
        self._phase = _Phase.NORMAL
        self._before = 0.0
        self._higher = float(slots)
        self._skip = 0
        self._count = 0
        self._ratio_sum = 0.0

    def resize(self, slots: int, adaptive: bool) -> None:
        """Go on with another number of slots."""
        self.slots = slots
        self.value = float(slots)
        self._adaptive = adaptive
        self._phase = _Phase.NORMAL

    def note(self, work_class: object, seconds: float) -> None:
        """Take in the service time of one statement."""
        if not self._adaptive:
            return
        usual, seen = self._usual.get(work_class, (seconds, 0))
        if seen < LEARNING_SAMPLES:
            usual += (seconds - usual) / (seen + 1)
            self._usual[work_class] = (usual, seen + 1)
        if self._skip > 0:
            self._skip -= 1
            return
        self._ratio_sum += seconds / usual if usual > 0 else 1.0
        self._count += 1
        if self._count >= self._samples_needed():
            ratio = self._ratio_sum / self._count
            self._count = 0
            self._ratio_sum = 0.0
            self._evaluate(ratio)

    def _samples_needed(self) -> int:
        if self._phase is _Phase.NORMAL:
            return max(LEAST_SAMPLES, SAMPLES_PER_SLOT * self.slots)
        return max(TRIAL_SAMPLES, 2 * self.slots)

    def _evaluate(self, ratio: float) -> None:
        if self._phase is _Phase.TRIAL:
            if self.value / ratio < WORK_KEPT * self._higher / self._before:
                self._rescale(self._before)
                self.value = self._higher
            self._phase = _Phase.NORMAL
        elif self._phase is _Phase.CONFIRM:
            self._phase = _Phase.NORMAL
            if ratio > SLOW_RATIO and self.value > 1.0:
                self._phase = _Phase.TRIAL
                self._before = ratio
                self._higher = self.value
                # Statements that started under the higher limit tell nothing about the lower.
                self._skip = int(self.value)
                self.value = max(1.0, self.value * DECREASE)
        elif ratio > SLOW_RATIO:
            self._phase = _Phase.CONFIRM
        elif ratio <= NORMAL_RATIO:
            self._rescale(ratio if ratio < 1.0 / SLOW_RATIO else 1.0 + 0.1 * (ratio - 1.0))
            self.value = min(float(self.slots), self.value + INCREASE)

    def _rescale(self, ratio: float) -> None:
        """Take the present service time as the usual one."""
        for work_class, (usual, seen) in self._usual.items():
            self._usual[work_class] = (usual * ratio, seen)
