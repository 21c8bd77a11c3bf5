"""Requests that wait in the admission queues of one member, each in a greenlet of its own."""

from collections.abc import Collection

from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core.admission import MemberAdmission, Queued, Refused, Started
from gevent.event import AsyncResult


class AdmissionWaiters:
    """Wake the greenlets that wait for admission when their requests are started or refused.

    Example: `refusal = waiters.wait(admission, 7, admission.submit(7, ...))`, while another
    greenlet calls `waiters.deliver(admission, admission.finish(6))`.
    """

    def __init__(self) -> None:
        self._by_request: dict[tuple[MemberAdmission, int], AsyncResult] = {}

    def wait(
        self, admission: MemberAdmission, admission_id: int, outcome: Started | Queued | Refused
    ) -> Refused | None:
        """Wait until a queued request is started or refused; return the refusal, if any."""
        if type(outcome) is Queued:
            waiter = self._by_request[admission, admission_id] = AsyncResult()
            try:
                outcome = waiter.get()
            except BaseException:
                self.deliver(admission, admission.withdraw(admission_id))
                raise
            finally:
                self._by_request.pop((admission, admission_id), None)
        return outcome if type(outcome) is Refused else None

    def deliver(self, admission: MemberAdmission, outcomes: list[Started | Refused]) -> None:
        """Wake the greenlets of requests that were started or refused."""
        for outcome in outcomes:
            waiter = self._by_request.get((admission, outcome.id))
            if waiter is not None:
                waiter.set(outcome)

    def refuse(self, spared: Collection[int] = ()) -> None:
        """Refuse the waiting requests as not run, but for the admission ids in `spared`."""
        for (admission, admission_id), waiter in list(self._by_request.items()):
            if admission_id in spared:
                continue
            self.deliver(admission, admission.withdraw(admission_id))
            waiter.set(Refused(admission_id, Problem(ErrorKind.NOT_RUN_DRAINING)))
