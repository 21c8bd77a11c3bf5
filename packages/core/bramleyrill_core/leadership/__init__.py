"""Appointment of a service's primary: the duty to do so, failure detection, the successor."""

from bramleyrill_core.leadership._duty import (
    DUTY_LEASE,
    KIND_DUTIES,
    NO_HOLDER,
    NO_MEMBER,
    DutyRecord,
    DutyView,
    next_record,
    pending_member,
    record_with_replicas,
    renewed_record,
)
from bramleyrill_core.leadership._lead_starts import (
    LeadStart,
    has_diverged,
    starts_up_to,
    starts_with,
)
from bramleyrill_core.leadership._successor import (
    DIVERGED_LOG_WAIT,
    Candidate,
    Poll,
    choose_from,
    choose_successor,
    uncovered_losses,
)
from bramleyrill_core.leadership._suspicion import (
    REFUSED_AFTER,
    SUSPECT_AFTER,
    Evidence,
    Verdict,
    assess_primary,
)

__all__ = [
    "DIVERGED_LOG_WAIT",
    "DUTY_LEASE",
    "KIND_DUTIES",
    "NO_HOLDER",
    "NO_MEMBER",
    "REFUSED_AFTER",
    "SUSPECT_AFTER",
    "Candidate",
    "DutyRecord",
    "DutyView",
    "Evidence",
    "LeadStart",
    "Poll",
    "Verdict",
    "assess_primary",
    "choose_from",
    "choose_successor",
    "has_diverged",
    "next_record",
    "pending_member",
    "record_with_replicas",
    "renewed_record",
    "starts_up_to",
    "starts_with",
    "uncovered_losses",
]
