"""What a holder keeps for one member: the queue in front of its slots and who waits in it."""

import itertools
from datetime import timedelta

from bramleyrill_base import Problem
from bramleyrill_core import (
    DatabaseId,
    MemberId,
    MemberStatus,
    Rank,
    World,
    fleet_of,
    service_of,
)
from bramleyrill_core.admission import (
    AdmissionQueue,
    Request,
    WorkClass,
    policy_for_member,
)

from bramleyrill_daemon._answers import read_status, row_values
from bramleyrill_daemon._waiters import Waiters

NO_TIME = timedelta()


class MemberDesk:
    """Admit requests to one member and wake those that wait.

    `admit` and `readmit` block until the request has a slot; they return None, or the problem
    for which it did not run, and whether the request had to wait. `leave` gives the slot back.
    """

    def __init__(self, world: World, member: MemberId, database: DatabaseId) -> None:
        self.member = member
        self.database = database
        self._world = world
        self._text = world.text
        self._queue = AdmissionQueue(policy_for_member(world.text, member), world.clock)
        self._ids = itertools.count(1)
        fleet, service = fleet_of(member), service_of(member)
        self._classes = {rank: WorkClass(fleet, service, rank) for rank in Rank}
        self._waiters = Waiters()
        self._status_row = b""
        self._status: MemberStatus | None = None

    @property
    def in_use(self) -> bool:
        """Tell whether any request has a slot or waits for one."""
        return bool(self._queue.in_flight or self._queue.waiting)

    def ticket(self, rank: Rank, deadline: timedelta) -> Request:
        """Return a new place for a request."""
        return Request(next(self._ids), self._classes[rank], deadline)

    def admit(self, ticket: Request) -> tuple[Problem | None, bool]:
        """Wait for a slot for a new request."""
        return self._waiters.wait(self._queue.submit(ticket))

    def readmit(self, ticket: Request, deadline: timedelta) -> tuple[Problem | None, bool]:
        """Wait for a slot for the next statement of a transaction."""
        return self._waiters.wait(self._queue.resume(ticket._replace(deadline=deadline)))

    def pause(self, ticket: Request) -> None:
        """Give the slot back while a transaction is idle."""
        self._waiters.wake(self._queue.pause(ticket.id))

    def leave(self, ticket: Request) -> None:
        """Give the slot back for good."""
        self._waiters.wake(self._queue.finish(ticket.id))

    def withdraw(self, ticket: Request) -> None:
        """Take a request out of the queue; its waiting greenlet gets CANCELED."""
        self._waiters.wake(self._queue.withdraw(ticket.id))
        self._waiters.cancel(ticket.id)

    def tick(self) -> None:
        """Refuse what waited past its deadline, and follow changes of the text."""
        if self._world.text is not self._text:
            self._follow_text()
        self._waiters.wake(self._queue.tick())

    def _follow_text(self) -> None:
        self._text = self._world.text
        # A member that left the text is on its way out; its last policy stays until then.
        if self.database in self._text.databases:
            self._queue.replace_policy(policy_for_member(self._text, self.member))

    def status_of(self, row: bytes) -> MemberStatus:
        """Return the status in a row; equal rows in sequence are read once."""
        if row != self._status_row or self._status is None:
            self._status = read_status(row_values(row))
            self._status_row = row
        return self._status
