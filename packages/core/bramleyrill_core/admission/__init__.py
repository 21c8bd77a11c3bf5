"""Admission control by rank: which request gets a slot, which waits and which is refused."""

from bramleyrill_core.admission._policies import policy_for_member, policy_for_vm
from bramleyrill_core.admission._queue import AdmissionQueue
from bramleyrill_core.admission._simulation import (
    FloodPlan,
    FloodResult,
    RankResult,
    format_flood_results,
    simulate_flood,
)
from bramleyrill_core.admission._stages import MemberAdmission, max_start_delay
from bramleyrill_core.admission._values import (
    AdmissionPolicy,
    ClassPolicy,
    Queued,
    Refused,
    Request,
    Started,
    WorkClass,
)

__all__ = [
    "AdmissionPolicy",
    "AdmissionQueue",
    "ClassPolicy",
    "FloodPlan",
    "FloodResult",
    "MemberAdmission",
    "RankResult",
    "Queued",
    "Refused",
    "Request",
    "Started",
    "WorkClass",
    "policy_for_member",
    "policy_for_vm",
    "simulate_flood",
    "max_start_delay",
    "format_flood_results",
]
