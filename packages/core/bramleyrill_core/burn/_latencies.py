"""Mergeable latency sketches that can be transferred as plain JSON values."""

from datetime import timedelta

from ddsketch.ddsketch import BaseDDSketch
from ddsketch.mapping import LogarithmicMapping
from ddsketch.store import CollapsingLowestDenseStore

ACCURACY = 0.02
# At 2% accuracy, 512 bins span a factor of 10^8: from microseconds to minutes.
MAX_BINS = 512
_MICROSECOND = timedelta(microseconds=1)
# The logarithm has no bin for zero.
_MIN_LATENCY_MS = 0.001


class Latencies:
    """Latency distribution in bounded memory, with quantiles exact to 2%.

    The class owns the store of its sketch, because the library serializes sketches only with
    protobuf, which the project does not use.
    """

    __slots__ = ("_mapping", "_sketch", "_store")

    def __init__(self) -> None:
        self._mapping = LogarithmicMapping(ACCURACY)
        self._store = CollapsingLowestDenseStore(MAX_BINS)
        negative = CollapsingLowestDenseStore(1)
        self._sketch = BaseDDSketch(self._mapping, self._store, negative, 0.0)

    def add(self, latency: timedelta, count: float = 1.0) -> None:
        """Add a latency `count` times."""
        self._sketch.add(max(latency / _MICROSECOND / 1000.0, _MIN_LATENCY_MS), count)

    def merge(self, other: "Latencies") -> None:
        """Add the latencies of another sketch."""
        self._sketch.merge(other._sketch)

    def quantile(self, share: float) -> timedelta:
        """Return the latency that the share `share` of requests does not exceed; zero if empty."""
        return timedelta(milliseconds=self._sketch.get_quantile_value(share) or 0.0)

    def to_pairs(self) -> list[list[float]]:
        """Return [latency in ms, count] for each bin in use."""
        bins = enumerate(self._store.bins, self._store.offset)
        return [[self._mapping.value(key), count] for key, count in bins if count]

    @classmethod
    def from_pairs(cls, pairs: list[list[float]]) -> "Latencies":
        """Return the sketch that `to_pairs` described."""
        latencies = cls()
        for milliseconds, count in pairs:
            latencies.add(timedelta(milliseconds=milliseconds), count)
        return latencies
