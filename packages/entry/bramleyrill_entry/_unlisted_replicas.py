"""Ask replicas whose entry is gone at their last addresses: they may have lost only the store."""

from collections.abc import Callable

from bramleyrill_base import log_event
from bramleyrill_core.catalog import LostReplica, MemberEntry
from bramleyrill_core.permits import StatusReport
from bramleyrill_core.statements import AnswerCode

from bramleyrill_entry._member_commands import DirectCommands
from bramleyrill_entry._member_status import DIAL_TIMEOUT
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._upstream import RefusedByMemberError, UpstreamConnection, UpstreamError

Ask = Callable[[MemberEntry], StatusReport | None]


class UnlistedReplicas:
    """Ask lost replicas, and record which of them live."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self.commands = DirectCommands(state.clock)

    def to_ask(self, service: str) -> list[LostReplica]:
        """Return the lost replicas of a service that may answer."""
        lost = self._state.members.lost_replicas_of(service, self._state.now())
        return [replica for replica in lost if replica.entry is not None and not replica.has_ended]

    def ask(self, replica: LostReplica, command: Ask) -> StatusReport | None:
        """Return what a replica answers to a command, or None; record whether it lives."""
        report = command(replica.entry)
        lost = self._state.members.lost
        if report is not None:
            lost.record_answer(replica, self._state.now())
        else:
            self._record_presence(replica)
        return report

    def _record_presence(self, replica: LostReplica) -> None:
        """Find out whether a replica that gave no report accepts connections."""
        lost = self._state.members.lost
        has_ended = False
        try:
            UpstreamConnection.dial(replica.entry, DIAL_TIMEOUT, self._state.clock).close()
        except RefusedByMemberError as error:
            if error.answer.code is not AnswerCode.WRONG_MEMBER:
                lost.record_answer(replica, self._state.now())
                return
            has_ended = True
        except UpstreamError as error:
            has_ended = error.refused
        else:
            lost.record_answer(replica, self._state.now())
            return
        if replica.quiet_since is None:
            log_event("replica_quiet", member=replica.member, ended=has_ended)
        lost.record_silence(replica, self._state.now(), has_ended)
