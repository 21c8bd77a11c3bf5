"""Admission control by rank: which request gets a slot, which waits and which is refused."""

from bramleyrill_base import lazy_attributes

from bramleyrill_core.admission._queue import AdmissionQueue
from bramleyrill_core.admission._resting import RestingTransaction, resting_to_end
from bramleyrill_core.admission._stages import MemberAdmission, max_start_delay
from bramleyrill_core.admission._team_weights import TeamWeights
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
    "RestingTransaction",
    "Started",
    "TeamWeights",
    "WorkClass",
    "policy_for_member",
    "policy_for_vm",
    "resting_to_end",
    "simulate_flood",
    "max_start_delay",
    "format_flood_results",
]

# Policies are derived from the text, and floods are simulated by commands and tests only.
__getattr__ = lazy_attributes(
    globals(),
    {
        "FloodPlan": "bramleyrill_core.admission._simulation",
        "FloodResult": "bramleyrill_core.admission._simulation",
        "RankResult": "bramleyrill_core.admission._simulation",
        "format_flood_results": "bramleyrill_core.admission._simulation",
        "policy_for_member": "bramleyrill_core.admission._policies",
        "policy_for_vm": "bramleyrill_core.admission._policies",
        "simulate_flood": "bramleyrill_core.admission._simulation",
    },
)
