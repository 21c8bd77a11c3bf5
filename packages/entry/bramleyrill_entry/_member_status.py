"""Commands to members outside of any pool: their status, and the fence of a change of primary."""

from datetime import timedelta

from bramleyrill_base import Clock, log_event
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.permits import StatusReport
from bramleyrill_platform import lines

from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError

STATUS_TIMEOUT = timedelta(milliseconds=500)
DIAL_TIMEOUT = timedelta(milliseconds=500)


def ask_status(
    member: MemberEntry, clock: Clock, text: str = lines.STATUS_TEXT
) -> StatusReport | None:
    """Send a command that answers with the status, on a new connection; None without an answer."""
    try:
        connection = UpstreamConnection.dial(member, DIAL_TIMEOUT, clock)
    except UpstreamError as error:
        log_event("status_failed", member=member.id, command=text, reason=error)
        return None
    try:
        return read_status(connection, text, STATUS_TIMEOUT)
    finally:
        connection.close()


def read_status(
    connection: UpstreamConnection, text: str, timeout: timedelta
) -> StatusReport | None:
    """Send a command that answers with the status; None if it fails, the reason is logged."""
    try:
        answer = connection.execute(lines.INTERNAL_STATEMENT_ID, text, timeout)
        if answer.succeeded:
            return lines.parse_status(answer.rows)
        reason = answer.code.name.lower()
    except (UpstreamError, lines.LineError) as error:
        reason = error
    log_event("status_failed", member=connection.member.id, command=text, reason=reason)
    return None


def refuses_connections(member: MemberEntry, clock: Clock) -> bool:
    """Return whether the member's machine is up but nothing listens there: the member has ended."""
    try:
        UpstreamConnection.dial(member, DIAL_TIMEOUT, clock).close()
    except UpstreamError as error:
        return error.refused
    return False
