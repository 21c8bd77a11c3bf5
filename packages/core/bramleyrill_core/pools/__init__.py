"""Connection pools for the members that this VM holds."""

from bramleyrill_core.pools._leases import (
    RESERVED_CONNECTIONS,
    lease,
    pooled_limit,
    release_connection,
    set_transaction_idle,
)
from bramleyrill_core.pools._messages import (
    CloseConnection,
    ConnectionId,
    ConnectionLeased,
    ConnectionLost,
    ConnectionRefused,
    ConnectionReturned,
    ConnectionWanted,
    ControlLost,
    Dial,
    DialFailed,
    DialSucceeded,
    LockRefused,
    LockTaken,
    ReleaseLock,
    TakeLock,
)
from bramleyrill_core.pools._simulation import (
    SharingPlan,
    SharingResult,
    compare_sharing,
    format_sharing_results,
)
from bramleyrill_core.pools._tables import Connection, Pool, PoolState, PoolTables
from bramleyrill_core.pools._upkeep import previous_holder, run_pools

__all__ = [
    "RESERVED_CONNECTIONS",
    "CloseConnection",
    "Connection",
    "ConnectionId",
    "ConnectionLeased",
    "ConnectionRefused",
    "ConnectionWanted",
    "SharingPlan",
    "SharingResult",
    "compare_sharing",
    "format_sharing_results",
    "ConnectionLost",
    "ConnectionReturned",
    "ControlLost",
    "Dial",
    "DialFailed",
    "DialSucceeded",
    "LockRefused",
    "LockTaken",
    "Pool",
    "PoolState",
    "PoolTables",
    "ReleaseLock",
    "TakeLock",
    "release_connection",
    "lease",
    "set_transaction_idle",
    "pooled_limit",
    "previous_holder",
    "run_pools",
]
