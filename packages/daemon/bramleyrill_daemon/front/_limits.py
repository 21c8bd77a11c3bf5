"""Limits of the caller side, and the coarse clock that they are checked by."""

import time
from datetime import timedelta

from attrs import frozen


@frozen
class FrontLimits:
    """Bounds on what one caller may take up.

    `frame` is the longest frame in bytes, `held_answer` the longest answer that is kept back
    until its permit is checked, `batch` how many bytes of an extended batch are collected before
    they are sent on with a Flush. `prepared` and `prepared_bytes` bound the named statements of a
    session. `handshakes` is how many callers may be in startup at a time; `handshake` bounds the
    time of startup and login, `frame_gap` the wait for the rest of a frame, `write_blocked` how
    long a caller may leave its answer unread, `idle_in_transaction` how long a transaction may
    wait for its next statement. Times are checked every `sweep`.
    """

    sessions: int = 20_000
    handshakes: int = 2_000
    frame: int = 16 << 20
    held_answer: int = 4 << 20
    batch: int = 64 << 10
    prepared: int = 2_000
    prepared_bytes: int = 4 << 20
    handshake: timedelta = timedelta(seconds=10)
    frame_gap: timedelta = timedelta(seconds=30)
    write_blocked: timedelta = timedelta(seconds=15)
    idle_in_transaction: timedelta = timedelta(seconds=60)
    sweep: timedelta = timedelta(milliseconds=250)
    # Covers a busy request without a deadline in the text.
    deadline: timedelta = timedelta(seconds=5)


class CoarseClock:
    """Time since boot in seconds, as of the last sweep.

    Reading an attribute costs a tenth of reading the clock, and limits need no more precision.
    """

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0.0
        self.update()

    def update(self) -> None:
        """Take over the present time."""
        self.now = time.clock_gettime(time.CLOCK_BOOTTIME)
