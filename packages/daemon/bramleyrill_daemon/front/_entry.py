"""The entry VM's own queue: floors between fleets, services and ranks for requests in progress."""

import itertools
from datetime import timedelta

from bramleyrill_base import Problem
from bramleyrill_core import World
from bramleyrill_core.admission import AdmissionQueue, Request, WorkClass, policy_for_vm

from bramleyrill_daemon._waiters import Waiters


class EntryQueue:
    """Admit requests to this VM, so that a flood of one fleet leaves the others their floors."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._text = world.text
        self._queue = AdmissionQueue(policy_for_vm(world.text), world.clock)
        self._waiters = Waiters()
        self._ids = itertools.count(1)

    def new_request(self, work_class: WorkClass, deadline: timedelta) -> Request:
        """Return a place for a request; `deadline` is on the clock since boot."""
        return Request(next(self._ids), work_class, deadline)

    def admit(self, request: Request) -> Problem | None:
        """Wait for the request's turn; return the problem for which it did not run."""
        return self._waiters.wait(self._queue.offer(request))[0]

    def finish(self, request: Request) -> None:
        """Let the next request in; a refused one holds nothing and changes nothing."""
        self._waiters.wake(self._queue.finish(request.id))

    def withdraw(self, request: Request) -> None:
        """Take a request out of the queue if it still waits there."""
        if self._waiters.cancel(request.id):
            self._waiters.wake(self._queue.withdraw(request.id))

    def tick(self) -> None:
        """Refuse what waited past its deadline, and follow changes of the text."""
        if self._world.text is not self._text:
            self._text = self._world.text
            self._queue.replace_policy(policy_for_vm(self._text))
        self._waiters.wake(self._queue.tick())
