"""Value types that several subsystems share: ids, ranks, log positions, member status."""

from enum import Enum, IntEnum
from typing import NewType

from attrs import frozen

VmId = NewType("VmId", str)
DatabaseId = NewType("DatabaseId", str)
MemberId = NewType("MemberId", str)


def database_id(fleet: str, service: str, database: str) -> DatabaseId:
    """Return the qualified id `fleet/service/database`."""
    return DatabaseId(f"{fleet}/{service}/{database}")


def member_id(database: DatabaseId, member: str) -> MemberId:
    """Return the qualified id `fleet/service/database/member`."""
    return MemberId(f"{database}/{member}")


def database_of(member: MemberId) -> DatabaseId:
    """Return the database that a member belongs to."""
    return DatabaseId(member.rpartition("/")[0])


def fleet_of(qualified: str) -> str:
    """Return the fleet of a database or member id."""
    return qualified.partition("/")[0]


def service_of(qualified: str) -> str:
    """Return the service of a database or member id, without its fleet."""
    return qualified.split("/", 2)[1]


class Rank(IntEnum):
    """Priority class of a request; lower numbers are served first."""

    URGENT = 0
    EVERYDAY = 1
    LEAST_URGENT = 2


class StatementClass(Enum):
    """What a statement does, as far as its text alone proves it."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    UNSUPPORTED = "unsupported"


@frozen(order=True)
class Mark:
    """A position in a database's log and the term of the entry there, ordered by term first."""

    term: int
    position: int

    def __str__(self) -> str:
        """Return the term and the position, as in logs."""
        return f"{self.term}.{self.position}"


NO_MARK = Mark(0, 0)


class MemberRole(Enum):
    """Replication role that a member reports of itself."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@frozen
class TermStart:
    """A term and the log position at which its primary started.

    The entries after that position, up to the start of the next term, belong to the term.
    """

    term: int
    start: int


@frozen
class MemberStatus:
    """Answer of a member to `group_status()`.

    `member` and `leader` are plain names. `leader` is the primary that the member has been told to
    follow, its own name if it is the primary, and empty after a fence until it is told. `term` is
    the highest term that the member has accepted. `last_term` and `position` are the term and
    position of the last entry of its log. `history` lists the terms in its log, oldest first.
    """

    member: str
    term: int
    position: int
    role: MemberRole
    leader: str
    last_term: int
    history: tuple[TermStart, ...] = ()

    @property
    def mark(self) -> Mark:
        """Return the mark of the last log entry; the member with the highest mark is furthest."""
        return Mark(self.last_term, self.position)
