"""Ask the replicas of a service for their marks, and choose the next primary among them."""

from collections.abc import Callable
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
from bramleyrill_core.permits import StatusReport

from bramleyrill_entry._duty_leases import SupervisedService
from bramleyrill_entry._fence import fence
from bramleyrill_entry._member_commands import MemberCommand, MemberCommands
from bramleyrill_entry._state import EntryState

# A planned change waits this long for a replica to have all entries.
CATCH_UP_TIMEOUT = timedelta(seconds=1.5)
POLL_INTERVAL = timedelta(milliseconds=40)


class SuccessorSearch:
    """Poll the replicas of services; the choice itself is a rule of the core."""

    def __init__(self, state: EntryState, commands: MemberCommands) -> None:
        self._state = state
        self._commands = commands

    def poll(self, supervised: SupervisedService, primary: MemberEntry | None) -> Poll:
        """Ask all replicas for their status at the same time.

        Where the service has synchronous replicas, those that drain are asked too: they receive and
        acknowledge commits until they end.
        """
        return self._poll(supervised, primary, self._commands.send)

    def fence(self, supervised: SupervisedService, primary: MemberEntry | None, term: int) -> Poll:
        """Stop all replicas from receiving, and return the marks that they have then.

        A primary that is back, or that only this VM does not reach, can acknowledge nothing more
        if the poll is complete.
        """
        return self._poll(supervised, primary, lambda replica: fence(self._commands, replica, term))

    def resume(self, service: str, primary: MemberEntry | None, chosen: str) -> None:
        """Let the replicas that `fence` stopped receive again, now that another member leads.

        A promotion does that, but a member that led already is not promoted.
        """
        for row in self._replicas(service, primary):
            if row.entry.id != chosen:
                gevent.spawn(self._commands.send, row.entry, MemberCommand.RESUME)

    def has_fenced_replica(self, service: str, primary: MemberEntry) -> bool:
        """Return whether a replica of the primary still receives nothing, by its own report."""
        rows = self._replicas(service, primary)
        queries = [gevent.spawn(self._commands.send, row.entry) for row in rows]
        gevent.joinall(queries)
        reports = [query.value for query in queries if query.value is not None]
        return any(report.fenced_term and not report.is_primary for report in reports)

    def _poll(
        self,
        supervised: SupervisedService,
        primary: MemberEntry | None,
        ask: Callable[[MemberEntry], StatusReport | None],
    ) -> Poll:
        service = supervised.service
        sync_replicas = self.sync_replicas_of(service)
        rows = self._replicas(service, primary)
        if not sync_replicas:
            rows = [row for row in rows if row.accepts_work]
        queries = [gevent.spawn(ask, row.entry) for row in rows]
        gevent.joinall(queries)
        candidates, unheard = [], []
        for row, query in zip(rows, queries, strict=True):
            report = query.value
            if report is None:
                unheard.append(row.entry.id)
                continue
            supervised.highest_term = max(supervised.highest_term, report.term)
            candidates.append(Candidate(row.entry.id, report.mark, row.accepts_work))
        unheard += self._uncovered_losses(service, candidates, unheard)
        log_event(
            "replicas_polled",
            service=service,
            marks=",".join(f"{item.member}@{item.mark}" for item in candidates) or "-",
            unheard=",".join(unheard) or "-",
        )
        supervised.marks_by_member = {item.member: item.mark for item in candidates}
        starts = starts_up_to(supervised.starts, primary)
        return Poll(candidates, unheard, sync_replicas, starts)

    def _uncovered_losses(
        self, service: str, candidates: list[Candidate], unheard: list[str]
    ) -> list[str]:
        """Return the lost replicas whose commits are not known to be at a candidate, each once."""
        lost = self._state.members.lost_replicas_of(service, self._state.now())
        uncovered = uncovered_losses(lost, candidates, self._state.proofs.history_of(service))
        return [name for name in dict.fromkeys(uncovered) if name not in unheard]

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
