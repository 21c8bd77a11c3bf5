"""Value types of the configuration in force and of the members, independent of the platform."""

from datetime import timedelta
from enum import Enum

from attrs import field, frozen

from bramleyrill_core._values import MemberRole, Rank
from bramleyrill_core.history import StoreRevision
from bramleyrill_core.teams import NO_TEAMS, TeamDirectory

Address = tuple[str, int]


class Consistency(Enum):
    """Consistency of the reads of a database.

    PRIMARY: a read includes every acknowledged commit. BOUNDED: it may miss commits of the last
    `max_staleness`. OWN_WRITES: like BOUNDED, but it includes every commit of its own session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@frozen
class DatabaseRoute:
    """Service and quality of service of one database.

    `statement_timeout` bounds one statement. `target` is the target latency of a whole operation.
    A `public` route needs no key, and its work belongs to no team.
    """

    database: str
    service: str
    consistency: Consistency
    rank: Rank
    statement_timeout: timedelta
    target: timedelta
    max_staleness: timedelta
    public: bool = False


@frozen
class ServiceEntry:
    """A service and the number of connections that each of its members accepts in total.

    A member acknowledges a commit once `sync_replicas` replicas have received it.
    """

    name: str
    max_connections: int
    sync_replicas: int = 0


@frozen
class Catalog:
    """One version of the configuration.

    `services_by_name` has every service that a route names; the members of others are not used.
    `transaction_idle_timeout` bounds the time between two statements of a transaction. `teams` is
    not enabled where the configuration names none.
    """

    version: int
    routes_by_database: dict[str, DatabaseRoute] = field(factory=dict, repr=False)
    services_by_name: dict[str, ServiceEntry] = field(factory=dict, repr=False)
    transaction_idle_timeout: timedelta = timedelta(seconds=3)
    teams: TeamDirectory = NO_TEAMS


EMPTY_CATALOG = Catalog(0)


class MemberState(Enum):
    """Whether a member accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class MemberEntry:
    """Entry in which a member describes itself.

    `revision` orders the entries of one member. `incarnation` differs between two starts of the
    member. `warmup_left` is the remaining time in which it is slow after its start.
    """

    id: str
    service: str
    address: Address
    domain: str
    slots: int
    state: MemberState
    role: MemberRole
    incarnation: int = 0
    warmup_left: timedelta = timedelta()
    revision: StoreRevision = StoreRevision()
