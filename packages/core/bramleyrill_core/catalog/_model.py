"""Configuration in force and the members that serve it, in the project's own terms."""

from datetime import timedelta
from enum import Enum

from attrs import field, frozen

from bramleyrill_core._values import MemberRole, Rank

Address = tuple[str, int]


class Consistency(Enum):
    """What the reads of a database must include.

    PRIMARY: every acknowledged commit. BOUNDED: all but the commits of the last `max_staleness`.
    OWN_WRITES: the same, and every commit of the session itself.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@frozen
class DatabaseRoute:
    """Where and how the statements of one database are served.

    `statement_timeout` bounds one statement, `target` is the latency that a whole operation
    should have.
    """

    database: str
    service: str
    consistency: Consistency
    rank: Rank
    statement_timeout: timedelta
    target: timedelta
    max_staleness: timedelta


@frozen
class ServiceEntry:
    """A service: the connections that each of its members accepts from all callers together."""

    name: str
    max_connections: int


@frozen
class Catalog:
    """One version of the configuration; `transaction_idle` bounds the pause in a transaction."""

    version: int
    routes_by_database: dict[str, DatabaseRoute] = field(factory=dict, repr=False)
    services_by_name: dict[str, ServiceEntry] = field(factory=dict, repr=False)
    transaction_idle: timedelta = timedelta(seconds=3)


EMPTY_CATALOG = Catalog(0)


class MemberState(Enum):
    """Whether a member takes new work."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class MemberEntry:
    """A member as it describes itself.

    `revision` orders the entries of one member, `born` tells one start of it from the next, and
    `warming` is how much longer it is slow after its start.
    """

    id: str
    service: str
    address: Address
    domain: str
    slots: int
    state: MemberState
    role: MemberRole
    born: int = 0
    warming: timedelta = timedelta()
    revision: int = 0
