"""Statements of callers and answers of members, independent of the protocol."""

from enum import Enum, auto

from attrs import define, field, frozen

from bramleyrill_core._values import Mark


class StatementKind(Enum):
    """Kind of a statement, which the codec of the protocol derives from the text."""

    BEGIN = auto()
    BEGIN_READ_ONLY = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    READ = auto()
    WRITE = auto()
    EXECUTE = auto()
    SET = auto()
    PREPARE = auto()
    DEALLOCATE = auto()
    MALFORMED = auto()


class TransactionState(Enum):
    """Transaction state, as each answer reports it to the caller."""

    IDLE = "I"
    OPEN = "T"
    FAILED = "E"


@frozen
class Prepared:
    """A prepared statement: whether it writes, and the shape of its text."""

    writes: bool
    shape: str


@define(eq=False)
class Statement:
    """One statement of a caller.

    `id` is the id that the caller gave it, and `text` is the text as sent. `name` is the setting
    of a SET, or the name of the prepared statement of PREPARE, EXECUTE and DEALLOCATE. `argument`
    is the value of a SET, or everything after the name of an EXECUTE. The codec sets `prepared`
    for PREPARE, the session sets it for EXECUTE.
    """

    kind: StatementKind
    id: str
    text: str = field(repr=False, default="")
    name: str = ""
    argument: str = field(repr=False, default="")
    prepared: Prepared | None = None

    @property
    def writes(self) -> bool:
        """Return whether the statement may change data."""
        if self.kind is StatementKind.EXECUTE:
            return self.prepared is None or self.prepared.writes
        return self.kind is StatementKind.WRITE


class AnswerCode(Enum):
    """How a statement ended, at a member or in the proxy; the codec has a word for each code.

    With a code of the first group after SUCCESS (from BUSY), the statement had no effect. With one
    of the second group (from FAILED), it may have had an effect. The third group (from
    UNKNOWN_DATABASE) reports an error in the statement itself, or in the key of the caller; the
    statement did not run.
    """

    SUCCESS = auto()

    BUSY = auto()
    TOO_STALE = auto()
    READ_ONLY = auto()
    WRONG_MEMBER = auto()
    TOO_MANY_CONNECTIONS = auto()
    ROLLED_BACK = auto()
    NOT_PREPARED = auto()

    FAILED = auto()
    TIMED_OUT = auto()
    OUTCOME_UNKNOWN = auto()

    UNKNOWN_DATABASE = auto()
    MALFORMED = auto()
    TOO_LARGE = auto()
    OTHER = auto()
    NOT_AUTHORIZED = auto()


NOT_RUN_CODES = frozenset(
    {
        AnswerCode.BUSY,
        AnswerCode.TOO_STALE,
        AnswerCode.READ_ONLY,
        AnswerCode.WRONG_MEMBER,
        AnswerCode.TOO_MANY_CONNECTIONS,
        AnswerCode.NOT_PREPARED,
    }
)


@define(eq=False)
class Answer:
    """Rows and completion of a statement, or the code and text of its error.

    `rows` are the row payloads as the member sent them, and `signature` is its completion text.
    `state` and `mark` are those that the member reported after the statement; `mark` is None if
    the proxy itself answered.
    """

    code: AnswerCode = AnswerCode.SUCCESS
    rows: list[str] = field(factory=list, repr=False)
    signature: str = "-"
    text: str = ""
    state: TransactionState = TransactionState.IDLE
    mark: Mark | None = None

    @property
    def succeeded(self) -> bool:
        """Return whether the statement succeeded."""
        return self.code is AnswerCode.SUCCESS

    @property
    def not_run(self) -> bool:
        """Return whether the code guarantees that the statement did not run."""
        return self.code in NOT_RUN_CODES
