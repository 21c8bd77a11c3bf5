"""Limits: a team's rate limit, kept over all VMs at once by lending fractions of it to hubs."""

from bramleyrill_core.limits._hub import Hub
from bramleyrill_core.limits._messages import Grant, Report, TeamGrant, TeamReport, VmKey
from bramleyrill_core.limits._node import QuotaNode
from bramleyrill_core.limits._terms import (
    GRANT_LIFETIME,
    LEND_LIFETIME,
    LOCK,
    REPORT_INTERVAL,
    QuotaTerms,
    TeamLimit,
    team_limits,
)
from bramleyrill_core.limits._vm_count import VmCount

__all__ = [
    "GRANT_LIFETIME",
    "LEND_LIFETIME",
    "LOCK",
    "REPORT_INTERVAL",
    "Grant",
    "Hub",
    "QuotaNode",
    "QuotaTerms",
    "Report",
    "TeamGrant",
    "TeamLimit",
    "TeamReport",
    "VmCount",
    "VmKey",
    "team_limits",
]
