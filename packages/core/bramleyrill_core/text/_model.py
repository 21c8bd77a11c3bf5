"""Typed values of the text."""

from datetime import timedelta
from enum import Enum

from attrs import field, frozen

from bramleyrill_core._values import (
    DatabaseId,
    MemberId,
    Rank,
    database_id,
    database_of,
    member_id,
)


class Durability(Enum):
    """Which members must have a write before it is acknowledged."""

    PRIMARY = "primary"
    SECOND_MEMBER = "second_member"


@frozen
class RankPolicy:
    """Service level of one rank of a service.

    The share `objective` of the requests should be served within the latency `target`. `floor` is
    the share of slot time that the rank is guaranteed under overload. `deadline` is the longest
    total wait of a request before it is refused.
    """

    target: timedelta
    objective: float
    floor: float
    deadline: timedelta
    durability: Durability = Durability.PRIMARY


@frozen
class Limits:
    """Limits of one member: total connections, concurrent statements, expected time to connect."""

    connections: int
    slots: int
    dial: timedelta


@frozen
class MemberSpec:
    """One server of the replication group of a database."""

    id: MemberId
    name: str
    domain: str
    host: str
    port: int
    leaving: bool = False


@frozen
class DatabaseSpec:
    """A database and its members; their order determines which member may lead which term."""

    id: DatabaseId
    name: str
    members: tuple[MemberSpec, ...]

    def member(self, name: str) -> MemberSpec | None:
        """Return the member called `name`, or None."""
        return next((member for member in self.members if member.name == name), None)


@frozen
class UserSpec:
    """A user that callers log in as: SCRAM verifier or password, and defaults for its sessions.

    `verifier` has the form that PostgreSQL stores: `SCRAM-SHA-256$4096:SALT$STORED:SERVER`.
    """

    name: str
    verifier: str = ""
    password: str = field(default="", repr=False)
    rank: Rank = Rank.EVERYDAY
    age: timedelta = timedelta()
    writes: bool = True
    repeatable: bool = False


@frozen
class ServiceSpec:
    """A service of a fleet: limits of its members, service levels, databases and users."""

    fleet: str
    name: str
    limits: Limits
    ranks: dict[Rank, RankPolicy]
    databases: dict[str, DatabaseSpec]
    users: dict[str, UserSpec]
    floor: float = 0.0
    clear_text_passwords: bool = False
    caller_tls: bool = False
    upstream_tls: bool = False


@frozen
class DomainSpec:
    """A failure domain and its region."""

    name: str
    region: str


@frozen
class FleetSpec:
    """A fleet; `floor` is its guaranteed share of each entry VM when another one overloads it."""

    name: str
    floor: float
    domains: dict[str, DomainSpec]
    services: dict[str, ServiceSpec]


@frozen
class FailoverPolicy:
    """Timing of failovers.

    See `example.yaml` for the meaning of the settings.
    """

    probe_interval: timedelta = timedelta(milliseconds=250)
    suspect_after: timedelta = timedelta(seconds=1)
    permit: timedelta = timedelta(seconds=1)


@frozen
class Text:
    """The whole text.

    `version` is the version of the platform's object, and `identity` is that of the offer that put
    the text there. `digest` is a hash of the source.
    """

    version: int = 0
    identity: str = ""
    digest: str = ""
    fleets: dict[str, FleetSpec] = field(factory=dict)
    failover: FailoverPolicy = FailoverPolicy()
    drain_timeout: timedelta = timedelta(seconds=30)
    databases: dict[DatabaseId, DatabaseSpec] = field(factory=dict)
    services: dict[DatabaseId, ServiceSpec] = field(factory=dict)

    def service_of(self, database: DatabaseId) -> ServiceSpec:
        """Return the service of a database; raise KeyError if the text does not have it."""
        return self.services[database]

    def database_of(self, member: MemberId) -> DatabaseSpec:
        """Return the database of a member; raise KeyError if the text does not have it."""
        return self.databases[database_of(member)]


def build_text(fleets: dict[str, FleetSpec], **fields: object) -> Text:
    """Return a text with the indexes by database id built from `fleets`."""
    databases = {}
    services = {}
    for fleet in fleets.values():
        for service in fleet.services.values():
            for database in service.databases.values():
                databases[database.id] = database
                services[database.id] = service
    return Text(fleets=fleets, databases=databases, services=services, **fields)


def build_database(
    fleet: str, service: str, name: str, members: dict[str, tuple[str, str, int]]
) -> DatabaseSpec:
    """Return a database whose `members` map a name to (domain, host, port)."""
    qualified_id = database_id(fleet, service, name)
    specs = tuple(
        MemberSpec(
            id=member_id(qualified_id, member), name=member, domain=domain, host=host, port=port
        )
        for member, (domain, host, port) in members.items()
    )
    return DatabaseSpec(id=qualified_id, name=name, members=specs)


EMPTY_TEXT = Text()
