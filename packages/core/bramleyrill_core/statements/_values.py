"""Statements of a caller, whatever protocol carried them, and what a member answered."""

from enum import Enum, auto

from attrs import define, field, frozen

from bramleyrill_core._values import Mark


class StatementKind(Enum):
    """What a statement does; the protocol's codec decides it from the text."""

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
    """Transaction state that each answer reports to the caller."""

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

    `id` is the caller's id of it and `text` the text as it was sent. `name` is the setting of a
    SET and the prepared name of PREPARE, EXECUTE and DEALLOCATE; `argument` is the value of a
    SET and all that follows the name of an EXECUTE. `prepared` is set for PREPARE by the codec
    and for EXECUTE by the session.
    """

    kind: StatementKind
    id: str
    text: str = field(repr=False, default="")
    name: str = ""
    argument: str = field(repr=False, default="")
    prepared: Prepared | None = None

    @property
    def writes(self) -> bool:
        """Tell whether the statement changes data."""
        if self.kind is StatementKind.EXECUTE:
            return self.prepared is None or self.prepared.writes
        return self.kind is StatementKind.WRITE


class AnswerCode(Enum):
    """How a statement ended at a member or in this system; the codec has a word for each.

    The first group promises that nothing of the statement took effect. The second promises
    nothing. The third is about the statement itself, which did not run.
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

    `rows` are the row payloads as the member sent them, `signature` its completion text. `state`
    and `mark` are those that the member reported behind the statement; `mark` is None where this
    system answered itself.
    """

    code: AnswerCode = AnswerCode.SUCCESS
    rows: list[str] = field(factory=list, repr=False)
    signature: str = "-"
    text: str = ""
    state: TransactionState = TransactionState.IDLE
    mark: Mark | None = None

    @property
    def succeeded(self) -> bool:
        """Tell whether the statement succeeded."""
        return self.code is AnswerCode.SUCCESS

    @property
    def not_run(self) -> bool:
        """Tell whether the code promises that the statement did not run."""
        return self.code in NOT_RUN_CODES
