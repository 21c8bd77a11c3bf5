"""Greenlets that wait for their turn in an admission queue of the core."""

from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core.admission import Queued, Refused, Started
from gevent.hub import Waiter, get_hub

CANCELED = Problem(ErrorKind.CANCELED)


class Waiters:
    """Block on outcomes that are queued, and wake those whose turn has come."""

    def __init__(self) -> None:
        self._by_id: dict[int, Waiter] = {}
        self._run_callback = get_hub().loop.run_callback

    def wait(self, outcome: Started | Queued | Refused) -> tuple[Problem | None, bool]:
        """Return the problem, or None for a slot, and whether the request had to wait."""
        if type(outcome) is Started:
            return None, False
        if type(outcome) is Refused:
            return outcome.problem, False
        waiting = self._by_id[outcome.id] = Waiter()
        try:
            return waiting.get(), True
        finally:
            self._by_id.pop(outcome.id, None)

    def wake(self, outcomes: list[Started | Refused]) -> None:
        """Hand outcomes to the greenlets that wait for them."""
        for outcome in outcomes:
            waiting = self._by_id.pop(outcome.id, None)
            if waiting is not None:
                problem = None if type(outcome) is Started else outcome.problem
                self._run_callback(waiting.switch, problem)

    def cancel(self, request_id: int) -> bool:
        """Wake the greenlet of a withdrawn request with CANCELED; tell whether one waited."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is not None:
            self._run_callback(waiting.switch, CANCELED)
        return waiting is not None
