"""Planned stop of a VM, and the check of whether a leaving member takes new work."""

from bramleyrill_core.drain._drain import DrainTables, is_draining
from bramleyrill_core.drain._messages import (
    CloseSession,
    EndIdleTransactions,
    Exit,
    ReleaseHolders,
    RequestsInFlight,
    SessionIdle,
    StopAccepting,
    StopRequested,
)
from bramleyrill_core.pools._leaving import accepts_new_work

__all__ = [
    "CloseSession",
    "DrainTables",
    "EndIdleTransactions",
    "Exit",
    "ReleaseHolders",
    "RequestsInFlight",
    "SessionIdle",
    "StopAccepting",
    "StopRequested",
    "is_draining",
    "accepts_new_work",
]
