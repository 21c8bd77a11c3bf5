"""Stand-in for the members of a replication group, which speaks the PostgreSQL v3 protocol."""

from bramleyrill_standins.upstream._member import Member
from bramleyrill_standins.upstream._settings import MemberSettings

__all__ = ["Member", "MemberSettings"]
