"""Decision logic of the proxy: takes typed messages and returns typed effects.

The core does no I/O and reads no clock of its own, so a test or a trace can replay any run.
"""

from bramleyrill_base import lazy_attributes

from bramleyrill_core._messages import Effect, Message, class_by_name
from bramleyrill_core._rendezvous import rendezvous_order
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
    "rendezvous_order",
    "service_of",
    "system",
]

# Processes of the prepared platform use neither the message dispatch nor the world with its text.
__getattr__ = lazy_attributes(
    globals(),
    {
        "Core": "bramleyrill_core._core",
        "VmIdentity": "bramleyrill_core._world",
        "World": "bramleyrill_core._world",
        "handles": "bramleyrill_core._core",
        "system": "bramleyrill_core._core",
    },
)
