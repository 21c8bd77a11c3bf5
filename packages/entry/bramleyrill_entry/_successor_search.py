"""Ask the replicas of a service for their marks, and choose the next primary among them."""

from datetime import timedelta

import gevent
from bramleyrill_base import log_event
from bramleyrill_core import Mark
from bramleyrill_core.catalog import MemberEntry, MemberRow
from bramleyrill_core.leadership import (
    Candidate,
    Poll,
    choose_successor,
    starts_up_to,
    uncovered_losses,
)

from bramleyrill_entry._duty_leases import SupervisedService
from bramleyrill_entry._fence import fence
from bramleyrill_entry._member_commands import MemberCommand, MemberCommands
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._unlisted_replicas import Ask, UnlistedReplicas

# A planned change waits this long for a replica to have all entries.
CATCH_UP_TIMEOUT = timedelta(seconds=1.5)
POLL_INTERVAL = timedelta(milliseconds=40)


class SuccessorSearch:
    """Poll the replicas of services; the choice itself is a rule of the core."""

    def __init__(self, state: EntryState, commands: MemberCommands) -> None:
        self._state = state
        self._commands = commands
        self._unlisted = UnlistedReplicas(state)

    def poll(self, supervised: SupervisedService, primary: MemberEntry | None) -> Poll:
        """Ask all replicas for their status at the same time.

        Where the service has synchronous replicas, those that drain are asked too: they receive and
        acknowledge commits until they end. So may those that only lost their way to the store.
        """
        return self._poll(supervised, primary, self._commands.send, self._unlisted.commands.send)

    def fence(self, supervised: SupervisedService, primary: MemberEntry | None, term: int) -> Poll:
        """Stop all replicas from receiving, and return the marks that they have then.

        A primary that is back, or that only this VM does not reach, can acknowledge nothing more
        if the poll is complete.
        """
        direct = self._unlisted.commands
        return self._poll(
            supervised,
            primary,
            lambda replica: fence(self._commands, replica, term),
            lambda replica: fence(direct, replica, term),
        )

    def resume(self, service: str, primary: MemberEntry | None, chosen: str) -> None:
        """Let the replicas that `fence` stopped receive again, now that another member leads.

        A promotion does that, but a member that led already is not promoted.
        """
        for row in self._replicas(service, primary):
            if row.entry.id != chosen:
                gevent.spawn(self._commands.send, row.entry, MemberCommand.RESUME)
        for replica in self._unlisted.to_ask(service):
            if replica.member != chosen:
                gevent.spawn(self._unlisted.commands.send, replica.entry, MemberCommand.RESUME)

    def has_fenced_replica(self, service: str, primary: MemberEntry) -> bool:
        """Return whether a replica of the primary still receives nothing, by its own report."""
        rows = self._replicas(service, primary)
        queries = [gevent.spawn(self._commands.send, row.entry) for row in rows]
        gevent.joinall(queries)
        reports = [query.value for query in queries if query.value is not None]
        return any(report.fenced_term and not report.is_primary for report in reports)

    def settle_losses(self, supervised: SupervisedService, primary: MemberEntry) -> None:
        """Find out which lost replicas are quiet, and whose commits are known to be elsewhere."""
        known = self._state.members.lost_replicas_of(supervised.service, self._state.now())
        lost = [replica for replica in known if replica.entry is not None]
        if not lost:
            return
        poll = self.poll(supervised, primary)
        self._state.members.lost.settle(
            replica for replica in lost if replica.has_ended and replica.member not in poll.unheard
        )

    def _poll(
        self,
        supervised: SupervisedService,
        primary: MemberEntry | None,
        ask: Ask,
        ask_unlisted: Ask,
    ) -> Poll:
        service = supervised.service
        sync_replicas = self.sync_replicas_of(service)
        rows = self._replicas(service, primary)
        if not sync_replicas:
            rows = [row for row in rows if row.accepts_work]
        lost = self._unlisted.to_ask(service) if sync_replicas else []
        queries = [gevent.spawn(ask, row.entry) for row in rows]
        queries += [gevent.spawn(self._unlisted.ask, replica, ask_unlisted) for replica in lost]
        gevent.joinall(queries)
        asked = [(row.entry.id, row.accepts_work) for row in rows]
        # A member without an entry gets no work, so another one with the same mark is preferred.
        asked += [(replica.member, False) for replica in lost]
        candidates, unheard = [], []
        for (member, is_ready), query in zip(asked, queries, strict=True):
            report = query.value
            if report is None:
                unheard.append(member)
                continue
            supervised.highest_term = max(supervised.highest_term, report.term)
            candidates.append(Candidate(member, report.mark, is_ready))
        if sync_replicas:
            unheard = self._without_covered(service, candidates, unheard)
        log_event(
            "replicas_polled",
            service=service,
            marks=",".join(f"{item.member}@{item.mark}" for item in candidates) or "-",
            unheard=",".join(unheard) or "-",
        )
        supervised.marks_by_member = {item.member: item.mark for item in candidates}
        starts = starts_up_to(supervised.starts, primary)
        return Poll(candidates, unheard, sync_replicas, starts)

    def _without_covered(
        self, service: str, candidates: list[Candidate], unheard: list[str]
    ) -> list[str]:
        """Return the unheard replicas, each once, less those whose commits are at a candidate."""
        members = self._state.members
        heard = {candidate.member for candidate in candidates}
        lost = [
            replica
            for replica in members.lost_replicas_of(service, self._state.now())
            if replica.has_ended or replica.member not in heard
        ]
        uncovered = uncovered_losses(lost, candidates, self._state.proofs.history_of(service))
        listed = [member for member in unheard if members.members.get(member) is not None]
        return list(dict.fromkeys([*listed, *(replica.member for replica in uncovered)]))

    def wait_for(
        self, supervised: SupervisedService, primary: MemberEntry, primary_mark: Mark | None
    ) -> str | None:
        """Return a replica that has the primary's last entry, or None if none gets it in time."""
        deadline = self._state.now() + CATCH_UP_TIMEOUT
        while primary_mark is not None and self._state.now() < deadline:
            chosen = choose_successor(self.poll(supervised, primary).candidates, primary_mark)
            if chosen is not None:
                return chosen
            gevent.sleep(POLL_INTERVAL.total_seconds())
        return None

    def sync_replicas_of(self, service: str) -> int:
        """Return how many replicas must have a commit before it is acknowledged."""
        entry = self._state.catalog.services_by_name.get(service)
        return entry.sync_replicas if entry is not None else 0

    def _replicas(self, service: str, primary: MemberEntry | None) -> list[MemberRow]:
        return [
            row
            for row in self._state.members.members_of_service(service)
            if primary is None or row.entry.id != primary.id
        ]
