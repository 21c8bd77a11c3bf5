"""Measurement of points, line fitting, and the registry of slopes."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

from attrs import frozen
from bramleyrill_base import Registry

# Runs per point. The shortest time is used, since noise can only make a run longer.
RUNS_PER_POINT = 3


@frozen
class Point:
    """One measurement: a size and the cost at that size."""

    size: float
    value: float


@frozen
class Slope:
    """A line fitted to all points but the last, which is used to check the fit.

    `per_unit` (slope) and `fixed` (intercept) are in `unit`. `check_error` is the distance of the
    last point from the line, as a fraction of the point's value.
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


def fit_line(name: str, unit: str, of: str, points: list[Point]) -> Slope:
    """Fit a line to all points but the last, and check the last against it.

    Raise ValueError if there are fewer than four points or if the last is not the largest.
    """
    *fitted, check_point = points
    if len(fitted) < 3 or check_point.size <= max(point.size for point in fitted):
        raise ValueError("at least three points to fit and a larger one for the check are required")
    line = statistics.linear_regression(
        [point.size for point in fitted], [point.value for point in fitted]
    )
    predicted = line.slope * check_point.size + line.intercept
    error = (
        abs(predicted - check_point.value) / abs(check_point.value) if check_point.value else 0.0
    )
    return Slope(name, unit, of, line.slope, line.intercept, error, tuple(points))


def measure_time(run: Callable[[], object]) -> float:
    """Return the shortest CPU time of several runs, in microseconds."""
    shortest_s = float("inf")
    for _ in range(RUNS_PER_POINT):
        gc.collect()
        started = time.process_time()
        run()
        shortest_s = min(shortest_s, time.process_time() - started)
    return shortest_s * 1e6


def measure_memory(build: Callable[[], object]) -> float:
    """Return the memory, in bytes, allocated by `build` and kept alive by its result."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del result
    return float(allocated)
