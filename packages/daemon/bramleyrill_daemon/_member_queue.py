"""The admission queue of one member at its holder."""

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


class MemberQueue:
    """Admit requests to the slots of one member, and wake the requests that wait.

    `admit` and `readmit` block until the request has a slot or is refused. They return None or
    the problem of the refusal, and whether the request had to wait. `finish` releases the slot.
    """

    def __init__(self, world: World, member: MemberId, database: DatabaseId) -> None:
        self.member = member
        self.database = database
        self._world = world
        self._text = world.text
        self._queue = AdmissionQueue(policy_for_member(world.text, member), world.clock)
        self._ids = itertools.count(1)
        fleet, service = fleet_of(member), service_of(member)
        self._work_classes = {rank: WorkClass(fleet, service, rank) for rank in Rank}
        self._waiters = Waiters()
        self._status_row = b""
        self._status: MemberStatus | None = None

    @property
    def in_use(self) -> bool:
        """Return whether any request has a slot or waits for one."""
        return bool(self._queue.in_flight or self._queue.waiting)

    def new_request(self, rank: Rank, deadline: timedelta) -> Request:
        """Return a new request for `admit`, with an id that is unique in this queue."""
        return Request(next(self._ids), self._work_classes[rank], deadline)

    def admit(self, request: Request) -> tuple[Problem | None, bool]:
        """Wait for a slot for a new request."""
        return self._waiters.wait(self._queue.submit(request))

    def readmit(self, request: Request, deadline: timedelta) -> tuple[Problem | None, bool]:
        """Wait for a slot for the next statement of a paused transaction."""
        return self._waiters.wait(self._queue.resume(request._replace(deadline=deadline)))

    def pause(self, request: Request) -> None:
        """Release the slot while the transaction is idle."""
        self._waiters.wake(self._queue.pause(request.id))

    def finish(self, request: Request) -> None:
        """Release the slot at the end of the request or transaction."""
        self._waiters.wake(self._queue.finish(request.id))

    def withdraw(self, request: Request) -> None:
        """Remove a request from the queue; its waiting greenlet gets CANCELED."""
        self._waiters.wake(self._queue.withdraw(request.id))
        self._waiters.cancel(request.id)

    def tick(self) -> None:
        """Apply a changed text, and refuse requests that are past their deadline."""
        if self._world.text is not self._text:
            self._apply_text()
        self._waiters.wake(self._queue.tick())

    def _apply_text(self) -> None:
        self._text = self._world.text
        # A member that was removed from the text keeps its last policy until its pool is closed.
        if self.database in self._text.databases:
            self._queue.replace_policy(policy_for_member(self._text, self.member))

    def parse_status(self, row: bytes) -> MemberStatus:
        """Parse a status row; the last row is cached, as successive rows are often equal."""
        if row != self._status_row or self._status is None:
            self._status = read_status(row_values(row))
            self._status_row = row
        return self._status
