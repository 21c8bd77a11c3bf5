"""A free slot of a member for a command, which a member without one refuses."""

from collections.abc import Callable
from datetime import timedelta

import gevent
from bramleyrill_base import log_event
from bramleyrill_core.admission import MemberAdmission, Refused, Started
from bramleyrill_core.permits import StatusReport

from bramleyrill_entry._member_status import read_status
from bramleyrill_entry._pool import UpstreamPool
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError

# Longest time that a command waits for a free slot, and the pause between two attempts.
WAIT_TIMEOUT = timedelta(milliseconds=600)
RETRY_PAUSE = timedelta(milliseconds=10)
# Time left for the member's answer at the end of the wait.
MIN_ANSWER_TIMEOUT = timedelta(milliseconds=100)


class CommandSlot:
    """Send commands to one member on a pooled connection, while new statements are held back.

    `reserved` slots are kept free during a command, so that the statements of this VM leave the
    member a free one. `deliver` gets the requests that start or fail when they are used again.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        admission: MemberAdmission,
        reserved: int,
        deliver: Callable[[list[Started | Refused]], None],
    ) -> None:
        self._pool = pool
        self._admission = admission
        self._reserved = reserved
        self._deliver = deliver

    def run(self, text: str) -> StatusReport | None:
        """Send a command that answers with the status; None if the member does not answer."""
        self._admission.reserve(self._reserved)
        try:
            connection = self._pool.lease(WAIT_TIMEOUT, team=None)
            try:
                return self._send_when_free(connection, text)
            finally:
                self._pool.release(connection)
        except UpstreamError as error:
            log_event(
                "status_failed", member=self._pool.member.id, command=text, reason=error, held=True
            )
            return None
        finally:
            self._deliver(self._admission.unreserve(self._reserved))

    def _send_when_free(self, connection: UpstreamConnection, text: str) -> StatusReport | None:
        """Repeat a command until the member had a free slot for it, or the wait is over."""
        left = WAIT_TIMEOUT
        while True:
            is_last = left <= timedelta()
            if is_last or self._admission.in_flight < self._pool.member.slots:
                report = read_status(connection, text, max(left, MIN_ANSWER_TIMEOUT))
                if report is not None or connection.closed or is_last:
                    return report
            gevent.sleep(RETRY_PAUSE.total_seconds())
            left -= RETRY_PAUSE
