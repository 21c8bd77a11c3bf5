"""The admission queue of the entry VM, with floors for fleets, services and ranks."""

import itertools
from datetime import timedelta

from bramleyrill_base import Problem
from bramleyrill_core import World
from bramleyrill_core.admission import AdmissionQueue, Request, WorkClass, policy_for_vm

from bramleyrill_daemon._waiters import Waiters


class EntryQueue:
    """Admit callers' requests to this VM; a flood of one fleet leaves the others their floors."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._text = world.text
        self._queue = AdmissionQueue(policy_for_vm(world.text), world.clock)
        self._waiters = Waiters()
        self._ids = itertools.count(1)

    def new_request(self, work_class: WorkClass, deadline: timedelta) -> Request:
        """Return a new request for `admit`; `deadline` is on the monotonic clock since boot."""
        return Request(next(self._ids), work_class, deadline)

    def admit(self, request: Request) -> Problem | None:
        """Wait for a slot; return None, or the problem if the request was refused or withdrawn."""
        return self._waiters.wait(self._queue.submit(request))[0]

    def finish(self, request: Request) -> None:
        """Release the slot of a request; does nothing for a request without one."""
        self._waiters.wake(self._queue.finish(request.id))

    def withdraw(self, request: Request) -> None:
        """Remove a request from the queue if it waits there; its waiting greenlet gets CANCELED."""
        if self._waiters.cancel(request.id):
            self._waiters.wake(self._queue.withdraw(request.id))

    def tick(self) -> None:
        """Apply a changed text, and refuse requests that are past their deadline."""
        if self._world.text is not self._text:
            self._text = self._world.text
            self._queue.replace_policy(policy_for_vm(self._text))
        self._waiters.wake(self._queue.tick())
