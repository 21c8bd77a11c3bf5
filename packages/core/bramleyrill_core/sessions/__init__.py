"""Sessions of callers: settings, statement classes, and marks and tokens for read-your-writes."""

from bramleyrill_core.sessions._classifier import ClassifiedStatement, classify
from bramleyrill_core.sessions._marks import (
    check_mark,
    log_contains,
    pop_lost_entry,
    record_primary_answer,
)
from bramleyrill_core.sessions._messages import TokenKey, TokenKeysChanged
from bramleyrill_core.sessions._settings import apply_setting, merge_mark
from bramleyrill_core.sessions._tables import Session, SessionTables, open_session
from bramleyrill_core.sessions._tokens import issue_token, session_token, verify_token

__all__ = [
    "ClassifiedStatement",
    "Session",
    "SessionTables",
    "TokenKey",
    "TokenKeysChanged",
    "apply_setting",
    "check_mark",
    "classify",
    "issue_token",
    "log_contains",
    "merge_mark",
    "open_session",
    "pop_lost_entry",
    "record_primary_answer",
    "session_token",
    "verify_token",
]
