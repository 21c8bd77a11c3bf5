"""The interface between the entry side and the holder side, local or over a peer connection.

The entry side opens one Transaction for a single request, or for a transaction block. For each
request it calls `send` once or more, then `receive` until that returns an Outcome. After an Outcome
with `tx_status` b"I" or with a problem, the Transaction accepts no further request and is closed.
"""

from datetime import timedelta
from typing import Protocol

from attrs import define, field
from bramleyrill_base import Problem
from bramleyrill_core import DatabaseId, Mark, MemberId, Rank, StatementClass, TermStart, VmId

NO_TIME = timedelta()


# Request, Chunk and Outcome are created for every statement. Treat them as immutable; `frozen`
# would double the time to create one.
@define(eq=False)
class Request:
    """Properties of a request that the holder needs besides its frames.

    `id` is unique at the entry VM. `deadline_left` is the time that the request may still wait.
    `may_commit` says that the request can commit writes, so its acknowledgement needs a permit;
    in a transaction block the argument of `Transaction.send` says that for each request.
    `alters_session` says that the connection must be reset before another session uses it.
    """

    id: int
    fleet: str
    service: str
    database: DatabaseId
    rank: Rank
    kind: StatementClass
    deadline_left: timedelta
    repeatable: bool = False
    may_commit: bool = True
    alters_session: bool = True


@define(eq=False)
class Chunk:
    """Part of an answer, to be forwarded at once; it may end in the middle of a frame."""

    frames: bytes = field(repr=False)


@define(eq=False)
class Outcome:
    """The end of the answer to one request.

    Without `problem`, `tail` holds the part of the answer that was not in a chunk: at least its
    ReadyForQuery, and if the request may commit, all from the first CommandComplete on, unless that
    is too long for the AnswerScanner to hold. A short answer may be in `tail` as a whole. An SQL
    error is part of the answer, not a `problem`.

    With `problem`, the holder has ended the request and the transaction; the entry side sends the
    error to the caller. Its kind is NOT_RUN_* only if it is proved that the request did not run.

    `tx_status` is the status byte of ReadyForQuery. `mark` is the member's (term, position) after
    the request, `history` its term history, and `at_primary` whether the member was primary;
    they are set for requests that may commit and for reads at the primary, when known.
    `permit_age` is the time at which the holder received the request, minus the time of the probe
    that the permit is based on (may be negative). `permit_length` is the length of the permit,
    zero without one. `redirect` is the VM to ask instead if the request did not run;
    `redirect_member` is the primary that it holds, when known: one VM may hold several members.
    """

    problem: Problem | None = None
    tail: bytes = field(default=b"", repr=False)
    tx_status: bytes = b"I"
    mark: Mark | None = None
    history: tuple[TermStart, ...] = ()
    at_primary: bool = False
    permit_age: timedelta = NO_TIME
    permit_length: timedelta = NO_TIME
    redirect: VmId | None = None
    redirect_member: MemberId | None = None


class Transaction(Protocol):
    """One transaction at one upstream connection: a single request or a transaction block."""

    def send(self, frames: bytes, may_commit: bool = True, more: bool = False) -> None:
        """Send whole frames of a request; block while the holder accepts no more data.

        `more` says that the request is not complete: its Sync follows in a later `send`. Such
        frames end with a Flush. The answer to them is not held back, since the entry side reads
        it before it sends the rest; `receive` returns it in chunks only. `may_commit` of the last
        `send` decides whether the end of the answer is held back. Failures are reported by
        `receive`.
        """

    def receive(self) -> Chunk | Outcome:
        """Return the next part of the answer; block until there is one.

        The buffered part of the answer is bounded: the holder stops reading from the upstream.
        """

    def cancel(self) -> None:
        """Ask the upstream to cancel the running statement; `receive` still returns its answer."""

    def close(self) -> None:
        """Release the connection; an open transaction is rolled back.

        May be called at any time and more than once. If another greenlet waits in `receive`,
        `receive` raises `TransactionClosed` there.
        """


class TransactionClosed(Exception):  # noqa: N818 (the suffix would call an orderly end an error)
    """The transaction was closed while a greenlet waited for its answer."""


class Executor(Protocol):
    """Open transactions at the holder that a route names."""

    def open(self, route: object, request: Request) -> Transaction:
        """Return a transaction for `request` at `route` without waiting for a connection.

        `route` is a `bramleyrill_core.routing.Route`. A refusal is returned by the first
        `receive`.
        """
