"""Decision core: typed messages in, typed effects out, no I/O and no clock of its own."""

from bramleyrill_core._core import Core, handles, system
from bramleyrill_core._messages import Effect, Message, kind_by_name
from bramleyrill_core._rules import Rules
from bramleyrill_core._values import (
    NO_MARK,
    DatabaseId,
    Mark,
    MemberId,
    MemberRole,
    MemberStatus,
    Rank,
    StatementClass,
    TermStart,
    VmId,
    database_id,
    database_of,
    fleet_of,
    member_id,
    service_of,
)
from bramleyrill_core._world import VmIdentity, World

__all__ = [
    "NO_MARK",
    "Core",
    "DatabaseId",
    "Effect",
    "Mark",
    "MemberId",
    "MemberRole",
    "MemberStatus",
    "Message",
    "Rank",
    "Rules",
    "StatementClass",
    "TermStart",
    "VmId",
    "VmIdentity",
    "World",
    "database_id",
    "database_of",
    "fleet_of",
    "handles",
    "kind_by_name",
    "member_id",
    "service_of",
    "system",
]
