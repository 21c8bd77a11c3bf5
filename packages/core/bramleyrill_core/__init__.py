"""Decision logic of the proxy: takes typed messages and returns typed effects.

The core does no I/O and reads no clock of its own, so a test or a trace can replay any run.
"""

from bramleyrill_core._core import Core, handles, system
from bramleyrill_core._messages import Effect, Message, class_by_name
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
    "class_by_name",
    "database_id",
    "database_of",
    "fleet_of",
    "handles",
    "member_id",
    "service_of",
    "system",
]
