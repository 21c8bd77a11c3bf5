"""Permits: leases that limit how long a primary of a term may be trusted after its last check."""

from bramleyrill_core.permits._evidence import LeadEvidence, StatusReport
from bramleyrill_core.permits._permit import (
    EXPIRY_MARGIN,
    LONGEST_PERMIT,
    MAX_DRIFT,
    WAIT_MARGIN,
    Permit,
    TimedStatus,
    entry_expiry,
    permit_start,
    wait_after_fence,
)

__all__ = [
    "EXPIRY_MARGIN",
    "LONGEST_PERMIT",
    "MAX_DRIFT",
    "WAIT_MARGIN",
    "LeadEvidence",
    "Permit",
    "StatusReport",
    "TimedStatus",
    "entry_expiry",
    "permit_start",
    "wait_after_fence",
]
