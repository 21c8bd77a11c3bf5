"""What is known of a statement while members are tried."""

from datetime import timedelta

from attrs import define
from bramleyrill_core.admission import max_start_delay
from bramleyrill_core.catalog import DatabaseRoute

from bramleyrill_entry._exchange import Opens, RunRequest, RunResult

# A read that a member does not answer within this share of the target is tried at another; each
# further attempt has twice the time, so that a slow member still serves it.
FIRST_ATTEMPT_SHARE = 0.4


@define(eq=False)
class Attempt:
    """What is known of one statement while places are tried.

    `single` tells that the statement is no part of a transaction. `certain` tells that no attempt
    so far can have taken effect, and `ran` that one may have run at a member without an answer.
    `failed` counts the attempts that a member answered with a failure.
    """

    route: DatabaseRoute
    arrived_at: timedelta
    deadline: timedelta
    single: bool
    count: int = 0
    failed: int = 0
    certain: bool = True
    ran: bool = False
    last: RunResult | None = None

    def run_limit(self, request: RunRequest) -> timedelta:
        """Return how long a member may take for the next attempt.

        It is the whole limit of a statement if no other attempt would follow: for a write, and
        for the beginning of a transaction at the primary.
        """
        limit = self.route.statement_timeout
        opens_at_primary = request.fence and request.opens is not Opens.NOTHING
        if request.statement.writes or opens_at_primary:
            return limit
        return min(FIRST_ATTEMPT_SHARE * self.route.target * 2**self.count, limit)

    def on_time_left(self, now: timedelta) -> timedelta:
        """Return how long the statement may still wait and be on time."""
        left = max_start_delay(self.route.target, not self.single)
        return max(self.arrived_at + left - now, timedelta())
