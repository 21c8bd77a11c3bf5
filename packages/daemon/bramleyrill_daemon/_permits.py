"""Permits at the holder: checks, waits for one, redirects, and the wait for a second member."""

from collections.abc import Callable
from datetime import timedelta

import gevent
from attrs import frozen
from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import DatabaseId, MemberId, MemberStatus, VmId, World, database_of
from bramleyrill_core.membership import holder_of
from bramleyrill_core.permits import permit_start
from bramleyrill_core.routing import RoutingTables
from bramleyrill_core.succession import (
    LONGEST_PERMIT,
    Permit,
    SuccessionTables,
    is_on_second_member,
    needs_second_member,
    pauses_writes,
    permit_for,
)
from bramleyrill_core.succession._terms import members_of

from bramleyrill_daemon._transaction import Outcome, Request

# Poll interval of requests that wait for a permit; failovers take seconds.
PERMIT_POLL_INTERVAL = timedelta(milliseconds=20)
# Poll interval of writes that wait for a second member; replication takes at least a few
# milliseconds. Meanwhile the replicas are probed again as soon as they have answered.
SECOND_MEMBER_POLL_INTERVAL = timedelta(milliseconds=4)
# A write that no second member has after this time is reported as unknown: it may still be lost.
SECOND_MEMBER_TIMEOUT = timedelta(seconds=3)
_RETRY_AFTER = timedelta(milliseconds=200)


# Asks a member for its status; returns the time of sending and the status, or None on failure.
Probe = Callable[[MemberId], tuple[timedelta, MemberStatus] | None]


@frozen
class Refusal:
    """Problem of a request that did not run, with the VM and member to ask instead if known."""

    problem: Problem
    redirect: VmId | None = None
    member: MemberId | None = None

    def outcome(self) -> Outcome:
        """Return the outcome that reports this refusal to the entry side."""
        return Outcome(problem=self.problem, redirect=self.redirect, redirect_member=self.member)


class PermitTracker:
    """Decide for the transactions of this VM whether their member may answer.

    `wait_for_permit` and `wait_for_second_member` block, as does `permit_for_answer` on a VM that
    is leaving.
    """

    def __init__(
        self,
        world: World,
        probe_replicas: Callable[[DatabaseId], None] = lambda database: None,
        probe: Probe = lambda member: None,
    ) -> None:
        self.world = world
        self.now = world.clock.monotonic
        self.draining = False
        self._probe_replicas = probe_replicas
        self._probe = probe
        self._fenced_terms: dict[MemberId, int] = {}
        self._polled_databases: set[DatabaseId] = set()

    def valid_permit(self, member: MemberId) -> Permit | None:
        """Return the valid permit of a member, or None; only the known primary has one."""
        database = database_of(member)
        permit = permit_for(self.world, database)
        if permit is None or permit.term < self._fenced_terms.get(member, 0):
            return None
        primary = self.world.tables(RoutingTables).primaries.get(database)
        return permit if primary is not None and primary.member == member else None

    def permit_for_answer(self, member: MemberId, database: DatabaseId, term: int) -> Permit | None:
        """Return the newest permit of a term, even if expired; the entry side checks its time.

        A VM that is leaving no longer supervises the database, but still finishes the requests
        that it has admitted. For these, this probes the members once and blocks meanwhile.
        """
        group = self.world.tables(SuccessionTables).groups.by_id.get(database)
        if group is not None:
            permit = group.permit
            return permit if permit is not None and permit.term == term else None
        return self._ask_members(member, database, term)

    def record_fenced(self, member: MemberId, status: MemberStatus) -> None:
        """Record that a member reported a term in which it is not the primary."""
        earlier = self._fenced_terms.get(member, 0)
        self._fenced_terms[member] = max(earlier, status.term)

    def wait_for_permit(self, member: MemberId, deadline: timedelta) -> Refusal | None:
        """Wait until the member may answer as primary; return a refusal if it may not.

        A planned change of the primary pauses writes, so it makes requests wait, too. Refuses at
        the deadline, or as soon as the holder of another primary is known.
        """
        database = database_of(member)
        while True:
            if self.valid_permit(member) is not None and not pauses_writes(self.world, database):
                return None
            redirect = self._holder_of_primary(database, member)
            if redirect is not None or self.now() >= deadline:
                return self._no_primary_refusal(database, redirect)
            gevent.sleep(PERMIT_POLL_INTERVAL.total_seconds())

    def not_primary_refusal(self, member: MemberId) -> Refusal:
        """Return the refusal of a member that turned out not to be the primary."""
        database = database_of(member)
        return self._no_primary_refusal(database, self._holder_of_primary(database, member))

    def not_holder_refusal(self, member: MemberId) -> Refusal:
        """Return the refusal of a member that this VM does not hold."""
        kind = ErrorKind.NOT_RUN_DRAINING if self.draining else ErrorKind.NOT_RUN_UNREACHABLE
        try:
            holder = holder_of(self.world, member)
        except KeyError:
            return Refusal(Problem(ErrorKind.UNKNOWN_DATABASE, database_of(member)))
        redirect = holder if holder != self.world.identity.id else None
        return Refusal(Problem(kind, f"not the holder of {member}", _RETRY_AFTER), redirect)

    def wait_for_second_member(
        self, member: MemberId, request: Request, status: MemberStatus
    ) -> Problem | None:
        """Wait until a second member has the write, if the text requires that for the rank.

        `status` is the member's status after the write. Return OUTCOME_UNKNOWN if no second member
        has the write after SECOND_MEMBER_TIMEOUT.
        """
        world, database = self.world, database_of(member)
        if not needs_second_member(world, database, request.rank):
            return None
        deadline = self.now() + SECOND_MEMBER_TIMEOUT
        while not is_on_second_member(world, database, status.mark):
            if self.now() >= deadline:
                return Problem(ErrorKind.OUTCOME_UNKNOWN, "no second member has the write")
            if database not in self._polled_databases:
                self._polled_databases.add(database)
                gevent.spawn(self._poll_replicas, database)
            gevent.sleep(SECOND_MEMBER_POLL_INTERVAL.total_seconds())
        return None

    def _ask_members(self, member: MemberId, database: DatabaseId, term: int) -> Permit | None:
        """Probe all members at once; return the permit that their answers give, or None."""
        database_spec = self.world.text.databases.get(database)
        spans = self.world.tables(SuccessionTables).spans.get(database)
        if database_spec is None or not spans:
            return None
        probes = {item.name: gevent.spawn(self._probe, item.id) for item in database_spec.members}
        gevent.joinall(list(probes.values()))
        answers = {name: probe.value for name, probe in probes.items() if probe.value is not None}
        name = member.rpartition("/")[2]
        if name not in answers or answers[name][1].term != term:
            return None
        start = permit_start(members_of(spans, term), name, answers, self.world.rules)
        length = min(self.world.text.failover.permit, LONGEST_PERMIT)
        return None if start is None else Permit(term, start, length)

    def _poll_replicas(self, database: DatabaseId) -> None:
        try:
            self._probe_replicas(database)
            gevent.sleep(SECOND_MEMBER_POLL_INTERVAL.total_seconds())
        finally:
            self._polled_databases.discard(database)

    def _holder_of_primary(self, database: DatabaseId, member: MemberId) -> VmId | None:
        primary = self.world.tables(RoutingTables).primaries.get(database)
        if primary is None or primary.member == member:
            return None
        try:
            return holder_of(self.world, primary.member)
        except KeyError:
            return None

    def _no_primary_refusal(self, database: DatabaseId, redirect: VmId | None) -> Refusal:
        primary = self.world.tables(RoutingTables).primaries.get(database)
        member = primary.member if primary is not None and redirect is not None else None
        return Refusal(
            Problem(ErrorKind.NOT_RUN_NO_PRIMARY, database, _RETRY_AFTER), redirect, member
        )
