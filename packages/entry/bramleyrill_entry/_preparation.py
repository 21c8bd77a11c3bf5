"""Set up a pooled connection for a caller's statement."""

from datetime import timedelta
from typing import Any

from bramleyrill_base import log_event
from bramleyrill_core import Mark
from bramleyrill_core.statements import Answer, Prepared
from bramleyrill_platform import lines

from bramleyrill_entry._pool import CONTROL_TIMEOUT, LEASE_TIMEOUT, UpstreamPool
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError


class NotSentError(Exception):
    """The connection failed before the caller's statement was sent; it is safe to try another."""


class Preparation:
    """Bring a connection of a pool into the session state that a statement needs.

    All methods raise NotSentError if that fails; the connection is closed then.
    """

    def __init__(self, pool: UpstreamPool) -> None:
        self._pool = pool

    def lease(
        self,
        values: dict[str, str],
        prepared: Prepared | None,
        team: str = "",
        patience: timedelta = timedelta(),
    ) -> UpstreamConnection:
        """Return a connection of a team with the session's values and the prepared statement.

        Raises UpstreamError if there is no connection in time.
        """
        connection = self._pool.lease(
            LEASE_TIMEOUT, lambda state: state.preparation_cost(values, prepared), team, patience
        )
        self.set_up(connection, values, prepared)
        return connection

    def set_up(
        self, connection: UpstreamConnection, values: dict[str, str], prepared: Prepared | None
    ) -> None:
        """Set the session's values, reset those of other sessions, and prepare the statement."""
        state = connection.state
        texts = []
        if state.needs_reset(values) or (state.is_full and not connection.in_transaction):
            texts.append(lines.RESET_TEXT)
            state.reset()
        texts += [lines.set_text(name, value) for name, value in state.missing_values(values)]
        if prepared is not None and prepared not in state.name_by_prepared:
            texts.append(lines.prepare_text(state.add_prepared(prepared), prepared))
        state.values.update(values)
        if texts:
            self._execute_all(connection, texts)

    def begin(
        self, connection: UpstreamConnection, min_mark: Mark | None, read_only: bool
    ) -> Answer:
        """Begin a transaction and return the member's answer, which may be a refusal."""
        text = lines.BEGIN_READ_ONLY_TEXT if read_only else lines.BEGIN_TEXT
        answer = self._execute(connection, text, min_mark)
        if answer.succeeded:
            connection.in_transaction = True
        return answer

    def _execute(
        self, connection: UpstreamConnection, text: str, min_mark: Mark | None = None
    ) -> Answer:
        try:
            return connection.execute(lines.INTERNAL_STATEMENT_ID, text, CONTROL_TIMEOUT, min_mark)
        except UpstreamError as error:
            raise self._discard(connection, error) from error

    def _execute_all(self, connection: UpstreamConnection, texts: list[str]) -> None:
        """Run all statements in one round trip.

        All must succeed, because the connection's state was already updated as if they had.
        """
        try:
            answers = connection.execute_pipelined(texts, CONTROL_TIMEOUT)
        except UpstreamError as error:
            raise self._discard(connection, error) from error
        for answer in answers:
            if not answer.succeeded:
                raise self._discard(connection, answer.code.name.lower())

    def _discard(self, connection: UpstreamConnection, reason: Any) -> NotSentError:
        log_event("upstream_control_failed", member=connection.member.id, reason=reason)
        self._pool.discard(connection)
        return NotSentError(str(reason))
