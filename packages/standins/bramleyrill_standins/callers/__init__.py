"""Callers that record their requests and answers, and a checker of these histories."""

from bramleyrill_standins.callers._caller import (
    Caller,
    Endpoint,
    Login,
    connect,
    create_ledger,
    is_not_run,
    read_ledger,
)
from bramleyrill_standins.callers._checker import Violation, check
from bramleyrill_standins.callers._history import History, LossNotice, Outcome, Read, Write
from bramleyrill_standins.callers._load import Load

__all__ = [
    "Caller",
    "Endpoint",
    "Violation",
    "History",
    "Load",
    "Login",
    "Outcome",
    "Read",
    "LossNotice",
    "Write",
    "check",
    "connect",
    "is_not_run",
    "create_ledger",
    "read_ledger",
]
