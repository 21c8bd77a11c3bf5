"""The interface between the entry side and the holder side, local or over a peer connection."""

from datetime import timedelta
from enum import IntEnum

from attrs import define, field
from bramleyrill_core import Mark, Rank
from bramleyrill_core.statements import Answer, Statement

NO_TIME = timedelta()
# Exchange number of a statement that is no part of a transaction.
SINGLE = 0


class Opens(IntEnum):
    """Whether a run begins a transaction at the member."""

    NOTHING = 0
    READ_WRITE = 1
    READ_ONLY = 2


class RunProblem(IntEnum):
    """Why a member gave no answer; all but the last two mean that nothing was sent to it.

    OVERLOADED: the holder's queue is too long. NOT_PRIMARY: the member does not lead.
    NO_PROOF: no log position is known that is young enough. UNREACHABLE: no connection.
    NO_EXCHANGE: the transaction is not open here any more. STOPPING: the holder is leaving.
    LOST: the connection ended or went silent. TIMED_OUT: the statement took too long.
    """

    OVERLOADED = 1
    NOT_PRIMARY = 2
    NO_PROOF = 3
    UNREACHABLE = 4
    NO_EXCHANGE = 5
    STOPPING = 6
    LOST = 7
    TIMED_OUT = 8

    @property
    def not_run(self) -> bool:
        """Tell whether the statement certainly did not run."""
        return self < RunProblem.LOST


@define(eq=False)
class RunRequest:
    """A statement for a member.

    `exchange` is SINGLE or the number of a transaction, unique at the entry VM. With `fence` the
    member must prove that it leads; otherwise `mark` and `max_staleness` bound what the read may
    miss. `on_time_left` and `patience_left` are how long the statement may wait and still be on
    time, or be of use; `timeout` bounds its run. `values` are the session's.
    """

    statement: Statement
    service: str
    member: str
    rank: Rank
    timeout: timedelta
    on_time_left: timedelta
    patience_left: timedelta
    exchange: int = SINGLE
    opens: Opens = Opens.NOTHING
    fence: bool = True
    mark: Mark | None = None
    max_staleness: timedelta = NO_TIME
    values: dict[str, str] = field(factory=dict, repr=False)


@define(eq=False)
class RunResult:
    """The member's answer, or the problem for which there is none.

    `waited` is the time in the holder's queue, or what it would have been. `exchange_open` tells
    whether the transaction goes on at the holder.
    """

    answer: Answer | None = None
    problem: RunProblem | None = None
    waited: timedelta = NO_TIME
    retry_after: timedelta = NO_TIME
    exchange_open: bool = False
