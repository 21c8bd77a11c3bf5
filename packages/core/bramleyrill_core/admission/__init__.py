"""Service by rank: who gets a slot, who waits, who is refused at once."""

from bramleyrill_core.admission._policies import policy_for_member, policy_for_vm
from bramleyrill_core.admission._queue import AdmissionQueue
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
    "Queued",
    "Refused",
    "Request",
    "Started",
    "WorkClass",
    "policy_for_member",
    "policy_for_vm",
]
