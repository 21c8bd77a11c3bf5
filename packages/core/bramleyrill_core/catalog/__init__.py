"""Configuration of the prepared platform, and the members that serve it."""

from bramleyrill_core.catalog._lost_replicas import (
    LOST_REPLICA_MEMORY,
    UNKNOWN_REPLICA,
    LostReplica,
    ReplicaProcess,
    read_address,
)
from bramleyrill_core.catalog._model import (
    EMPTY_CATALOG,
    Address,
    Catalog,
    Consistency,
    DatabaseRoute,
    MemberEntry,
    MemberState,
    ServiceEntry,
)
from bramleyrill_core.catalog._tables import MemberRow, MemberTable

__all__ = [
    "EMPTY_CATALOG",
    "LOST_REPLICA_MEMORY",
    "UNKNOWN_REPLICA",
    "Address",
    "Catalog",
    "Consistency",
    "DatabaseRoute",
    "LostReplica",
    "MemberEntry",
    "MemberRow",
    "MemberState",
    "MemberTable",
    "ReplicaProcess",
    "ServiceEntry",
    "read_address",
]
