"""Stand-in of the users' prepared platform: members with the line protocol, store, duty call."""

from bramleyrill_standins.prepared._deployment import (
    DATABASE,
    SERVICE,
    DeploymentError,
    EntryVm,
    LineCaller,
    PreparedDeployment,
)
from bramleyrill_standins.prepared._group import LineGroup, LineMember
from bramleyrill_standins.prepared._store import PreparedPlatform

__all__ = [
    "DATABASE",
    "SERVICE",
    "EntryVm",
    "DeploymentError",
    "LineCaller",
    "LineGroup",
    "LineMember",
    "PreparedDeployment",
    "PreparedPlatform",
]
