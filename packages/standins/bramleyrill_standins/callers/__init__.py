"""Callers that record what they did and were told, and a checker of their histories."""

from bramleyrill_standins.callers._caller import (
    Caller,
    Endpoint,
    Login,
    connect,
    is_not_run,
    make_ledger,
    read_ledger,
)
from bramleyrill_standins.callers._checker import Fault, check
from bramleyrill_standins.callers._history import History, Outcome, Read, ToldLost, Write
from bramleyrill_standins.callers._load import Load

__all__ = [
    "Caller",
    "Endpoint",
    "Fault",
    "History",
    "Load",
    "Login",
    "Outcome",
    "Read",
    "ToldLost",
    "Write",
    "check",
    "connect",
    "is_not_run",
    "make_ledger",
    "read_ledger",
]
