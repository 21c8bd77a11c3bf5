"""The member schedulers of this VM, one for each member that it runs statements at."""

from datetime import timedelta
from functools import partial

from bramleyrill_base import log_event
from bramleyrill_core.catalog import MemberRow, MemberState
from bramleyrill_core.connections import ConnectionCounts
from bramleyrill_core.placement import holder_candidates

from bramleyrill_entry._permits import PermitKeeper
from bramleyrill_entry._pool import WARM_CONNECTIONS
from bramleyrill_entry._run_request import NO_TRANSACTION, Opens, RunProblem, RunRequest, RunResult
from bramleyrill_entry._scheduler import MemberScheduler
from bramleyrill_entry._state import EntryState

# Part of the member's connection limit that is left to VMs that connect to it directly because
# they cannot reach its holder.
SPARE_CONNECTIONS = 2
# With teams a holder fills its limit, since each connection serves one team only. A member keeps
# the connections of a VM that lost power for seconds; its next holder needs this share meanwhile.
SUCCESSOR_SHARE = 0.25
# A VM of another failure domain is not normally the holder, so it uses only spare connections.
REMOTE_DOMAIN_CONNECTIONS = 2
MIN_CONNECTIONS = 2
# A VM that used a member in place of its holder keeps idle connections only this long; they count
# against the member's limit, and the holder needs them once it is back.
MAX_IDLE_TIME_ELSEWHERE = timedelta(milliseconds=500)
# How long a primary that started to drain still gets new work.
DRAINING_PRIMARY_GRACE = timedelta(seconds=4)


class MemberSchedulers:
    """Member schedulers by member id; created on first use, closed when the member is removed."""

    def __init__(self, state: EntryState, permits: PermitKeeper | None = None) -> None:
        self.by_member: dict[str, MemberScheduler] = {}
        self._permits = permits or PermitKeeper(state, None)
        self._state = state
        self._draining_since: dict[str, timedelta] = {}
        self._closed_counts = ConnectionCounts()

    def run(self, peer: str, request: RunRequest) -> RunResult:
        """Run a statement for the VM `peer`; the result has a problem if it cannot run here."""
        continues = request.transaction_id != NO_TRANSACTION and request.opens is Opens.NOTHING
        if self._state.stopping and peer != self._state.vm and not continues:
            return RunResult(problem=RunProblem.STOPPING)
        scheduler = (
            self.by_member.get(request.member) if continues else self.scheduler_for(request.member)
        )
        if scheduler is None:
            problem = RunProblem.NO_EXCHANGE if continues else RunProblem.UNREACHABLE
            return RunResult(problem=problem)
        return scheduler.run(peer, request)

    def end_transaction(self, peer: str, transaction_id: int) -> None:
        """Roll back a transaction of the VM `peer` if it is still open."""
        for scheduler in list(self.by_member.values()):
            scheduler.end_transaction((peer, transaction_id))

    def end_transactions(self, peer: str | None = None) -> None:
        """Roll back the transactions of the VM `peer`, or all transactions if it is None."""
        for scheduler in list(self.by_member.values()):
            scheduler.end_transactions(peer)

    def scheduler_for(self, member: str) -> MemberScheduler | None:
        """Return the scheduler of a member, created if needed; None if it takes no new work."""
        if not self._takes_new_work(member):
            return None
        row = self._state.members.members.get(member)
        scheduler = self.by_member.get(member)
        if scheduler is not None and _is_same_process(scheduler, row):
            return scheduler
        if scheduler is not None:
            self._close(scheduler, "restarted")
        scheduler = MemberScheduler(
            self._state,
            row.entry,
            self._connection_limit(row),
            self._permits,
            partial(self._takes_new_work, member),
        )
        scheduler.pool.limit = self._connection_budget(row)
        if self._state.stopping:
            scheduler.pool.drain()
        self.by_member[member] = scheduler
        log_event("desk_opened", member=member, connections=scheduler.pool.limit)
        return scheduler

    def tick(self) -> None:
        """Refuse requests that waited too long, and roll back abandoned transactions."""
        for scheduler in list(self.by_member.values()):
            scheduler.tick()

    def drain(self) -> None:
        """Give up the connections to members, for the VMs that hold the members from now on.

        Statements and transactions in progress keep theirs until they end.
        """
        for scheduler in self.by_member.values():
            scheduler.pool.drain()

    def refuse_waiting(self) -> None:
        """Refuse the statements that wait for a slot, as they can no longer be answered."""
        for scheduler in self.by_member.values():
            scheduler.refuse_waiting()

    def maintain(self) -> None:
        """Close the schedulers of removed members, and idle connections of members held elsewhere.

        Connections of members that this VM holds are kept warm.
        """
        now = self._state.now()
        self._update_draining(now)
        for scheduler in list(self.by_member.values()):
            row = self._state.members.members.get(scheduler.member.id)
            if row is None or not _is_same_process(scheduler, row):
                self._close(scheduler, "member_gone")
            elif not self._gets_new_work(row) and not scheduler.busy:
                self._close(scheduler, "member_draining")
        if self._state.stopping:
            return
        # A connection of no team would serve only the proxy's own checks.
        warm = 0 if self._state.catalog.teams.enabled else WARM_CONNECTIONS
        for row in self._state.members.members.rows():
            is_configured = row.entry.service in self._state.catalog.services_by_name
            if is_configured and row.accepts_work and self._holds(row):
                self.scheduler_for(row.entry.id).pool.maintain_connections(warm)
        for scheduler in self.by_member.values():
            row = self._state.members.members.get(scheduler.member.id)
            if row is None:
                continue
            scheduler.pool.limit = self._connection_budget(row)
            if not self._holds(row):
                scheduler.pool.close_idle(MAX_IDLE_TIME_ELSEWHERE)

    def _holds(self, row: MemberRow) -> bool:
        """Return whether this VM is the first choice as holder of a member of its domain."""
        if row.entry.domain != self._state.settings.domain:
            return False
        return holder_candidates(self._state.vms, row.entry)[0] == self._state.vm

    def draining_for(self, member: str) -> timedelta:
        """Return how long ago the member was first seen draining; zero if it is not."""
        now = self._state.now()
        return now - self._draining_since.get(member, now)

    def count_open_transactions(self) -> int:
        """Return the number of transactions that are open through this VM."""
        return sum(scheduler.open_transactions for scheduler in self.by_member.values())

    def count_connections(self) -> int:
        """Return the number of connections to members that are open or being dialed."""
        return sum(scheduler.pool.size for scheduler in self.by_member.values())

    def connection_counts(self) -> ConnectionCounts:
        """Return the totals of all pools since the start of the process."""
        pools = (scheduler.pool for scheduler in self.by_member.values())
        return sum((pool.allocator.counts for pool in pools), self._closed_counts)

    def busy(self) -> bool:
        """Return whether any scheduler has statements or transactions in progress or queued."""
        return any(scheduler.busy for scheduler in self.by_member.values())

    def close(self) -> None:
        """Close all schedulers."""
        for scheduler in list(self.by_member.values()):
            self._close(scheduler, "stopped")

    def _close(self, scheduler: MemberScheduler, reason: str) -> None:
        log_event("desk_closed", member=scheduler.member.id, reason=reason)
        self.by_member.pop(scheduler.member.id, None)
        self._closed_counts += scheduler.pool.allocator.counts
        scheduler.close()

    def _connection_limit(self, row: MemberRow) -> int:
        service = self._state.catalog.services_by_name.get(row.entry.service)
        limit = service.max_connections if service else 0
        if row.entry.domain != self._state.settings.domain:
            return REMOTE_DOMAIN_CONNECTIONS
        if self._state.catalog.teams.enabled:
            limit -= round(SUCCESSOR_SHARE * limit)
        return max(limit - SPARE_CONNECTIONS, MIN_CONNECTIONS)

    def _connection_budget(self, row: MemberRow) -> int:
        """Return how many connections to a member this VM may open now.

        With teams the holder's connections are all in use for them. Another VM of the domain then
        opens no more than it needs to use the member's slots, until it becomes the holder.
        """
        limit = self._connection_limit(row)
        if not self._state.catalog.teams.enabled or self._holds(row):
            return limit
        return min(limit, row.entry.slots + SPARE_CONNECTIONS)

    def _update_draining(self, now: timedelta) -> None:
        draining = {
            row.entry.id
            for row in self._state.members.members
            if row.entry.state is MemberState.DRAINING
        }
        for member in draining:
            self._draining_since.setdefault(member, now)
        for member in set(self._draining_since) - draining:
            del self._draining_since[member]

    def _takes_new_work(self, member: str) -> bool:
        row = self._state.members.members.get(member)
        return row is not None and self._gets_new_work(row)

    def _gets_new_work(self, row: MemberRow) -> bool:
        """Return whether a member gets new work; a draining primary still does for a while."""
        if row.accepts_work:
            return True
        if self._state.members.primary_of(row.entry.service) is not row:
            return False
        since = self._draining_since.setdefault(row.entry.id, self._state.now())
        return self._state.now() - since < DRAINING_PRIMARY_GRACE


def _is_same_process(scheduler: MemberScheduler, row: MemberRow) -> bool:
    return (
        scheduler.member.incarnation == row.entry.incarnation
        and scheduler.member.address == row.entry.address
    )
