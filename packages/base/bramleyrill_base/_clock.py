"""Clocks: the interface, the system's clock, and one set by hand."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Tell the time of day and the time since boot.

    Leases and timeouts use `monotonic`, which goes on while the machine is suspended: a process
    that was paused must see that its lease has lapsed.
    """

    def now(self) -> datetime:
        """Return the time of day in UTC."""

    def monotonic(self) -> timedelta:
        """Return the time since boot, suspension included; never goes back."""


class SystemClock:
    """Read the operating system's clocks."""

    def now(self) -> datetime:
        """Return the time of day in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since boot, suspension included."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """Stand still until moved, for tests and the replay of traces.

    Example: `clock = ManualClock(); clock.advance(timedelta(seconds=1))`.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start plus the time advanced."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the time advanced."""
        return self._elapsed

    def advance(self, duration: timedelta) -> None:
        """Move forward by `duration`; raise ValueError if it is negative."""
        if duration < timedelta():
            raise ValueError("a clock cannot go back")
        self._elapsed += duration

    def advance_to(self, elapsed: timedelta) -> None:
        """Move to `elapsed` since the start; raise ValueError if that is in the past."""
        self.advance(elapsed - self._elapsed)
