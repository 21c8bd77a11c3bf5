"""Stand-in of the users' prepared platform: members with the line protocol, store, duty call."""

from bramleyrill_standins.prepared._estate import (
    DATABASE,
    SERVICE,
    EntryVm,
    EstateError,
    LineCaller,
    PreparedEstate,
)
from bramleyrill_standins.prepared._group import LineGroup, LineMember
from bramleyrill_standins.prepared._store import PreparedPlatform

__all__ = [
    "DATABASE",
    "SERVICE",
    "EntryVm",
    "EstateError",
    "LineCaller",
    "LineGroup",
    "LineMember",
    "PreparedEstate",
    "PreparedPlatform",
]
