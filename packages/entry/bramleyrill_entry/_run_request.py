"""Requests and results between the router and a member's holder, local or on another VM."""

from datetime import timedelta
from enum import IntEnum

from attrs import define, field
from bramleyrill_core import Mark, Rank
from bramleyrill_core.statements import Answer, Statement

NO_TIME = timedelta()
# Transaction id of a statement outside a transaction.
NO_TRANSACTION = 0


class Opens(IntEnum):
    """Whether a request begins a transaction at the member, and of which kind."""

    NOTHING = 0
    READ_WRITE = 1
    READ_ONLY = 2


class RunProblem(IntEnum):
    """Why a member gave no answer; all but LOST and TIMED_OUT mean that the statement did not run.

    OVERLOADED: the holder's queue is too long. NOT_PRIMARY: the member is not the primary.
    NO_PROOF: no recent enough log position of the primary is known. UNREACHABLE: the member or
    its holder cannot be reached. NO_EXCHANGE: the transaction is no longer open at the holder.
    STOPPING: the holder is shutting down, or the member leaves. LOST: the connection closed or was
    silent before the answer. TIMED_OUT: the statement took too long. NO_PERMIT: the holder cannot
    be certain that the member still leads. NO_PRIMARY: the primary failed, and no member is known
    to have all of its acknowledged commits.
    """

    OVERLOADED = 1
    NOT_PRIMARY = 2
    NO_PROOF = 3
    UNREACHABLE = 4
    NO_EXCHANGE = 5
    STOPPING = 6
    LOST = 7
    TIMED_OUT = 8
    NO_PERMIT = 9
    NO_PRIMARY = 10

    @property
    def not_run(self) -> bool:
        """Return whether the statement certainly did not run."""
        return self not in (RunProblem.LOST, RunProblem.TIMED_OUT)


@define(eq=False)
class RunRequest:
    """A statement for a member.

    `transaction_id` is NO_TRANSACTION or unique at the entry VM. With `fence` the member must
    prove that it is the primary; otherwise the read may lack commits that are not covered by
    `mark` and are younger than `max_staleness`. `on_time_left` is how long the statement can
    wait and still meet its latency target; it is refused after a wait of `max_wait`. `timeout`
    limits its run at the member. `values` are the session values to set on the connection, which
    must be one of the team `team`; it is empty if the work belongs to no team.
    """

    statement: Statement
    service: str
    member: str
    rank: Rank
    timeout: timedelta
    on_time_left: timedelta
    max_wait: timedelta
    transaction_id: int = NO_TRANSACTION
    opens: Opens = Opens.NOTHING
    fence: bool = True
    mark: Mark | None = None
    max_staleness: timedelta = NO_TIME
    values: dict[str, str] = field(factory=dict, repr=False)
    team: str = ""


@define(eq=False)
class RunResult:
    """The member's answer, or the problem that prevented one.

    `waited` is the time in the holder's queue; if the statement was refused for overload, it is
    at least the expected time. `retry_after` is the delay to suggest to the caller after such a
    refusal. `transaction_open` is whether the transaction is still open at the holder. `load` is
    the packed stamp of the member's load, None if it is light or the holder tells none.
    """

    answer: Answer | None = None
    problem: RunProblem | None = None
    waited: timedelta = NO_TIME
    retry_after: timedelta = NO_TIME
    transaction_open: bool = False
    load: int | None = None
