"""Placement: the VM that holds a member's connections, and the member that serves a read."""

from bramleyrill_core.placement._capacity import (
    UNKNOWN_CAPACITY,
    OwnCapacity,
    accepted_capacity,
    capacity_of,
)
from bramleyrill_core.placement._holders import holder_candidates, watches_platform
from bramleyrill_core.placement._news import VmNews, is_news
from bramleyrill_core.placement._reads import ReadPlacement
from bramleyrill_core.placement._slow_vms import (
    MAX_SLOW_MS,
    may_be_marked,
    may_leave_rotation,
    slow_vms,
)
from bramleyrill_core.placement._vms import MAX_SEQUENCE, VmEntry, VmRow, VmTable

__all__ = [
    "MAX_SEQUENCE",
    "MAX_SLOW_MS",
    "UNKNOWN_CAPACITY",
    "OwnCapacity",
    "ReadPlacement",
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
    "slow_vms",
    "watches_platform",
]
