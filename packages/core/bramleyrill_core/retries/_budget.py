"""The retry rule and its budget per service."""

from datetime import timedelta

from attrs import define, field
from bramleyrill_base import ErrorKind, Table

from bramleyrill_core._world import World

WINDOW = timedelta(seconds=10)
# One retry for ten requests bounds the extra load of an outage; the base lets a quiet service
# retry at all.
BUDGET_SHARE = 0.1
BUDGET_BASE = 10

_BUCKET = timedelta(seconds=1)
_BUCKETS = WINDOW // _BUCKET

# Kinds that say that nothing ran. Overload and deadlines are left out: a retry adds load.
_NOT_RUN_RETRIED = frozenset(
    [
        ErrorKind.NOT_RUN_UNREACHABLE,
        ErrorKind.NOT_RUN_NO_PRIMARY,
        ErrorKind.NOT_RUN_DRAINING,
        ErrorKind.TOO_STALE,
    ]
)
_MAY_HAVE_RUN = frozenset([ErrorKind.OUTCOME_UNKNOWN, ErrorKind.NOT_RUN_ROLLED_BACK])


@define
class Budget:
    """Requests and retries of one service in the buckets of the window."""

    requests: list[int] = field(factory=lambda: [0] * _BUCKETS)
    retries: list[int] = field(factory=lambda: [0] * _BUCKETS)
    newest: int = 0

    def turn_to(self, bucket: int) -> int:
        """Clear the buckets that left the window and return the index of the current one."""
        for index in range(max(self.newest + 1, bucket - _BUCKETS + 1), bucket + 1):
            self.requests[index % _BUCKETS] = self.retries[index % _BUCKETS] = 0
        self.newest = max(self.newest, bucket)
        return self.newest % _BUCKETS


@define
class RetryTables:
    """Budgets by service, qualified as `fleet/service`."""

    budgets: Table[str, Budget] = field(factory=Table)


def _budget(world: World, service: str) -> tuple[Budget, int]:
    budgets = world.tables(RetryTables).budgets
    budget = budgets.get(service) or budgets.add(service, Budget())
    return budget, budget.turn_to(world.clock.monotonic() // _BUCKET)


def count_request(world: World, service: str) -> None:
    """Count a request of the service `fleet/service`, which adds to its budget."""
    budget, index = _budget(world, service)
    budget.requests[index] += 1


def may_retry(
    world: World, service: str, kind: ErrorKind, repeatable: bool, bytes_sent: bool
) -> bool:
    """Tell whether a failed request may be sent again, and spend the budget if so.

    `repeatable` holds for reads and for what the caller declared repeatable; `bytes_sent` tells
    whether any byte of the request went to an upstream. What may not be repeated is never sent
    again after that, even if the upstream reports a rollback. The fallback of a read that found
    a replica too stale spends nothing: it is tried at most once a member.
    """
    if bytes_sent and not repeatable and world.rules.on("never_repeat"):
        return False
    if kind not in _NOT_RUN_RETRIED and not (
        kind in _MAY_HAVE_RUN and (repeatable or not world.rules.on("never_repeat"))
    ):
        return False
    if kind is ErrorKind.TOO_STALE:
        return True
    budget, index = _budget(world, service)
    allowed = BUDGET_BASE + BUDGET_SHARE * sum(budget.requests)
    if world.rules.on("retry_budget") and sum(budget.retries) + 1 > allowed:
        return False
    budget.retries[index] += 1
    return True
