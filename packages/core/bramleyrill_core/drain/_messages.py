"""Messages and effects of a planned stop."""

from attrs import frozen

from bramleyrill_core._messages import Effect, Message


@frozen
class StopRequested(Message):
    """The process got SIGTERM."""


@frozen
class SessionIdle(Message):
    """A session is between transactions; sent for all such sessions when a stop begins."""

    id: int


@frozen
class RequestsInFlight(Message):
    """Requests in flight and sessions open at this VM; sent at each change during a stop."""

    count: int
    sessions: int = 0


@frozen
class StopAccepting(Effect):
    """Close the listening sockets for callers."""


@frozen
class CloseSession(Effect):
    """Close the session with 57P01 if it is still between transactions.

    If it began one meanwhile, `SessionIdle` follows at its end.
    """

    id: int


@frozen
class EndIdleTransactions(Effect):
    """End the sessions that are in a transaction but have no request in flight, with 57P01."""


@frozen
class ReleaseHolders(Effect):
    """Take no new requests of peers as holder; the pools close as work ends."""


@frozen
class Exit(Effect):
    """End the process with code 0: nothing is in flight."""
