"""Placement: the VM that holds a member's connections, and the member that serves a read."""

from bramleyrill_core.placement._capacity import (
    UNKNOWN_CAPACITY,
    OwnCapacity,
    accepted_capacity,
    capacity_of,
)
from bramleyrill_core.placement._holders import holder_candidates
from bramleyrill_core.placement._lengths import TransactionLengths
from bramleyrill_core.placement._load import LoadSource, MemberLoad, StampFault
from bramleyrill_core.placement._meter import LoadMeter
from bramleyrill_core.placement._news import VmNews, is_news
from bramleyrill_core.placement._policies import read_policies
from bramleyrill_core.placement._reads import (
    DEFAULT_READ_POLICY,
    LAST_WAIT_POLICY,
    Placed,
    ReadPlacement,
    Standing,
)
from bramleyrill_core.placement._repeats import RepeatBudget
from bramleyrill_core.placement._shares import order_by_shares
from bramleyrill_core.placement._slow_vms import (
    MAX_SLOW_MS,
    may_be_marked,
    may_leave_rotation,
    slow_vms,
)
from bramleyrill_core.placement._stamp import LoadStamp, unpack_stamp
from bramleyrill_core.placement._store_contact import CHECK_INTERVAL, StoreContact
from bramleyrill_core.placement._vms import MAX_SEQUENCE, VmEntry, VmRow, VmTable
from bramleyrill_core.placement._watchers import domain_watchers, watches_platform

__all__ = [
    "CHECK_INTERVAL",
    "StoreContact",
    "domain_watchers",
    "DEFAULT_READ_POLICY",
    "LAST_WAIT_POLICY",
    "MAX_SEQUENCE",
    "MAX_SLOW_MS",
    "UNKNOWN_CAPACITY",
    "LoadMeter",
    "LoadSource",
    "LoadStamp",
    "MemberLoad",
    "OwnCapacity",
    "Placed",
    "ReadPlacement",
    "RepeatBudget",
    "Standing",
    "StampFault",
    "TransactionLengths",
    "VmEntry",
    "VmNews",
    "VmRow",
    "VmTable",
    "accepted_capacity",
    "capacity_of",
    "holder_candidates",
    "is_news",
    "may_be_marked",
    "may_leave_rotation",
    "order_by_shares",
    "read_policies",
    "slow_vms",
    "unpack_stamp",
    "watches_platform",
]
