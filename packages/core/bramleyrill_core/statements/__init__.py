"""Callers' statements and sessions, independent of the protocol that carries them."""

from bramleyrill_core.statements._session import (
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
    "MAX_PREPARED",
    "MAX_VALUES",
    "NOT_RUN_CODES",
    "Answer",
    "AnswerCode",
    "ConnectionState",
    "Prepared",
    "Statement",
    "StatementKind",
    "StatementSession",
    "TransactionState",
]
