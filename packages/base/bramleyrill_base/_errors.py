"""All error kinds that callers can receive, with the SQLSTATE and message of each."""

from datetime import timedelta
from enum import Enum, auto

from attrs import frozen


class ErrorKind(Enum):
    """Every kind of error that can be reported to a caller."""

    NOT_RUN_OVERLOADED = auto()
    NOT_RUN_NO_PRIMARY = auto()
    NOT_RUN_DRAINING = auto()
    NOT_RUN_DEADLINE = auto()
    NOT_RUN_UNREACHABLE = auto()
    NOT_RUN_ROLLED_BACK = auto()
    OUTCOME_UNKNOWN = auto()
    TOO_STALE = auto()
    LOST_ENTRY = auto()
    NOT_SUPPORTED = auto()
    BAD_CREDENTIALS = auto()
    BAD_IDENTITY = auto()
    UNKNOWN_DATABASE = auto()
    BAD_SETTING = auto()
    PROTOCOL_VIOLATION = auto()
    FRAME_TOO_LARGE = auto()
    READ_ONLY_CALLER = auto()
    SHUTTING_DOWN = auto()
    CANCELED = auto()
    INTERNAL = auto()


class Retry(Enum):
    """What a caller should do after an error."""

    AFTER_HINT = "retry after the hinted delay"
    AT_ONCE = "retry at once"
    ELSEWHERE = "reconnect and retry at once"
    AFTER_CHECK = "check whether it took effect before repeating it"
    FRESH_OR_OLDER = "read with age 0, or accept a larger age"
    NO = "do not retry"


@frozen
class Answer:
    """SQLSTATE, message and retry advice for an error kind."""

    sqlstate: str
    message: str
    retry: Retry


@frozen
class Problem:
    """An error to report to a caller: kind, detail and an optional delay before a retry."""

    kind: ErrorKind
    detail: str = ""
    retry_after: timedelta | None = None


# Classes NR, TS and LE are our own: the SQL standard reserves SQLSTATE classes that start with
# a letter from I to Z for implementations.
ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.NOT_RUN_OVERLOADED: Answer("NR001", "not run: overloaded", Retry.AFTER_HINT),
    ErrorKind.NOT_RUN_NO_PRIMARY: Answer("NR002", "not run: no primary", Retry.AFTER_HINT),
    ErrorKind.NOT_RUN_DRAINING: Answer("NR003", "not run: shutting down", Retry.ELSEWHERE),
    ErrorKind.NOT_RUN_DEADLINE: Answer("NR004", "not run: deadline passed", Retry.AFTER_HINT),
    ErrorKind.NOT_RUN_UNREACHABLE: Answer(
        "NR005", "not run: upstream cannot be reached", Retry.AFTER_HINT
    ),
    ErrorKind.NOT_RUN_ROLLED_BACK: Answer("40001", "not run: rolled back", Retry.AT_ONCE),
    ErrorKind.OUTCOME_UNKNOWN: Answer("08007", "outcome unknown", Retry.AFTER_CHECK),
    ErrorKind.TOO_STALE: Answer(
        "TS001", "not run: no replica is fresh enough", Retry.FRESH_OR_OLDER
    ),
    ErrorKind.LOST_ENTRY: Answer(
        "LE001", "an earlier write was lost in a change of primary", Retry.AFTER_CHECK
    ),
    ErrorKind.NOT_SUPPORTED: Answer("0A000", "not supported through the proxy", Retry.NO),
    ErrorKind.BAD_CREDENTIALS: Answer("28P01", "password authentication failed", Retry.NO),
    ErrorKind.BAD_IDENTITY: Answer("28000", "user name is not accepted", Retry.NO),
    ErrorKind.UNKNOWN_DATABASE: Answer("3D000", "database does not exist", Retry.NO),
    ErrorKind.BAD_SETTING: Answer("22023", "invalid value for a setting", Retry.NO),
    ErrorKind.PROTOCOL_VIOLATION: Answer("08P01", "protocol violation", Retry.NO),
    ErrorKind.FRAME_TOO_LARGE: Answer("54000", "message too large", Retry.NO),
    ErrorKind.READ_ONLY_CALLER: Answer("25006", "this user may not write", Retry.NO),
    ErrorKind.SHUTTING_DOWN: Answer("57P01", "the proxy is shutting down", Retry.ELSEWHERE),
    ErrorKind.CANCELED: Answer("57014", "canceled at the caller's request", Retry.NO),
    ErrorKind.INTERNAL: Answer("XX000", "internal error", Retry.NO),
}

_NOT_RUN_KINDS = frozenset(
    kind for kind in ErrorKind if kind.name.startswith("NOT_RUN_") or kind is ErrorKind.TOO_STALE
)


def answer_for(problem: Problem) -> Answer:
    """Return the SQLSTATE, message and retry advice for the problem's kind."""
    return ANSWERS[problem.kind]


def is_not_run(kind: ErrorKind) -> bool:
    """Return whether `kind` guarantees that the request did not run."""
    return kind in _NOT_RUN_KINDS
