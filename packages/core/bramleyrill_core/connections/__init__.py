"""Decide which team's connection a statement gets, and when one is closed or dialed for it."""

from bramleyrill_core.connections._allocator import ConnectionAllocator
from bramleyrill_core.connections._demand import DemandTable
from bramleyrill_core.connections._limit import LearnedLimit
from bramleyrill_core.connections._policies import (
    DEFAULT_POLICY,
    ConnectionPolicy,
    connection_policies,
)
from bramleyrill_core.connections._values import (
    Action,
    Assign,
    Close,
    ConnectionCounts,
    Dial,
    PooledConnection,
    Use,
)

__all__ = [
    "DEFAULT_POLICY",
    "Action",
    "Assign",
    "Close",
    "ConnectionAllocator",
    "ConnectionCounts",
    "ConnectionPolicy",
    "DemandTable",
    "Dial",
    "LearnedLimit",
    "PooledConnection",
    "Use",
    "connection_policies",
]
