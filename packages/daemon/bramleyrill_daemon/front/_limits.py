"""Limits of the caller side, and the coarse clock with which the time limits are checked."""

import time
from datetime import timedelta

from attrs import frozen


@frozen
class FrontLimits:
    """Bounds on the resources that callers may use.

    `sessions` bounds the number of callers with a session, `handshakes` that of callers in startup
    or login. `frame_bytes` is the length of the longest frame, `held_answer_bytes` that of the
    longest answer that is held back until its permit is checked, `batch_bytes` how much of an
    extended batch is collected before it is sent on with a Flush. `prepared_statements` and
    `prepared_bytes` bound the named statements of a session.

    `handshake_timeout` bounds startup and login, `frame_timeout` the wait for the rest of a frame,
    `write_timeout` the time for which a caller may leave its answer unread, and
    `idle_in_transaction_timeout` the wait for the next statement of a transaction. They are checked
    every `sweep_interval`.
    """

    sessions: int = 20_000
    handshakes: int = 2_000
    frame_bytes: int = 16 << 20
    held_answer_bytes: int = 4 << 20
    batch_bytes: int = 64 << 10
    prepared_statements: int = 2_000
    prepared_bytes: int = 4 << 20
    handshake_timeout: timedelta = timedelta(seconds=10)
    frame_timeout: timedelta = timedelta(seconds=30)
    write_timeout: timedelta = timedelta(seconds=15)
    idle_in_transaction_timeout: timedelta = timedelta(seconds=60)
    sweep_interval: timedelta = timedelta(milliseconds=250)
    # Applies to requests whose rank has no deadline in the text.
    default_deadline: timedelta = timedelta(seconds=5)


class CoarseClock:
    """Time since boot in seconds, as of the last sweep.

    Reading the attribute takes a tenth of the time of reading the clock, and the limits need no
    higher precision.
    """

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0.0
        self.update()

    def update(self) -> None:
        """Set `now` to the current time."""
        self.now = time.clock_gettime(time.CLOCK_BOOTTIME)
