"""Callers' statements and sessions, independent of the protocol that carries them."""

from bramleyrill_core.statements._memory import (
    FREE_SESSION_BYTES,
    SessionFullError,
    SessionMemory,
    entry_bytes,
)
from bramleyrill_core.statements._session import (
    MAX_CONNECTION_BYTES,
    MAX_PREPARED,
    MAX_VALUES,
    ConnectionState,
    StatementSession,
)
from bramleyrill_core.statements._values import (
    NOT_RUN_CODES,
    Answer,
    AnswerCode,
    Prepared,
    Statement,
    StatementKind,
    TransactionState,
)

__all__ = [
    "FREE_SESSION_BYTES",
    "MAX_CONNECTION_BYTES",
    "MAX_PREPARED",
    "MAX_VALUES",
    "NOT_RUN_CODES",
    "Answer",
    "AnswerCode",
    "ConnectionState",
    "Prepared",
    "SessionFullError",
    "SessionMemory",
    "Statement",
    "StatementKind",
    "StatementSession",
    "TransactionState",
    "entry_bytes",
]
