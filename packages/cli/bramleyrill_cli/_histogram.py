"""Quantiles of histograms in the Prometheus format."""

from collections.abc import Mapping
from datetime import timedelta


def quantile_of(count_by_bound: Mapping[float, float], quantile_rank: float) -> timedelta:
    """Return the upper bound of the bucket in which the quantile lies.

    The counts are cumulative, the bounds in seconds; the bucket without an upper bound counts as
    the highest other one.
    """
    min_count = quantile_rank * max(count_by_bound.values(), default=0.0)
    bounds = [bound for bound, count in count_by_bound.items() if count >= min_count]
    finite = [bound for bound in count_by_bound if bound != float("inf")]
    return timedelta(seconds=min(min(bounds, default=0.0), max(finite, default=0.0)))
