"""Greenlets that wait for a slot of an admission queue of the core."""

from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core.admission import Queued, Refused, Started
from gevent.hub import Waiter, get_hub

CANCELED = Problem(ErrorKind.CANCELED)


class Waiters:
    """Block greenlets whose requests are queued, and wake them when these start or are refused."""

    def __init__(self) -> None:
        self._by_id: dict[int, Waiter] = {}
        self._run_callback = get_hub().loop.run_callback

    def wait(self, outcome: Started | Queued | Refused) -> tuple[Problem | None, bool]:
        """Block while the request is queued.

        Return the problem, or None if it got a slot, and whether it had to wait.
        """
        if type(outcome) is Started:
            return None, False
        if type(outcome) is Refused:
            return outcome.problem, False
        waiter = self._by_id[outcome.id] = Waiter()
        try:
            return waiter.get(), True
        finally:
            self._by_id.pop(outcome.id, None)

    def wake(self, outcomes: list[Started | Refused]) -> None:
        """Wake the greenlets that wait for these outcomes."""
        for outcome in outcomes:
            waiter = self._by_id.pop(outcome.id, None)
            if waiter is not None:
                problem = None if type(outcome) is Started else outcome.problem
                self._run_callback(waiter.switch, problem)

    def cancel(self, request_id: int) -> bool:
        """Wake the greenlet of a withdrawn request with CANCELED; return whether one waited."""
        waiter = self._by_id.pop(request_id, None)
        if waiter is not None:
            self._run_callback(waiter.switch, CANCELED)
        return waiter is not None
