"""Statistics that a few outliers do not move."""

from collections.abc import Iterable
from datetime import timedelta

# Ratio of the standard deviation of a normal distribution to its median absolute deviation.
_DEVIATION_RATIO = 1.4826


def median(values: Iterable[timedelta]) -> timedelta:
    """Return the median, the lower one of an even number; zero without values."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2] if ordered else timedelta()


def spread(values: Iterable[timedelta], center: timedelta) -> timedelta:
    """Return the median absolute deviation from `center`, scaled to a standard deviation."""
    return median(abs(value - center) for value in values) * _DEVIATION_RATIO
