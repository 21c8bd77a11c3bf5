"""State of one class of work in an admission queue."""

import math
from collections import deque
from datetime import timedelta

from bramleyrill_core.admission._floors import FloorAccount
from bramleyrill_core.admission._values import ClassPolicy, Request, WorkClass

MICROSECOND = timedelta(microseconds=1)
# Waits above the target for this long make a standing queue. It counts as cleared when a wait is
# below the target and nothing was refused for as long, so that it does not flap in a flood.
_STANDING_AFTER = timedelta(seconds=1)
# Longest predicted wait that a standing queue admits, as a share of the target. The margin
# covers statements of varying length.
_STANDING_MAX_WAIT_SHARE = 0.6


class ClassState:
    """Queue, mean service time and floor accounts of one class.

    An instance is true even if its queue is empty, although `len` counts the waiting requests.
    """

    __slots__ = (
        "accounts",
        "key",
        "above_target_since",
        "mean_s",
        "policy",
        "queue",
        "rank",
        "last_refused_at",
        "resumed",
    )

    def __init__(self, key: WorkClass, accounts: tuple, policy: ClassPolicy, mean_s: float) -> None:
        self.key = key
        self.rank = int(key.rank)
        self.accounts: tuple[FloorAccount, ...] = accounts
        self.policy = policy
        self.mean_s = mean_s
        self.queue: deque[Request] = deque()
        self.resumed: deque[Request] = deque()
        self.above_target_since: timedelta | None = None
        self.last_refused_at = timedelta(days=-1)

    def __len__(self) -> int:
        return len(self.queue) + len(self.resumed)

    def __bool__(self) -> bool:
        return True

    def record_wait(self, wait: timedelta, now: timedelta) -> None:
        """Record the wait of a request that now leaves the queue."""
        target = self.policy.target
        if target is None:
            return
        if wait >= target:
            self.above_target_since = self.above_target_since or now
        elif now - self.last_refused_at > _STANDING_AFTER:
            self.above_target_since = None

    def max_wait_s(self, now: timedelta) -> float:
        """Return the longest predicted wait in seconds at which a request is admitted.

        The request's own deadline applies too. A short burst may fill the queue up to the
        deadlines. In a standing queue the wait is limited by the target: otherwise every request
        of a long flood would be served, but too late.
        """
        if self.above_target_since is None or now - self.above_target_since < _STANDING_AFTER:
            return math.inf
        return self.policy.target / MICROSECOND * 1e-6 * _STANDING_MAX_WAIT_SHARE
