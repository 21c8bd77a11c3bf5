"""What happens on a connection before a caller's statement is sent on it."""

from typing import Any

from bramleyrill_base import log_event
from bramleyrill_core import Mark
from bramleyrill_core.statements import Answer, Prepared
from bramleyrill_platform import lines

from bramleyrill_entry._pool import CONTROL_TIMEOUT, LEASE_TIMEOUT, UpstreamPool
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError


class NotSentError(Exception):
    """The connection failed before the caller's statement was sent; another one may be tried."""


class Preparation:
    """Bring a connection of a pool into the state that a statement needs.

    Each call raises NotSentError, with the connection closed, when that fails.
    """

    def __init__(self, pool: UpstreamPool) -> None:
        self._pool = pool

    def lease(self, values: dict[str, str], prepared: Prepared | None) -> UpstreamConnection:
        """Return a connection with the session's values and the statement's shape.

        Raises UpstreamError if there is no connection in time.
        """
        connection = self._pool.lease(
            LEASE_TIMEOUT, lambda state: state.preparation_cost(values, prepared)
        )
        self.set_up(connection, values, prepared)
        return connection

    def set_up(
        self, connection: UpstreamConnection, values: dict[str, str], prepared: Prepared | None
    ) -> None:
        """Set the session's values, clear foreign ones, and prepare the statement's shape."""
        state = connection.state
        texts = []
        if state.needs_reset(values):
            texts.append(lines.RESET_TEXT)
            state.reset()
        texts += [lines.set_text(name, value) for name, value in state.missing_values(values)]
        if prepared is not None and prepared not in state.prepared:
            texts.append(lines.prepare_text(prepared))
            state.prepared.add(prepared)
        state.values.update(values)
        if texts:
            self._require(connection, texts)

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
            raise self._give_up(connection, error) from error

    def _require(self, connection: UpstreamConnection, texts: list[str]) -> None:
        """Send the steps together; all must succeed, as the state was noted beforehand."""
        try:
            answers = connection.ask_together(texts, CONTROL_TIMEOUT)
        except UpstreamError as error:
            raise self._give_up(connection, error) from error
        for answer in answers:
            if not answer.succeeded:
                raise self._give_up(connection, answer.code.name.lower())

    def _give_up(self, connection: UpstreamConnection, reason: Any) -> NotSentError:
        log_event("upstream_control_failed", member=connection.member.id, reason=reason)
        self._pool.discard(connection)
        return NotSentError(str(reason))
