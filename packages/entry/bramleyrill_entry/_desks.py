"""The desks of this VM: one for each member that it was asked to work at."""

from datetime import timedelta

from bramleyrill_base import log_event
from bramleyrill_core.catalog import MemberRow, MemberState
from bramleyrill_core.placement import holder_candidates

from bramleyrill_entry._desk import MemberDesk
from bramleyrill_entry._exchange import SINGLE, Opens, RunProblem, RunRequest, RunResult
from bramleyrill_entry._state import EntryState

# Connections that are left to other VMs that go to the member themselves.
SPARE_CONNECTIONS = 2
# A VM of another failure domain is no usual holder and keeps to the spare connections.
FAR_CONNECTIONS = 2
LEAST_CONNECTIONS = 2
# A draining member gets no new work from this long after it was seen draining.
DRAINING_WORK = timedelta(seconds=4)


class Desks:
    """Desks by member id, made on first use and closed when the member is gone."""

    def __init__(self, state: EntryState) -> None:
        self.by_member: dict[str, MemberDesk] = {}
        self._state = state
        self._draining_since: dict[str, timedelta] = {}

    def run(self, peer: str, request: RunRequest) -> RunResult:
        """Run a statement for the VM `peer`, or say why it cannot run here."""
        goes_on = request.exchange != SINGLE and request.opens is Opens.NOTHING
        if self._state.stopping and peer != self._state.vm and not goes_on:
            return RunResult(problem=RunProblem.STOPPING)
        desk = self.by_member.get(request.member) if goes_on else self.desk_for(request.member)
        if desk is None:
            problem = RunProblem.NO_EXCHANGE if goes_on else RunProblem.UNREACHABLE
            return RunResult(problem=problem)
        return desk.run(peer, request)

    def end(self, peer: str, exchange: int) -> None:
        """End a transaction of a peer."""
        for desk in list(self.by_member.values()):
            desk.end((peer, exchange))

    def end_all(self, peer: str | None = None) -> None:
        """End the transactions of a VM that is gone, or all."""
        for desk in list(self.by_member.values()):
            desk.end_all(peer)

    def desk_for(self, member: str) -> MemberDesk | None:
        """Return the desk of a member that takes work, or None."""
        row = self._state.members.members.get(member)
        if row is None or not self._takes_work(row):
            return None
        desk = self.by_member.get(member)
        if desk is not None and _same_start(desk, row):
            return desk
        if desk is not None:
            self._close(desk, "restarted")
        desk = MemberDesk(self._state, row.entry, self._connections(row))
        self.by_member[member] = desk
        log_event("desk_opened", member=member, connections=desk.pool.limit)
        return desk

    def tick(self) -> None:
        """Let every desk refuse what waited too long."""
        for desk in list(self.by_member.values()):
            desk.tick()

    def maintain(self) -> None:
        """Close desks of members that are gone, and warm up those that this VM is to hold."""
        now = self._state.now()
        self._note_draining(now)
        for desk in list(self.by_member.values()):
            row = self._state.members.members.get(desk.member.id)
            if row is None or not _same_start(desk, row):
                self._close(desk, "member_gone")
            elif not self._takes_work(row) and not desk.busy:
                self._close(desk, "member_draining")
        if self._state.stopping:
            return
        for row in self._state.members.members.rows():
            if row.accepts_work and row.entry.domain == self._state.settings.domain:
                first = holder_candidates(self._state.vms, row.entry)[0]
                if first == self._state.vm:
                    self.desk_for(row.entry.id).pool.warm_up()

    def draining_for(self, member: str) -> timedelta:
        """Return for how long a member has been seen draining."""
        now = self._state.now()
        return now - self._draining_since.get(member, now)

    def transactions_open(self) -> int:
        """Return how many transactions are open through this VM."""
        return sum(desk.open_transactions for desk in self.by_member.values())

    def busy(self) -> bool:
        """Tell whether any desk has work in progress."""
        return any(desk.busy for desk in self.by_member.values())

    def close(self) -> None:
        """Close all desks."""
        for desk in list(self.by_member.values()):
            self._close(desk, "stopped")

    def _close(self, desk: MemberDesk, reason: str) -> None:
        log_event("desk_closed", member=desk.member.id, reason=reason)
        self.by_member.pop(desk.member.id, None)
        desk.close()

    def _connections(self, row: MemberRow) -> int:
        service = self._state.catalog.services_by_name.get(row.entry.service)
        limit = service.max_connections if service else 0
        if row.entry.domain != self._state.settings.domain:
            return FAR_CONNECTIONS
        return max(limit - SPARE_CONNECTIONS, LEAST_CONNECTIONS)

    def _note_draining(self, now: timedelta) -> None:
        draining = {
            row.entry.id
            for row in self._state.members.members
            if row.entry.state is MemberState.DRAINING
        }
        for member in draining:
            self._draining_since.setdefault(member, now)
        for member in set(self._draining_since) - draining:
            del self._draining_since[member]

    def _takes_work(self, row: MemberRow) -> bool:
        """Tell whether new work may go to a member; a draining primary goes on for a while."""
        if row.accepts_work:
            return True
        if self._state.members.primary_of(row.entry.service) is not row:
            return False
        since = self._draining_since.setdefault(row.entry.id, self._state.now())
        return self._state.now() - since < DRAINING_WORK


def _same_start(desk: MemberDesk, row: MemberRow) -> bool:
    return (
        desk.member.incarnation == row.entry.incarnation
        and desk.member.address == row.entry.address
    )
