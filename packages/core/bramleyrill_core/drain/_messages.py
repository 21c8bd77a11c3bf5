"""Messages and effects of a planned stop."""

from attrs import frozen

from bramleyrill_core._messages import Effect, Message


@frozen
class StopRequested(Message):
    """The process received SIGTERM."""


@frozen
class SessionIdle(Message):
    """A session is between transactions; sent for every such session when a stop begins."""

    id: int


@frozen
class RequestsInFlight(Message):
    """Numbers of requests in flight and open sessions of this VM; sent on each change in a stop."""

    count: int
    sessions: int = 0


@frozen
class StopAccepting(Effect):
    """Close the listening sockets for callers."""


@frozen
class CloseSession(Effect):
    """Close the session with 57P01 if it is still between transactions.

    If it has begun a transaction in the meantime, `SessionIdle` is sent again when that ends.
    """

    id: int


@frozen
class EndIdleTransactions(Effect):
    """Close with 57P01 the sessions that are in a transaction without a request in flight."""


@frozen
class ReleaseHolders(Effect):
    """Accept no new requests of peers as holder; the pools close as their work ends."""


@frozen
class Exit(Effect):
    """End the process with code 0: nothing is in flight."""
