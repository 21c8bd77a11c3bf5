"""One class of work in a queue."""

import math
from collections import deque
from datetime import timedelta

from bramleyrill_core.admission._floors import FloorAccount
from bramleyrill_core.admission._values import ClassPolicy, Request, WorkClass

US = timedelta(microseconds=1)
# A queue whose waits exceed the target for this long is a standing one; it ends when waits are
# below the target and nothing was refused for as long, so that it does not flap in a flood.
_STANDING_AFTER = timedelta(seconds=1)
# Predicted waits that are admitted then, as a share of the target: statements vary in length.
_STANDING_SHARE = 0.6


class ClassRow:
    """One class: its queue, service time and floor accounts."""

    __slots__ = (
        "accounts",
        "key",
        "late_since",
        "mean",
        "policy",
        "queue",
        "rank",
        "refused_at",
        "resumed",
    )

    def __init__(self, key: WorkClass, accounts: tuple, policy: ClassPolicy, mean: float) -> None:
        self.key = key
        self.rank = int(key.rank)
        self.accounts: tuple[FloorAccount, ...] = accounts
        self.policy = policy
        self.mean = mean
        self.queue: deque[Request] = deque()
        self.resumed: deque[Request] = deque()
        self.late_since: timedelta | None = None
        self.refused_at = timedelta(days=-1)

    def __len__(self) -> int:
        return len(self.queue) + len(self.resumed)

    def __bool__(self) -> bool:
        return True

    def note_wait(self, wait: timedelta, now: timedelta) -> None:
        """Note how long a request waited that starts now."""
        target = self.policy.target
        if target is None:
            return
        if wait >= target:
            self.late_since = self.late_since or now
        elif now - self.refused_at > _STANDING_AFTER:
            self.late_since = None

    def longest_wait(self, now: timedelta) -> float:
        """Return the longest wait to admit, in seconds, besides the request's own deadline.

        A burst may fill the queue up to the deadline. When waits have exceeded the target for a
        while, the queue is cut to the target: otherwise every request of a long flood is served,
        but too late.
        """
        if self.late_since is None or now - self.late_since < _STANDING_AFTER:
            return math.inf
        return self.policy.target / US * 1e-6 * _STANDING_SHARE
