"""Holder side: proof that a member is fresh enough for a read."""

from collections import deque
from datetime import timedelta

from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._values import NO_MARK, DatabaseId, Mark, MemberId, MemberStatus, database_of
from bramleyrill_core._world import World
from bramleyrill_core.routing._tables import MAX_SAMPLES, ReplicaRow, RoutingTables, Sample
from bramleyrill_core.sessions._marks import contains

_SUCCESS: Result[None, Problem] = Success(None)


def record_sample(world: World, database: DatabaseId, taken_at: timedelta, mark: Mark) -> None:
    """Add a sample of the primary's last entry.

    `taken_at` is a time of this VM's clock, before the probe was sent, at which no other member
    could have been primary of a later term: the sample then covers all that was committed
    before it.
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
            _advance(row, samples)


def record_status(world: World, member: MemberId, status: MemberStatus) -> None:
    """Take over a member's status and see which samples it has reached."""
    tables = world.tables(RoutingTables)
    row = tables.replicas.get(member)
    if row is None:
        row = tables.replicas.add(member, ReplicaRow(status))
    row.status = status
    samples = tables.samples.get(database_of(member))
    if samples:
        _advance(row, samples)


def _advance(row: ReplicaRow, samples: deque[Sample]) -> None:
    for sample in reversed(samples):
        if row.fresh_at is not None and sample.taken_at <= row.fresh_at:
            return
        if contains(row.status, sample.mark):
            row.fresh_at = sample.taken_at
            return


def staleness(world: World, member: MemberId) -> timedelta | None:
    """Return an upper bound of the member's staleness, or None if there is no proof of one."""
    row = world.tables(RoutingTables).replicas.get(member)
    if row is None or row.fresh_at is None:
        return None
    return world.clock.monotonic() - row.fresh_at


def check_read(
    world: World, member: MemberId, required_mark: Mark, age: timedelta
) -> Result[None, Problem]:
    """Fail with TOO_STALE unless the member has `required_mark` and is at most `age` stale."""
    row = world.tables(RoutingTables).replicas.get(member)
    if row is None:
        return _too_stale("no status of the member is known")
    if world.rules.on("read_floor") and not contains(row.status, required_mark):
        return _too_stale("the member does not have the session's last write")
    behind = staleness(world, member)
    if world.rules.on("read_age") and (behind is None or behind > age):
        return _too_stale("the member is not proved fresh enough")
    return _SUCCESS


def confirm_read(required_mark: Mark, status: MemberStatus) -> Result[None, Problem]:
    """Return TOO_STALE unless the status taken behind a replica's read still has `required_mark`.

    A replica that follows a new primary rewinds; between two probes its holder does not know.
    """
    if required_mark == NO_MARK or contains(status, required_mark):
        return _SUCCESS
    return _too_stale("the member was rewound past the session's last write")


def _too_stale(detail: str) -> Result[None, Problem]:
    return Failure(Problem(ErrorKind.TOO_STALE, detail))
