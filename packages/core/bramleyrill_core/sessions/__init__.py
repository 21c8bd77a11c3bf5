"""Sessions: settings, statement classes, marks and tokens for read-your-writes."""

from bramleyrill_core.sessions._classifier import Statement, classify
from bramleyrill_core.sessions._marks import check_mark, contains, note_answer, take_lost
from bramleyrill_core.sessions._messages import TokenKey, TokenKeysChanged
from bramleyrill_core.sessions._settings import apply_setting, merge_mark
from bramleyrill_core.sessions._tables import Session, SessionTables, open_session
from bramleyrill_core.sessions._tokens import issue_token, read_token, token_of

__all__ = [
    "Session",
    "SessionTables",
    "Statement",
    "TokenKey",
    "TokenKeysChanged",
    "apply_setting",
    "check_mark",
    "classify",
    "contains",
    "issue_token",
    "merge_mark",
    "note_answer",
    "open_session",
    "read_token",
    "take_lost",
    "token_of",
]
