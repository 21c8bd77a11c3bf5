"""The interface between the entry side and the holder side, local or over a peer connection.

The entry side opens one exchange for a request, or for a transaction. Per request it calls `send`
once or more, then `receive` until that returns an Outcome. After an Outcome with `tx_status`
b"I" or with a problem the exchange carries no further request and is closed.
"""

from datetime import timedelta
from typing import Protocol

from attrs import define, field
from bramleyrill_base import Problem
from bramleyrill_core import DatabaseId, Mark, MemberId, Rank, StatementClass, TermStart, VmId

NO_TIME = timedelta()


# Request, Chunk and Outcome are made for every statement. They are not changed once they are made;
# `frozen` would double the time that making one takes.
@define(eq=False)
class Request:
    """What the holder needs to know of a request besides its frames.

    `id` is unique at the entry VM. `deadline_left` is the time that the request may still wait.
    `may_commit` says that the request can end a transaction that wrote, so its acknowledgement
    needs a permit; in a transaction it is set per request by `Transaction.send`. `alters_session`
    says that the connection must be reset before another session uses it.
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
    """Frames of an answer, to be forwarded at once; they may end in the middle of a frame."""

    frames: bytes = field(repr=False)


@define(eq=False)
class Outcome:
    """The end of the answer to one request.

    Without `problem`, `tail` holds what of the answer was not in a chunk: at least its
    ReadyForQuery, and from the last CommandComplete on if the request may commit. A short answer
    may be in `tail` as a whole. An SQL error is part of the answer and no problem.

    With `problem`, the holder gives up the request and the exchange; the entry side sends the
    error. Its kind is NOT_RUN_* only if that is proved.

    `tx_status` is the status byte of ReadyForQuery. `mark` is the member's (term, position) after
    the request, `history` its term history, and `at_primary` whether the member was primary;
    they are set for requests that may commit and for reads at the primary, when known.
    `permit_age` is the holder's time of receipt of the request minus the time of the probe that
    its permit rests on (may be negative), and `permit_length` the length of the permit; zero
    length is no permit. `redirect` names the VM to ask instead, of a request that did not run;
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
    """One request, or the requests of one transaction, at one upstream connection."""

    def send(self, frames: bytes, may_commit: bool = True, more: bool = False) -> None:
        """Send whole frames of a request; block while the holder takes no more.

        `more` says that the request is not complete: its Sync follows in a later `send`. Such
        frames end with a Flush; nothing of the answer to them is held back, since the entry side
        reads it before it sends the rest, and `receive` gives only chunks for it. `may_commit`
        of the last `send` decides what is held. Failures show in `receive`.
        """

    def receive(self) -> Chunk | Outcome:
        """Return the next part of the answer; block until there is one.

        An unread answer is bounded: the holder stops reading from the upstream.
        """

    def cancel(self) -> None:
        """Ask the upstream to cancel what runs; the answer still comes through `receive`."""

    def close(self) -> None:
        """Give the connection up; an open transaction is rolled back.

        May be called at any time and more than once, also while another greenlet waits in
        `receive`, which then raises `TransactionClosed`.
        """


class TransactionClosed(Exception):  # noqa: N818 (the suffix would call an orderly end an error)
    """The exchange was closed while its answer was awaited."""


class Executor(Protocol):
    """Open exchanges with the holder that a route names."""

    def open(self, route: object, request: Request) -> Transaction:
        """Return an exchange for `request` at `route` without waiting for a connection.

        `route` is a `bramleyrill_core.routing.Route`. Admission, queueing and refusal show in the
        first `receive`.
        """
