"""Admission at one member: requests that can meet their latency target go before late ones.

This applies when the load exceeds the member's slots. First come, first served would make every
request late in a long burst. Here requests that can still meet their latency target go first, and
the others wait behind them until their wait deadline.
"""

from collections.abc import Callable, Hashable
from datetime import timedelta

from attrs import define
from bramleyrill_base import Clock

from bramleyrill_core._values import Rank
from bramleyrill_core.admission._queue import AdmissionQueue
from bramleyrill_core.admission._values import (
    AdmissionPolicy,
    ClassPolicy,
    Queued,
    Refused,
    Request,
    Started,
    WorkClass,
    equal_weight,
)

LATE_RANK = Rank.LEAST_URGENT
_QUEUE_LIMIT = 512
# Late requests are guaranteed this share of slot time, so that a long burst does not starve them.
LATE_FLOOR = 0.05
URGENT_FLOOR = 0.2
EVERYDAY_FLOOR = 0.2
# A request counts as on time if it starts within this share of its latency target. In a long
# burst the wait grows to this share; the rest is for execution and the way back to the caller.
SINGLE_START_SHARE = 0.7
# Lower for a transaction, since the target covers its further statements too.
TRANSACTION_START_SHARE = 0.4


def max_start_delay(target: timedelta, in_transaction: bool) -> timedelta:
    """Return how long after its arrival a statement may start and still be answered on time.

    Example: `max_start_delay(timedelta(seconds=2), False)` is 1.4 s.
    """
    return target * (TRANSACTION_START_SHARE if in_transaction else SINGLE_START_SHARE)


@define(eq=False)
class _StagedRequest:
    """A waiting or running request: until when it may wait, and whether it is in the late stage."""

    wait_deadline: timedelta
    late: bool
    team: str = ""
    item: str = ""


class MemberAdmission:
    """Admission queue of a member with an on-time and a late stage.

    Methods and results are those of `AdmissionQueue`; times are on its monotonic clock. Teams get
    fair shares by weight within a rank and stage; without teams the order is that of arrival.

    Example:

        admission = MemberAdmission("pieces", 2, timedelta(milliseconds=15), clock)
        admission.submit(1, Rank.URGENT, on_time_until, wait_deadline)
    """

    def __init__(
        self,
        service: str,
        slots: int,
        expected_service_time: timedelta,
        clock: Clock,
        weight_of: Callable[[str], float] = equal_weight,
        team_order: str = "start_time",
    ) -> None:
        self._service = service
        self._clock = clock
        floors = {
            Rank.URGENT: URGENT_FLOOR,
            Rank.EVERYDAY: EVERYDAY_FLOOR,
            LATE_RANK: LATE_FLOOR,
        }
        classes = {
            self._class_of(rank): ClassPolicy(floor, _QUEUE_LIMIT) for rank, floor in floors.items()
        }
        self._policy = AdmissionPolicy(
            slots,
            classes,
            adaptive=False,
            expected_service_time=expected_service_time,
            weight_of=weight_of,
            team_order=team_order,
        )
        self._queue = AdmissionQueue(self._policy, clock)
        self._staged: dict[Hashable, _StagedRequest] = {}

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return self._queue.waiting

    @property
    def in_flight(self) -> int:
        """Return how many requests hold a slot."""
        return self._queue.in_flight

    def reserve(self, slots: int) -> None:
        """Keep slots free from now on; the requests that hold a slot keep it until they end."""
        self._queue.reserve(slots)

    def unreserve(self, slots: int) -> list[Started | Refused]:
        """Use reserved slots again; return the requests that now start or fail."""
        return self._move_expired_to_late(self._queue.unreserve(slots))

    def waiting_by_team(self) -> dict[str, int]:
        """Return how many requests of each team wait for a slot."""
        return self._queue.waiting_by_team()

    def submit(
        self,
        request_id: Hashable,
        rank: Rank,
        on_time_until: timedelta,
        wait_deadline: timedelta,
        team: str = "",
        item: str = "",
    ) -> Started | Queued | Refused:
        """Start, queue or refuse a new request of a team.

        It is on time if it starts by `on_time_until`. If it cannot, it waits in the late stage
        until `wait_deadline`. `item` is the item of the primary's data that it uses, if known.
        """
        now = self._clock.monotonic()
        # Ranks below urgent share one queue, so that the longest waiting request goes first.
        rank = min(rank, Rank.EVERYDAY)
        if on_time_until > now:
            request = Request(request_id, self._class_of(rank), on_time_until, team, item)
            outcome = self._queue.submit(request)
            if type(outcome) is not Refused:
                self._staged[request_id] = _StagedRequest(wait_deadline, False, team, item)
                return outcome
        return self._submit_late(request_id, wait_deadline, team, item)

    def finish(self, request_id: Hashable) -> list[Started | Refused]:
        """Release the slot of a request that ended; return requests that now start or fail."""
        self._staged.pop(request_id, None)
        return self._move_expired_to_late(self._queue.finish(request_id))

    def pause(self, request_id: Hashable) -> list[Started | Refused]:
        """Release the slot of a transaction that is idle between statements."""
        return self._move_expired_to_late(self._queue.pause(request_id))

    def resume(
        self, request_id: Hashable, rank: Rank, wait_deadline: timedelta, team: str = ""
    ) -> Started | Queued | Refused:
        """Request a slot for the next statement of a paused transaction.

        It waits until `wait_deadline` and is not moved to the late stage.
        """
        rank = min(rank, Rank.EVERYDAY)
        self._staged[request_id] = _StagedRequest(wait_deadline, True, team)
        return self._queue.resume(Request(request_id, self._class_of(rank), wait_deadline, team))

    def withdraw(self, request_id: Hashable) -> list[Started | Refused]:
        """Remove a request in any state; return requests that now start or fail."""
        self._staged.pop(request_id, None)
        return self._move_expired_to_late(self._queue.withdraw(request_id))

    def tick(self) -> list[Started | Refused]:
        """Move requests that can no longer be on time to the late stage.

        Refuse those whose wait deadline has passed.
        """
        return self._move_expired_to_late(self._queue.tick())

    def _move_expired_to_late(self, outcomes: list[Started | Refused]) -> list[Started | Refused]:
        results: list[Started | Refused] = []
        for outcome in outcomes:
            staged = self._staged.get(outcome.id)
            if type(outcome) is not Refused or staged is None or staged.late:
                results.append(outcome)
                continue
            late_outcome = self._submit_late(
                outcome.id, staged.wait_deadline, staged.team, staged.item
            )
            if type(late_outcome) is not Queued:
                results.append(late_outcome)
        return results

    def _submit_late(
        self, request_id: Hashable, wait_deadline: timedelta, team: str, item: str
    ) -> Started | Queued | Refused:
        request = Request(request_id, self._class_of(LATE_RANK), wait_deadline, team, item)
        outcome = self._queue.submit(request)
        if type(outcome) is Refused:
            self._staged.pop(request_id, None)
        else:
            self._staged[request_id] = _StagedRequest(wait_deadline, True, team, item)
        return outcome

    def _class_of(self, rank: Rank) -> WorkClass:
        return WorkClass("", self._service, rank)
