"""State of one class of work in an admission queue."""

import math
from collections import deque
from collections.abc import Hashable
from datetime import timedelta

from bramleyrill_core.admission._fair_queue import FairQueue
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
    Requests wait in `queue` and `resumed` in order of arrival until the first one of a team
    arrives, and in `fair` from then on.
    """

    __slots__ = (
        "accounts",
        "key",
        "above_target_since",
        "fair",
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
        self.fair: FairQueue | None = None
        self.above_target_since: timedelta | None = None
        self.last_refused_at = timedelta(days=-1)

    def __len__(self) -> int:
        if self.fair is not None:
            return len(self.fair)
        return len(self.queue) + len(self.resumed)

    def __bool__(self) -> bool:
        return True

    def share_by_team(self, fair: FairQueue) -> None:
        """Let teams share the slots of the class from now on."""
        for resumed, queue in ((True, self.resumed), (False, self.queue)):
            while queue:
                fair.append(queue.popleft(), resumed)
        self.fair = fair

    def append(self, request: Request, resumed: bool) -> None:
        """Add a waiting request; a resumed one goes before new ones."""
        if self.fair is not None:
            self.fair.append(request, resumed)
        elif resumed:
            self.resumed.append(request)
        else:
            self.queue.append(request)

    def pop(self) -> Request:
        """Remove and return the request that goes first."""
        if self.fair is not None:
            return self.fair.popleft(self.mean_s)
        return (self.resumed or self.queue).popleft()

    def find(self, request_id: Hashable) -> Request | None:
        """Return a waiting request of the class, or None."""
        if self.fair is not None:
            return self.fair.find(request_id)
        for queue in (self.resumed, self.queue):
            for request in queue:
                if request.id == request_id:
                    return request
        return None

    def remove(self, request: Request) -> None:
        """Remove a waiting request of the class."""
        if self.fair is not None:
            self.fair.remove(request)
        elif request in self.resumed:
            self.resumed.remove(request)
        else:
            self.queue.remove(request)

    def oldest_id(self) -> Hashable:
        """Return the id of the request whose wait counts between classes of one rank."""
        if self.fair is not None:
            return self.fair.oldest_id()
        return (self.resumed or self.queue)[0].id

    def has_room(self, team: str) -> bool:
        """Return whether a new request may wait."""
        if self.fair is not None:
            return self.fair.has_room(team, self.policy.queue_limit)
        return len(self.queue) < self.policy.queue_limit

    def work_ahead_s(self, team: str) -> float:
        """Return the slot time in seconds up to and with the next request of the team."""
        if self.fair is not None:
            return self.fair.requests_ahead(team, self.mean_s) * self.mean_s
        return (len(self) + 1) * self.mean_s

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
