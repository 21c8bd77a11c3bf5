"""Holder side: proof that a member's data is recent enough for a read."""

from collections import deque
from datetime import timedelta

from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._values import NO_MARK, DatabaseId, Mark, MemberId, MemberStatus, database_of
from bramleyrill_core._world import World
from bramleyrill_core.routing._tables import MAX_SAMPLES, ReplicaRow, RoutingTables, Sample
from bramleyrill_core.sessions._marks import log_contains

_SUCCESS: Result[None, Problem] = Success(None)


def record_sample(world: World, database: DatabaseId, taken_at: timedelta, mark: Mark) -> None:
    """Record a sample of the primary's last log entry.

    `taken_at` is on this VM's clock, before the probe was sent. No other member may have been
    primary of a later term at that time, so that the sample covers every entry committed before
    it.
    """
    tables = world.tables(RoutingTables)
    samples = tables.samples.get(database)
    if samples is None:
        samples = tables.samples.add(database, deque(maxlen=MAX_SAMPLES))
    if samples and samples[-1].taken_at >= taken_at:
        return
    samples.append(Sample(taken_at, mark))
    for member, row in tables.replicas.by_id.items():
        if database_of(member) == database:
            _update_completeness(row, samples)


def record_status(world: World, member: MemberId, status: MemberStatus) -> None:
    """Record a member's status and update the time until which its log is complete."""
    tables = world.tables(RoutingTables)
    row = tables.replicas.get(member)
    if row is None:
        row = tables.replicas.add(member, ReplicaRow(status))
    row.status = status
    samples = tables.samples.get(database_of(member))
    if samples:
        _update_completeness(row, samples)


def _update_completeness(row: ReplicaRow, samples: deque[Sample]) -> None:
    for sample in reversed(samples):
        if row.complete_until is not None and sample.taken_at <= row.complete_until:
            return
        if log_contains(row.status, sample.mark):
            row.complete_until = sample.taken_at
            return


def staleness(world: World, member: MemberId) -> timedelta | None:
    """Return an upper bound of the member's staleness, or None if none is proved."""
    row = world.tables(RoutingTables).replicas.get(member)
    if row is None or row.complete_until is None:
        return None
    return world.clock.monotonic() - row.complete_until


def check_read(
    world: World, member: MemberId, required_mark: Mark, age: timedelta
) -> Result[None, Problem]:
    """Fail with TOO_STALE unless the member has `required_mark` and is at most `age` stale."""
    row = world.tables(RoutingTables).replicas.get(member)
    if row is None:
        return _too_stale("no status of the member is known")
    if world.rules.on("read_floor") and not log_contains(row.status, required_mark):
        return _too_stale("the member does not have the session's last write")
    age_bound = staleness(world, member)
    if world.rules.on("read_age") and (age_bound is None or age_bound > age):
        return _too_stale("the member is not proved fresh enough")
    return _SUCCESS


def confirm_read(required_mark: Mark, status: MemberStatus) -> Result[None, Problem]:
    """Fail with TOO_STALE unless the status taken after a replica's read has `required_mark`.

    A replica that starts to follow a new primary may rewind its log, which its holder only
    notices at the next probe.
    """
    if required_mark == NO_MARK or log_contains(status, required_mark):
        return _SUCCESS
    return _too_stale("the member was rewound past the session's last write")


def _too_stale(detail: str) -> Result[None, Problem]:
    return Failure(Problem(ErrorKind.TOO_STALE, detail))
