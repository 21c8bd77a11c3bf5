"""Entry side: choice of the member and the holder for a statement."""

from datetime import timedelta

import xxhash
from attrs import evolve, frozen
from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._values import NO_MARK, Mark, MemberId, StatementClass, VmId
from bramleyrill_core._world import World
from bramleyrill_core.membership import holder_of
from bramleyrill_core.routing._tables import RoutingTables
from bramleyrill_core.sessions._marks import pop_lost_entry
from bramleyrill_core.sessions._tables import Session
from bramleyrill_core.text import DatabaseSpec, MemberSpec

# Problems after which the statement has not run and another member may answer it.
_RETRY_AT_OTHER_MEMBER = frozenset(
    [
        ErrorKind.TOO_STALE,
        ErrorKind.NOT_RUN_UNREACHABLE,
        ErrorKind.NOT_RUN_NO_PRIMARY,
        ErrorKind.NOT_RUN_DRAINING,
        ErrorKind.NOT_RUN_OVERLOADED,
    ]
)
_WRITE_CLASSES = frozenset([StatementClass.WRITE])


@frozen
class Route:
    """Destination of a statement.

    `vm` holds the connections of `member`. With `at_primary` the holder refuses the statement
    unless the member is the primary under a valid permit when the request arrives; the answer to
    a write must also pass `succession.check_answer`. A replica must prove that it has the entry
    `required_mark` and is at most `age` stale. `tried` are the members that refused, and
    `primary_tried` is set if one of them was tried as the primary.
    """

    member: MemberId
    vm: VmId
    at_primary: bool
    required_mark: Mark
    age: timedelta
    tried: tuple[MemberId, ...] = ()
    primary_tried: bool = False


def route(
    world: World, session: Session, statement_class: StatementClass, in_transaction: bool
) -> Result[Route, Problem]:
    """Choose the member for the next statement of a session.

    Fail with UNKNOWN_DATABASE, READ_ONLY_CALLER, LOST_ENTRY (once after each loss), or
    NOT_RUN_NO_PRIMARY if no holder of the database is alive. While the primary is not known, any
    holder is chosen, which redirects to the primary.
    """
    database = world.text.databases.get(session.database)
    if database is None:
        return Failure(Problem(ErrorKind.UNKNOWN_DATABASE, session.database))
    if not session.writes and statement_class in _WRITE_CLASSES:
        return Failure(Problem(ErrorKind.READ_ONLY_CALLER, session.user))
    is_plain_read = statement_class is StatementClass.READ and not in_transaction
    if is_plain_read and session.lost_mark is not None:
        return Failure(pop_lost_entry(session).failure())
    if is_plain_read and _may_use_replica(world, session):
        replica_route = _replica_route(world, session, database, ())
        if replica_route is not None:
            return Success(replica_route)
    return _primary_route(world, session, database, ())


def _may_use_replica(world: World, session: Session) -> bool:
    is_mark_known = session.mark is not None or not world.rules.on("unknown_session")
    return is_mark_known and session.age > timedelta()


def next_route(
    world: World, session: Session, earlier: Route, problem: Problem
) -> Result[Route, Problem]:
    """Choose another member after `earlier` failed, or fail with `problem`; call it for reads only.

    A read falls back from a replica to the primary and, if that cannot be reached, to the
    replicas that have not been tried. Statements that need the primary are not rerouted here: the
    caller records a new primary with `record_primary` and calls `route` again.
    """
    database = world.text.databases.get(session.database)
    if database is None or problem.kind not in _RETRY_AT_OTHER_MEMBER or earlier.age <= timedelta():
        return Failure(problem)
    tried = (*earlier.tried, earlier.member)
    primary_tried = earlier.at_primary or earlier.primary_tried
    if not primary_tried:
        primary_route = _primary_route(world, session, database, tried)
        if isinstance(primary_route, Success):
            return primary_route
    replica = _replica_route(world, session, database, tried)
    if replica is None:
        return Failure(problem)
    return Success(evolve(replica, primary_tried=primary_tried))


def _is_primary(world: World, database: DatabaseSpec, member: MemberId) -> bool:
    primary = world.tables(RoutingTables).primaries.get(database.id)
    return primary is not None and primary.member == member


def _distance_key(world: World, member: MemberSpec) -> tuple[int, int]:
    """Return the sort key of a member: own domain, own region, others.

    Ties are broken by a rendezvous hash of this VM and the member, which spreads the load of
    several VMs over the members.
    """
    own = world.identity
    tie_breaker = xxhash.xxh64_intdigest(f"{own.id} {member.id}".encode())
    if member.domain == own.domain:
        return 0, tie_breaker
    fleet = world.text.fleets.get(member.id.partition("/")[0])
    domain = fleet.domains.get(member.domain) if fleet else None
    return (1 if domain and domain.region == own.region else 2), tie_breaker


def _members_by_distance(world: World, database: DatabaseSpec) -> list[MemberSpec]:
    """Return the members, nearest first; cached until the database changes in the text."""
    members_by_distance = world.tables(RoutingTables).members_by_distance
    cached = members_by_distance.get(database.id)
    if cached is None or cached[0] is not database:
        members = sorted(database.members, key=lambda member: _distance_key(world, member))
        cached = members_by_distance.add(database.id, (database, members))
    return cached[1]


def _replica_route(
    world: World, session: Session, database: DatabaseSpec, tried: tuple[MemberId, ...]
) -> Route | None:
    """Return the route to the nearest untried member that is not known to be the primary."""
    for member in _members_by_distance(world, database):
        if member.leaving or member.id in tried or _is_primary(world, database, member.id):
            continue
        vm = holder_of(world, member.id)
        if vm is not None:
            required_mark = session.mark or NO_MARK
            return Route(member.id, vm, False, required_mark, session.age, tried)
    return None


def _primary_route(
    world: World, session: Session, database: DatabaseSpec, tried: tuple[MemberId, ...]
) -> Result[Route, Problem]:
    known_primary = world.tables(RoutingTables).primaries.get(database.id)
    # The known primary is not skipped if tried: it may have been tried as a replica before.
    members = [
        m for m in database.members if known_primary is not None and m.id == known_primary.member
    ]
    if not members:
        members = [m for m in _members_by_distance(world, database) if m.id not in tried]
    for member in members:
        vm = holder_of(world, member.id)
        if vm is not None:
            required_mark = session.mark or NO_MARK
            return Success(Route(member.id, vm, True, required_mark, session.age, tried))
    return Failure(Problem(ErrorKind.NOT_RUN_NO_PRIMARY, database.id))
