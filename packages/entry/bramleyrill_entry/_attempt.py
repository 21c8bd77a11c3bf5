"""State of a statement across its attempts at members."""

from datetime import timedelta

from attrs import define
from bramleyrill_core.admission import max_start_delay
from bramleyrill_core.catalog import DatabaseRoute

from bramleyrill_entry._run_request import Opens, RunRequest, RunResult

# A read that is not answered within this share of the latency target is retried elsewhere. Each
# further attempt gets twice the time, so that slow members can still serve it.
FIRST_ATTEMPT_TARGET_SHARE = 0.4


@define(eq=False)
class StatementAttempts:
    """State of one statement across its attempts.

    `single` is True for a statement outside a transaction. `count` is the number of attempts so
    far, and `failures` the number of reads among them that a member answered with FAILED.
    `not_committed` is True while no attempt can have committed anything. `may_have_run` is True
    once an attempt whose answer was lost, or was FAILED, may have run at a member.
    `no_permit_since` is the time of the first attempt that found no permit for the primary.
    `ends_early` is True while a read runs with a shorter limit, to be repeated elsewhere.
    """

    route: DatabaseRoute
    arrived_at: timedelta
    deadline: timedelta
    single: bool
    count: int = 0
    failures: int = 0
    not_committed: bool = True
    may_have_run: bool = False
    last_result: RunResult | None = None
    no_permit_since: timedelta | None = None
    ends_early: bool = False

    def without_permit_for(self, now: timedelta) -> timedelta:
        """Record an attempt without a permit; return how long ago the first one was."""
        if self.no_permit_since is None:
            self.no_permit_since = now
        return now - self.no_permit_since

    def run_timeout(self, request: RunRequest) -> timedelta:
        """Return the time limit of the next attempt.

        It is the full statement timeout if no other attempt would follow: for a write, and for
        the first statement of a transaction at the primary.
        """
        limit = self.route.statement_timeout
        opens_at_primary = request.fence and request.opens is not Opens.NOTHING
        if request.statement.writes or opens_at_primary:
            return limit
        return min(FIRST_ATTEMPT_TARGET_SHARE * self.route.target * 2**self.count, limit)

    def on_time_left(self, now: timedelta) -> timedelta:
        """Return how much longer the statement can wait and still meet its latency target."""
        max_delay = max_start_delay(self.route.target, not self.single)
        return max(self.arrived_at + max_delay - now, timedelta())
