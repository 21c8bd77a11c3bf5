"""Number of connections that a member accepts, and the delay after a failed dial.

The load this answers: other VMs connect to the member too, so it may refuse connections before the
pool's own limit is reached, and each refused dial takes time of the member.
"""

from datetime import timedelta

# How long a lower limit stays after the member refused a connection; doubled by each further
# refusal until the pool's own limit was reached again.
INITIAL_HOLD = timedelta(milliseconds=500)
MAX_HOLD = timedelta(seconds=30)
# The limit then rises by one, and by twice as much after each further one of these intervals: the
# member may have dropped the connections of a VM that was lost all at once.
RECOVERY_INTERVAL = timedelta(seconds=1)
# Enough for any limit.
MAX_RECOVERY_STEPS = 20
# Delay after a failed dial; doubled after each further one, up to the maximum.
INITIAL_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(seconds=1)


class LearnedLimit:
    """A limit that falls to what the member accepted, and recovers step by step."""

    def __init__(self, configured: int) -> None:
        self.configured = configured
        self._learned: int | None = None
        self._hold = INITIAL_HOLD
        self._held_until = timedelta()

    def value(self, now: timedelta) -> int:
        """Return the present limit."""
        if self._learned is None:
            return self.configured
        if now < self._held_until:
            return min(self._learned, self.configured)
        steps = min((now - self._held_until) // RECOVERY_INTERVAL, MAX_RECOVERY_STEPS)
        value = self._learned + 2**steps
        if value >= self.configured:
            self._learned, self._hold = None, INITIAL_HOLD
            return self.configured
        return value

    def record_refusal(self, open_connections: int, now: timedelta) -> None:
        """Lower the limit: the member refused a connection beside the open ones."""
        self._learned = max(min(open_connections, self.value(now)), 1)
        if now < self._held_until:
            # Dials of the same moment are refused together.
            return
        self._held_until = now + self._hold
        self._hold = min(self._hold * 2, MAX_HOLD)


class DialBackoff:
    """Delay of dials after failed ones."""

    def __init__(self) -> None:
        self._next_dial_at = timedelta()
        self._backoff = INITIAL_BACKOFF

    def delay(self, now: timedelta) -> timedelta:
        """Return how long a dial must wait now."""
        return max(self._next_dial_at - now, timedelta())

    def record_failure(self, now: timedelta) -> None:
        """Delay the next dial, for longer with each failure."""
        self._next_dial_at = now + self._backoff
        self._backoff = min(self._backoff * 2, MAX_BACKOFF)

    def record_success(self) -> None:
        """Start with the shortest delay after the next failure."""
        self._backoff = INITIAL_BACKOFF
