"""What happens on a connection before a caller's statement is sent on it."""

from bramleyrill_base import log_event
from bramleyrill_core import Mark
from bramleyrill_core.statements import Answer, Prepared
from bramleyrill_platform import lines

from bramleyrill_entry._pool import CONTROL_TIMEOUT, UpstreamPool
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError


class NotSentError(Exception):
    """The connection failed before the caller's statement was sent; another one may be tried."""


class Preparation:
    """Bring a connection of a pool into the state that a statement needs.

    Each call raises NotSentError, with the connection closed, when that fails.
    """

    def __init__(self, pool: UpstreamPool) -> None:
        self._pool = pool

    def apply_values(self, connection: UpstreamConnection, values: dict[str, str]) -> None:
        """Set the session's values; foreign ones are cleared."""
        if connection.state.needs_reset(values):
            self._require(connection, lines.RESET_TEXT)
            connection.state.reset()
        for name, value in connection.state.missing_values(values):
            self._require(connection, lines.set_text(name, value))
            connection.state.values[name] = value

    def prepare(self, connection: UpstreamConnection, prepared: Prepared | None) -> None:
        """Prepare a statement's shape unless the connection has it."""
        if prepared is None or prepared in connection.state.prepared:
            return
        self._require(connection, lines.prepare_text(prepared))
        connection.state.prepared.add(prepared)

    def begin(self, connection: UpstreamConnection, floor: Mark | None, read_only: bool) -> Answer:
        """Begin a transaction; the member may refuse it."""
        text = lines.BEGIN_READ_ONLY_TEXT if read_only else lines.BEGIN_TEXT
        answer = self._ask(connection, text, floor)
        if answer.succeeded:
            connection.in_transaction = True
        return answer

    def _ask(self, connection: UpstreamConnection, text: str, floor: Mark | None = None) -> Answer:
        try:
            return connection.ask(lines.OWN_ID, text, CONTROL_TIMEOUT, floor)
        except UpstreamError as error:
            log_event("upstream_control_failed", member=connection.member.id, reason=error)
            self._pool.discard(connection)
            raise NotSentError from error

    def _require(self, connection: UpstreamConnection, text: str) -> None:
        answer = self._ask(connection, text)
        if not answer.succeeded:
            self._pool.discard(connection)
            raise NotSentError(answer.code.name)
