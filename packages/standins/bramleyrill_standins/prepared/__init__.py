"""Stand-in for the prepared platform: line-protocol members, object store and failover call."""

from bramleyrill_standins.prepared._deployment import (
    DATABASE,
    SERVICE,
    DeploymentError,
    EntryVm,
    LineCaller,
    PreparedDeployment,
)
from bramleyrill_standins.prepared._group import LineGroup, LineMember, Run
from bramleyrill_standins.prepared._store import PreparedPlatform, RawValue

__all__ = [
    "DATABASE",
    "SERVICE",
    "DeploymentError",
    "EntryVm",
    "LineCaller",
    "LineGroup",
    "LineMember",
    "PreparedDeployment",
    "PreparedPlatform",
    "RawValue",
    "Run",
]
