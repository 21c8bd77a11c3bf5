"""Make sure that no VM uses the old primary any more before its successor is ordered."""

import gevent
from bramleyrill_base import log_event
from bramleyrill_core import Rules
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.permits import StatusReport, wait_after_fence

from bramleyrill_entry._member_commands import DirectCommands, MemberCommand, MemberCommands
from bramleyrill_entry._member_status import refuses_connections
from bramleyrill_entry._state import EntryState


def demote(commands: MemberCommands, primary: MemberEntry, term: int) -> StatusReport | None:
    """Order the old primary to become a replica; return its report if it is one now."""
    report = commands.send(primary, MemberCommand.DEMOTE, term)
    if report is None or report.is_primary:
        return None
    log_event("primary_demoted", service=primary.service, member=primary.id, term=term)
    return report


def end_permits(
    state: EntryState,
    commands: MemberCommands,
    primaries: list[MemberEntry],
    successor: MemberEntry,
    term: int,
) -> bool:
    """Return once no VM has a permit for an old primary, or False if that cannot be achieved.

    The duty's record must name the successor already, so that no VM gets a new permit from the
    store. `primaries` are all members that a VM may take for the primary. If each of them was
    demoted, or its machine refuses connections, no wait is needed: VMs accept a permit only if it
    is younger than their connection to the member.
    """
    demotions = [gevent.spawn(demote, commands, primary, term) for primary in primaries]
    # Without a fence VMs could get a new permit from the replicas.
    is_fenced = fence(commands, successor, term) is not None
    log_event(
        "successor_fenced",
        service=successor.service,
        member=successor.id,
        term=term,
        done=is_fenced,
    )
    if not is_fenced:
        return False
    fenced_at = state.now()
    gevent.joinall(demotions)
    ended = [
        demotion.value is not None or refuses_connections(primary, state.clock)
        for primary, demotion in zip(primaries, demotions, strict=True)
    ]
    if ended and all(ended):
        return True
    expired_at = fenced_at + wait_after_fence(Rules())
    gevent.sleep(max((expired_at - state.now()).total_seconds(), 0.0))
    return True


def fence(
    commands: MemberCommands | DirectCommands, replica: MemberEntry, term: int
) -> StatusReport | None:
    """Stop a replica from receiving; return its report, whose mark is final, or None if it fails.

    A replica that an earlier order has promoted refuses the fence, and needs none.
    """
    report = commands.send(replica, MemberCommand.FENCE, term)
    if report is None:
        report = commands.send(replica)
    fenced = report is not None and (report.is_primary or report.fenced_term >= term)
    log_event("replica_fenced", service=replica.service, member=replica.id, term=term, done=fenced)
    return report if fenced else None
