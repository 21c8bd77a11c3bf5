"""Commands to members from any VM, sent through the member's holder where the way there is blocked.

A member answers a command only while it has a free slot, and accepts a connection only below its
limit. Under load the proxies themselves use up both. The member's holder runs the statements of
all VMs, so it can keep a slot free and has a connection.
"""

from datetime import timedelta
from enum import IntEnum
from typing import Any

from bramleyrill_base import Clock, log_event
from bramleyrill_core import Mark
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.permits import StatusReport
from bramleyrill_core.placement import holder_candidates
from bramleyrill_platform import lines
from bramleyrill_wire.entries import frames

from bramleyrill_entry._member_status import (
    DIAL_TIMEOUT,
    STATUS_TIMEOUT,
    ask_status,
    read_status,
)
from bramleyrill_entry._peer_link import PeerLostError
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError

# Covers the time that the holder takes to free a slot, and the way to it.
HOLDER_TIMEOUT = timedelta(seconds=1)


class MemberCommand(IntEnum):
    """Command to a member; each answers with the member's status."""

    STATUS = 1
    FENCE = 2
    DEMOTE = 3
    RESUME = 4


def command_text(command: MemberCommand, term: int = 0) -> str:
    """Return the message of a command; FENCE and DEMOTE need a term."""
    if command is MemberCommand.FENCE:
        return lines.fence_text(term)
    if command is MemberCommand.DEMOTE:
        return lines.demote_text(term)
    if command is MemberCommand.RESUME:
        return lines.RESUME_TEXT
    return lines.STATUS_TEXT


class DirectCommands:
    """Send commands to members on connections of their own, as to one that has no holder."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def send(
        self, member: MemberEntry, command: MemberCommand = MemberCommand.STATUS, term: int = 0
    ) -> StatusReport | None:
        """Return the member's report, or None if it cannot be had; failures are logged."""
        return ask_status(member, self._clock, command_text(command, term))


class MemberCommands:
    """Send commands to members.

    Example: `report = commands.send(member, MemberCommand.FENCE, term=4)`.
    """

    def __init__(self, net: PeerNet) -> None:
        self._net = net
        self._state = net.state

    def send(
        self, member: MemberEntry, command: MemberCommand = MemberCommand.STATUS, term: int = 0
    ) -> StatusReport | None:
        """Return the member's report, or None if it cannot be had; failures are logged.

        The command may be sent twice, as each has the same effect when it is repeated.
        """
        text = command_text(command, term)
        try:
            connection = UpstreamConnection.dial(member, DIAL_TIMEOUT, self._state.clock)
        except UpstreamError as error:
            log_event("status_failed", member=member.id, command=text, reason=error)
            return None if error.refused else self._send_by_holder(member, command, term)
        try:
            report = read_status(connection, text, STATUS_TIMEOUT)
        finally:
            connection.close()
        return report or self._send_by_holder(member, command, term)

    def _send_by_holder(
        self, member: MemberEntry, command: MemberCommand, term: int
    ) -> StatusReport | None:
        holder = holder_candidates(self._state.vms, member)[0]
        if holder == self._state.vm:
            return run_command(self._net, member.id, command, term)
        try:
            answer = self._net.call(
                holder,
                lambda call: frames.Prove(
                    call=call,
                    service_name=member.service,
                    known_only=True,
                    member=member.id,
                    command=int(command),
                    command_term=term,
                ),
                HOLDER_TIMEOUT,
            )
            return _decode_report(answer.report)
        except (PeerLostError, ValueError) as error:
            log_event("status_failed", member=member.id, holder=holder, reason=error)
            return None


def run_command(
    net: PeerNet, member: str, command: MemberCommand, term: int
) -> StatusReport | None:
    """Send a command to a member on a connection of this VM, which is its holder."""
    schedulers = net.services[MemberSchedulers]
    scheduler = schedulers.by_member.get(member) or schedulers.scheduler_for(member)
    return None if scheduler is None else scheduler.command(command_text(command, term))


def answer_command(net: PeerNet, frame: Any) -> Any:
    """Run the command of a Prove frame; return the Report struct, or None without a report."""
    try:
        command = MemberCommand(frame.command)
    except ValueError as error:
        log_event("malformed_request", frame="Prove", reason=error)
        return None
    report = run_command(net, frame.member, command, frame.command_term or 0)
    if report is None:
        return None
    return frames.Report(
        is_primary=report.is_primary,
        term=report.term,
        mark_term=report.mark.term,
        mark_position=report.mark.position,
        fenced_term=report.fenced_term,
    )


def _decode_report(report: Any) -> StatusReport | None:
    if report is None:
        return None
    fields = (report.term, report.mark_term, report.mark_position, report.fenced_term)
    if report.is_primary is None or None in fields:
        raise ValueError("incomplete report of a member")
    mark = Mark(report.mark_term, report.mark_position)
    return StatusReport(report.is_primary, report.term, mark, report.fenced_term)
