"""Retry rule with a retry budget per service."""

from datetime import timedelta

from attrs import define, field
from bramleyrill_base import ErrorKind, Table

from bramleyrill_core._world import World

BUDGET_WINDOW = timedelta(seconds=10)
# Retries allowed in the window. One per ten requests limits the additional load of an outage; the
# base lets a service with few requests retry at all.
RETRIES_PER_REQUEST = 0.1
BASE_RETRIES = 10

_BUCKET_LENGTH = timedelta(seconds=1)
_BUCKET_COUNT = BUDGET_WINDOW // _BUCKET_LENGTH

# Kinds that say that the request has not run. Overload and missed deadlines are not included,
# because a retry adds load.
_RETRIED_NOT_RUN_KINDS = frozenset(
    [
        ErrorKind.NOT_RUN_UNREACHABLE,
        ErrorKind.NOT_RUN_NO_PRIMARY,
        ErrorKind.NOT_RUN_DRAINING,
        ErrorKind.TOO_STALE,
    ]
)
_RETRIED_IF_REPEATABLE_KINDS = frozenset([ErrorKind.OUTCOME_UNKNOWN, ErrorKind.NOT_RUN_ROLLED_BACK])


@define
class Budget:
    """Requests and retries of one service in a sliding window of 1 s buckets."""

    requests: list[int] = field(factory=lambda: [0] * _BUCKET_COUNT)
    retries: list[int] = field(factory=lambda: [0] * _BUCKET_COUNT)
    newest: int = 0

    def advance_to(self, bucket: int) -> int:
        """Clear the buckets that left the window; return the index of the current bucket."""
        for index in range(max(self.newest + 1, bucket - _BUCKET_COUNT + 1), bucket + 1):
            self.requests[index % _BUCKET_COUNT] = self.retries[index % _BUCKET_COUNT] = 0
        self.newest = max(self.newest, bucket)
        return self.newest % _BUCKET_COUNT


@define
class RetryTables:
    """Retry budgets by service, as `fleet/service`."""

    budgets: Table[str, Budget] = field(factory=Table)


def _current_budget(world: World, service: str) -> tuple[Budget, int]:
    budgets = world.tables(RetryTables).budgets
    budget = budgets.get(service) or budgets.add(service, Budget())
    return budget, budget.advance_to(world.clock.monotonic() // _BUCKET_LENGTH)


def count_request(world: World, service: str) -> None:
    """Count a request of `service` (`fleet/service`), which adds to its retry budget."""
    budget, index = _current_budget(world, service)
    budget.requests[index] += 1


def may_retry(
    world: World, service: str, kind: ErrorKind, repeatable: bool, bytes_sent: bool
) -> bool:
    """Return whether a failed request may be sent again; count the retry if so.

    `repeatable` is set for reads and for requests that the caller declared repeatable,
    `bytes_sent` if any byte of the request was sent to an upstream. After that, a request that
    is not repeatable is never sent again, even if the upstream reports a rollback. A fallback
    after TOO_STALE uses no budget, since each member is tried at most once.
    """
    if bytes_sent and not repeatable and world.rules.on("never_repeat"):
        return False
    if kind not in _RETRIED_NOT_RUN_KINDS and not (
        kind in _RETRIED_IF_REPEATABLE_KINDS and (repeatable or not world.rules.on("never_repeat"))
    ):
        return False
    if kind is ErrorKind.TOO_STALE:
        return True
    budget, index = _current_budget(world, service)
    allowed = BASE_RETRIES + RETRIES_PER_REQUEST * sum(budget.requests)
    if world.rules.on("retry_budget") and sum(budget.retries) + 1 > allowed:
        return False
    budget.retries[index] += 1
    return True
