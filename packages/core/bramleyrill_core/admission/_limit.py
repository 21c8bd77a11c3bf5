"""Limit of statements in progress, which follows the measured service time."""

# A service time of this many times the usual one counts as overload of the member.
SLOW_RATIO = 2.0
DECREASE = 0.5
INCREASE = 1.0
# Statements per evaluation: fewer make the mean too noisy, more react too late.
SAMPLES_PER_SLOT = 8
# After a decrease, statements must become at least this much faster; otherwise the member is
# slow for another reason, and fewer statements at a time only lose work.
USEFUL_GAIN = 0.8
# About 200 statements: slow enough not to follow an overload within one evaluation.
SLOW_AVERAGE_WEIGHT = 0.005


class InFlightLimit:
    """Additive increase, multiplicative decrease, between 1 and the slots.

    The usual service time is a slow average per class. A decrease that does not make statements
    faster is taken back, and the slower time becomes the usual one.
    """

    __slots__ = ("_adaptive", "_before", "_count", "_ratio_sum", "_usual", "slots", "value")

    def __init__(self, slots: int, adaptive: bool) -> None:
        self.slots = slots
        self.value = float(slots)
        self._adaptive = adaptive
        self._usual: dict[object, tuple[float, int]] = {}
        self._count = 0
        self._ratio_sum = 0.0
        self._before: float | None = None

    def note(self, work_class: object, seconds: float) -> None:
        """Take in the service time of one statement."""
        if not self._adaptive:
            return
        usual, seen = self._usual.get(work_class, (seconds, 0))
        weight = max(SLOW_AVERAGE_WEIGHT, 1.0 / (seen + 1))
        usual += weight * (seconds - usual)
        self._usual[work_class] = (usual, seen + 1)
        self._ratio_sum += seconds / usual if usual > 0 else 1.0
        self._count += 1
        if self._count >= SAMPLES_PER_SLOT * self.slots:
            self._evaluate(self._ratio_sum / self._count)
            self._count = 0
            self._ratio_sum = 0.0

    def _evaluate(self, ratio: float) -> None:
        if self._before is not None and ratio > USEFUL_GAIN * self._before:
            self._rescale(ratio)
            self.value = float(self.slots)
            self._before = None
        elif ratio > SLOW_RATIO:
            self._before = ratio if self.value > 1.0 else None
            self.value = max(1.0, self.value * DECREASE)
        else:
            if ratio < 1.0 / SLOW_RATIO:
                self._rescale(ratio)
            self._before = None
            self.value = min(float(self.slots), self.value + INCREASE)

    def _rescale(self, ratio: float) -> None:
        """Take the present service time as the usual one."""
        for work_class, (usual, seen) in self._usual.items():
            self._usual[work_class] = (usual * ratio, seen)
