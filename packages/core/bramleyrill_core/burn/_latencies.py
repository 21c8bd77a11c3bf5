"""Sketches of latencies that can be merged and carried as plain values."""

from datetime import timedelta

from ddsketch.ddsketch import BaseDDSketch
from ddsketch.mapping import LogarithmicMapping
from ddsketch.store import CollapsingLowestDenseStore

ACCURACY = 0.02
# At 2% accuracy 512 bins span a factor of 10^8: from microseconds to minutes.
BINS_LIMIT = 512
_US = timedelta(microseconds=1)
# The logarithm has no bin for zero.
_LEAST_MS = 0.001


class Latencies:
    """Latencies, exact to 2%, in bounded memory.

    It owns the store of its sketch: the library carries sketches only through protobuf, which
    the project does not use.
    """

    __slots__ = ("_mapping", "_sketch", "_store")

    def __init__(self) -> None:
        self._mapping = LogarithmicMapping(ACCURACY)
        self._store = CollapsingLowestDenseStore(BINS_LIMIT)
        negative = CollapsingLowestDenseStore(1)
        self._sketch = BaseDDSketch(self._mapping, self._store, negative, 0.0)

    def add(self, latency: timedelta, count: float = 1.0) -> None:
        """Add a latency."""
        self._sketch.add(max(latency / _US / 1000.0, _LEAST_MS), count)

    def merge(self, other: "Latencies") -> None:
        """Add the latencies of another sketch."""
        self._sketch.merge(other._sketch)

    def quantile(self, share: float) -> timedelta:
        """Return the latency that `share` of the requests do not exceed; zero when empty."""
        return timedelta(milliseconds=self._sketch.get_quantile_value(share) or 0.0)

    def to_pairs(self) -> list[list[float]]:
        """Return [latency in ms, count] for each bin in use."""
        bins = enumerate(self._store.bins, self._store.offset)
        return [[self._mapping.value(key), count] for key, count in bins if count]

    @classmethod
    def from_pairs(cls, pairs: list[list[float]]) -> "Latencies":
        """Return the sketch of `to_pairs`."""
        latencies = cls()
        for milliseconds, count in pairs:
            latencies.add(timedelta(milliseconds=milliseconds), count)
        return latencies
