"""Membership: which VMs are alive or leaving, and which VM holds which member."""

from bramleyrill_core.membership._heartbeats import announce_leaving, announce_left, gossip_soon
from bramleyrill_core.membership._holders import (
    holder_of,
    holders_of,
    live_vms,
)
from bramleyrill_core.membership._messages import (
    HeartbeatAcked,
    HeartbeatArrived,
    HeartbeatTimedOut,
    IndirectAcked,
    IndirectAsked,
    ListedVm,
    SendHeartbeat,
    SendHeartbeatAck,
    SendIndirect,
    SendIndirectAck,
    VmsListed,
    VmState,
    VmStateChanged,
    VmUpdate,
)
from bramleyrill_core.membership._view import MembershipTables, Vm

__all__ = [
    "HeartbeatAcked",
    "HeartbeatArrived",
    "HeartbeatTimedOut",
    "IndirectAcked",
    "IndirectAsked",
    "ListedVm",
    "MembershipTables",
    "SendHeartbeat",
    "SendHeartbeatAck",
    "SendIndirect",
    "SendIndirectAck",
    "Vm",
    "VmState",
    "VmStateChanged",
    "VmUpdate",
    "VmsListed",
    "announce_leaving",
    "announce_left",
    "gossip_soon",
    "holder_of",
    "holders_of",
    "live_vms",
]
