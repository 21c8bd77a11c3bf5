"""Clock interface, the operating system's clock, and a clock that tests advance manually."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Provide wall-clock and monotonic time.

    Leases and timeouts use `monotonic`, which keeps counting while the machine is suspended, so
    that a resumed process sees that its lease has expired.
    """

    def now(self) -> datetime:
        """Return the current time in UTC."""

    def monotonic(self) -> timedelta:
        """Return the time since boot, including time spent suspended; it never decreases."""


class SystemClock:
    """Read the operating system's clocks."""

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since boot, including time spent suspended."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """A clock that changes only when advanced, for tests and trace replay.

    Example: `clock = ManualClock(); clock.advance(timedelta(seconds=1))`.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start time plus the time advanced so far."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the time advanced so far."""
        return self._elapsed

    def advance(self, duration: timedelta) -> None:
        """Advance by `duration`; raise ValueError if it is negative."""
        if duration < timedelta():
            raise ValueError("a clock cannot go backwards")
        self._elapsed += duration

    def advance_to(self, elapsed: timedelta) -> None:
        """Advance to `elapsed` since the start; raise ValueError if that is in the past."""
        self.advance(elapsed - self._elapsed)
