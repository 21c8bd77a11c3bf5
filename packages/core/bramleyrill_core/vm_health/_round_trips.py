"""Round trips of pings: by how much a peer's answer was later than is usual for its domain."""

from collections import deque
from datetime import timedelta

from bramleyrill_core.vm_health._statistics import median, spread

# Round trips of a domain that are remembered, of all its VMs together: a slow one among them does
# not move the median.
REMEMBERED_ROUND_TRIPS = 32
MIN_ROUND_TRIPS = 8
# More domains than any deployment has; a peer may tell any name.
MAX_DOMAINS = 64
# An answer is late if it took this much longer than usual, and this many times the usual spread.
LATE_ANSWER = timedelta(milliseconds=50)
LATE_SPREADS = 6


class RoundTrips:
    """Round trips by failure domain, as this VM measured them."""

    def __init__(self) -> None:
        self._recent_by_domain: dict[str, deque[timedelta]] = {}

    def record(self, domain: str, round_trip: timedelta) -> timedelta | None:
        """Record one and return by how much it was late; zero if it was not, None if unknown."""
        if round_trip < timedelta():
            return None
        recent = self._recent_by_domain.get(domain)
        if recent is None:
            if len(self._recent_by_domain) >= MAX_DOMAINS:
                return None
            recent = self._recent_by_domain[domain] = deque(maxlen=REMEMBERED_ROUND_TRIPS)
        known = len(recent) >= MIN_ROUND_TRIPS
        late_by = self._late_by(recent, round_trip) if known else None
        recent.append(round_trip)
        return late_by

    def usual(self, domain: str) -> timedelta | None:
        """Return the usual round trip to a domain, or None if none was measured."""
        recent = self._recent_by_domain.get(domain)
        return median(recent) if recent else None

    def _late_by(self, recent: deque[timedelta], round_trip: timedelta) -> timedelta:
        if round_trip < LATE_ANSWER:
            return timedelta()
        usual = median(recent)
        late_by = round_trip - usual
        significant = late_by > max(LATE_ANSWER, LATE_SPREADS * spread(recent, usual))
        return late_by if significant else timedelta()
