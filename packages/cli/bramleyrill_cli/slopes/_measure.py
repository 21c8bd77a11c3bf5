"""Points, fits and the registry of slopes."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

from attrs import frozen
from bramleyrill_base import Registry

# Runs of one point; the least time is kept, since noise only ever adds.
RUNS = 3


@frozen
class Point:
    """One measurement: a size and the figure at that size."""

    size: float
    value: float


@frozen
class Slope:
    """A line fitted through all points but the last, which checks it.

    `per_unit` and `fixed` are in `unit`; `check_error` is how far the last point lies from the
    line, as a share of its value.
    """

    name: str
    unit: str
    of: str
    per_unit: float
    fixed: float
    check_error: float
    points: tuple[Point, ...]


Measurement = Callable[[], tuple[str, str, list[Point]]]
slopes_by_name: Registry[Measurement] = Registry("slope")


def fit(name: str, unit: str, of: str, points: list[Point]) -> Slope:
    """Fit a line through all points but the last and compare the last with it.

    Raise ValueError for fewer than four points, or if the last is not the largest.
    """
    *fitted, beyond = points
    if len(fitted) < 3 or beyond.size <= max(point.size for point in fitted):
        raise ValueError("three points to fit and a larger one to check are needed")
    line = statistics.linear_regression(
        [point.size for point in fitted], [point.value for point in fitted]
    )
    predicted = line.slope * beyond.size + line.intercept
    error = abs(predicted - beyond.value) / abs(beyond.value) if beyond.value else 0.0
    return Slope(name, unit, of, line.slope, line.intercept, error, tuple(points))


def measure_time(run: Callable[[], object]) -> float:
    """Return the least processor time of several runs, in microseconds."""
    best = float("inf")
    for _ in range(RUNS):
        gc.collect()
        started = time.process_time()
        run()
        best = min(best, time.process_time() - started)
    return best * 1e6


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that what `build` returns takes while it is held."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = build()
    gc.collect()
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del held
    return float(taken)
