"""Session of one caller over the line protocol."""

import contextlib
import select
import socket
from datetime import timedelta
from typing import Any

import gevent
from bramleyrill_base import log_event
from bramleyrill_core.catalog import DatabaseRoute
from bramleyrill_core.statements import (
    Answer,
    AnswerCode,
    SessionFullError,
    Statement,
    StatementKind,
    StatementSession,
    TransactionState,
)
from bramleyrill_core.teams import key_digest
from bramleyrill_platform import lines

from bramleyrill_entry._limits import TeamLimits
from bramleyrill_entry._memory_limits import ARRIVAL_TIMEOUT, SMALL_MESSAGE_BYTES, TURN_TIMEOUT
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._router import Router, TransactionHandle
from bramleyrill_entry._state import EntryState

OPEN_TIMEOUT = timedelta(seconds=10)
# A process that has just started waits this long for its first configuration before it refuses a
# session; callers give up on an unanswered OPEN after 2 s.
FIRST_CATALOG_TIMEOUT = timedelta(seconds=1.8)
# The session of a caller that does not read its answer for this long is closed.
SEND_TIMEOUT = timedelta(seconds=15)
# A planned stop ends a session only after it was idle for this long, or right after an answer.
QUIET_TIME = timedelta(milliseconds=300)
# A session that the proxy ended stays open for input this long, so that a request which crosses the
# end does not reset the connection.
CLOSE_LINGER = timedelta(milliseconds=300)
# Unacknowledged data ends the connection after this time.
USER_TIMEOUT_MS = 20_000
# Share of an operation's target for which it may wait for a token of its team's limit.
TOKEN_WAIT_SHARE = 0.25
_READ_BYTES = 16384
_LOCAL_KINDS = frozenset({StatementKind.SET, StatementKind.PREPARE, StatementKind.DEALLOCATE})
_END_KINDS = frozenset({StatementKind.COMMIT, StatementKind.ROLLBACK})


class CallerSession:
    """Serve one connection of a caller until it ends.

    A planned stop uses `busy` (a statement is being answered) and `in_transaction` to find the
    sessions that it can close.
    """

    def __init__(
        self,
        sock: Any,
        state: EntryState,
        router: Router,
        metrics: EntryMetrics,
        limits: TeamLimits | None = None,
    ) -> None:
        self.busy = False
        self.closing = False
        self._last_active_at = state.now()
        self._sock = sock
        self._state = state
        self._router = router
        self._metrics = metrics
        self._limits = limits
        self._buffer = lines.LineBuffer()
        self._pending_lines: list[str] = []
        # When the large message that this session has a turn for must have arrived, or None.
        self._large_message_by: timedelta | None = None
        self._session = StatementSession("", memory=state.memory.sessions)
        self._route: DatabaseRoute | None = None
        self._key_digest: str | None = None
        self._transaction: TransactionHandle | None = None
        # Why the proxy ended the open transaction; reported with the caller's next statement.
        self._abort_reason = ""
        self._key_withdrawn = False

    @property
    def in_transaction(self) -> bool:
        """Return whether the caller is in a transaction, open or failed."""
        return self._session.transaction is not TransactionState.IDLE

    def serve(self) -> None:
        """Serve the connection until it is closed."""
        try:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            if self._open_session():
                self._serve_statements()
        except (OSError, lines.LineError) as error:
            if not self.closing and self.in_transaction:
                log_event("session_lost", database=self._session.database, reason=error)
        finally:
            self._end_turn()
            self._session.release()
            self._end_transaction()
            self._sock.close()

    def close_if_idle(self) -> bool:
        """End the session and return True if nothing is in progress and it has been quiet.

        A session that was opened or answered within QUIET_TIME probably has a request on its way;
        it ends after the answer to that. The caller sees the end at once; the connection is closed
        when the caller has closed its side, has sent something, or after CLOSE_LINGER.
        """
        if self.closing:
            return True
        if self._state.now() - self._last_active_at < QUIET_TIME:
            return False
        return self._end_if_idle()

    def end_if_unauthorized(self) -> None:
        """End the session between operations if its key identifies no team any more.

        One with an operation in progress or on its way is refused when its next operation starts.
        """
        if not self._session.database or self._is_authorized():
            return
        if self.closing or self.busy or self.in_transaction or self._has_pending_input():
            return
        with contextlib.suppress(OSError):
            self._sock.settimeout(SEND_TIMEOUT.total_seconds())
            self._refuse_key()
        self._end_if_idle()

    def _has_pending_input(self) -> bool:
        return bool(self._pending_lines) or self._has_input()

    def _end_if_idle(self) -> bool:
        if self.busy or self.in_transaction or self._has_pending_input():
            return False
        self.closing = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        gevent.spawn_later(CLOSE_LINGER.total_seconds(), self._sock.close)
        return True

    def abort_transaction(self, reason: str) -> None:
        """Roll back an open transaction that has no statement in progress.

        The caller gets the reason with its next statement.
        """
        if self._session.transaction is TransactionState.OPEN and not self.busy:
            self._abort_reason = reason
            self._session.fail()
            self._end_transaction()
            log_event("transaction_ended", database=self._session.database, reason=reason)

    def _has_input(self) -> bool:
        """Return whether there is unread input, which a close would lose."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _open_session(self) -> bool:
        self._sock.settimeout(OPEN_TIMEOUT.total_seconds())
        message = lines.parse_caller_message(self._read_line())
        if not isinstance(message, lines.OpenSession):
            self._sock.sendall(lines.encode_error(AnswerCode.MALFORMED, "OPEN expected"))
            return False
        if self._state.catalog.version == 0:
            self._state.catalog_changed.wait(FIRST_CATALOG_TIMEOUT.total_seconds())
        if self._state.catalog.version == 0:
            log_event("session_refused", database=message.database, reason="no configuration yet")
            self._sock.sendall(lines.encode_error(AnswerCode.BUSY, "starting"))
            return False
        if message.database not in self._state.catalog.routes_by_database:
            log_event(
                "session_refused",
                database=message.database,
                version=self._state.catalog.version,
                reason="unknown database",
            )
            self._sock.sendall(lines.encode_error(AnswerCode.UNKNOWN_DATABASE, message.database))
            return False
        self._session.database = message.database
        self._key_digest = key_digest(message.key) if message.key else None
        if not self._is_authorized():
            self._refuse_key()
            return False
        self._sock.sendall(lines.encode_ready(TransactionState.IDLE, None))
        self._last_active_at = self._state.now()
        return True

    def _serve_statements(self) -> None:
        # Each message is served by a call of its own, so that none stays in memory while the
        # session waits for the next one.
        while self._serve_next():
            self._end_turn()

    def _serve_next(self) -> bool:
        """Serve the next message; return whether the session goes on."""
        line = self._read_statement_line()
        if self.closing:
            return False
        message = lines.parse_caller_message(line)
        if isinstance(message, lines.EndSession):
            return False
        if not isinstance(message, Statement):
            reason = getattr(message, "reason", "unexpected message")
            self._sock.sendall(lines.encode_error(AnswerCode.MALFORMED, reason))
            return False
        self._serve_statement(message)
        if self._key_withdrawn:
            return False
        self._last_active_at = self._state.now()
        if self._state.closing_sessions:
            self._end_if_idle()
        return True

    def _serve_statement(self, statement: Statement) -> None:
        self.busy = True
        self._state.requests_running += 1
        arrived_at = self._state.now()
        try:
            answer = self._answer(statement)
            answer.state = self._session.transaction
            self._sock.settimeout(SEND_TIMEOUT.total_seconds())
            self._sock.sendall(lines.encode_answer(answer))
        finally:
            self._state.requests_running -= 1
            self.busy = False
        self._record_answer(statement, answer, self._state.now() - arrived_at)

    def _record_answer(self, statement: Statement, answer: Answer, duration: timedelta) -> None:
        if self._route is not None:
            self._metrics.count_answer(self._route, answer, duration)
        if answer.succeeded and (self._route is None or duration <= self._route.target):
            return
        log_event(
            "statement_answered",
            id=statement.id,
            database=self._session.database,
            kind=statement.kind,
            code=answer.code,
            took=duration,
            state=answer.state,
            reason=answer.text or "late",
        )

    # Answers.

    def _answer(self, statement: Statement) -> Answer:
        session = self._session
        if statement.kind is StatementKind.MALFORMED:
            session.fail()
            return Answer(AnswerCode.MALFORMED, text="unknown statement")
        if session.transaction is TransactionState.FAILED:
            return self._answer_in_failed_transaction(statement)
        if statement.kind in _LOCAL_KINDS:
            return self._answer_local(statement)
        if statement.kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            return self._begin(statement)
        if statement.kind is StatementKind.ROLLBACK:
            self._end_transaction()
            session.end()
            return Answer()
        if statement.kind is StatementKind.EXECUTE and not session.resolve(statement):
            session.fail()
            self._end_transaction()
            return Answer(AnswerCode.NOT_PREPARED, text=statement.name)
        if session.transaction is TransactionState.OPEN:
            return self._answer_in_transaction(statement)
        if statement.kind is StatementKind.COMMIT:
            return Answer(AnswerCode.MALFORMED, text="no transaction is open")
        return self._answer_single(statement)

    def _answer_local(self, statement: Statement) -> Answer:
        try:
            if self._session.apply(statement):
                return Answer()
        except SessionFullError:
            self._session.fail()
            return Answer(AnswerCode.BUSY, text="no memory for it, retry after 1000 ms")
        self._session.fail()
        return Answer(AnswerCode.NOT_PREPARED, text=statement.name)

    def _answer_in_failed_transaction(self, statement: Statement) -> Answer:
        if statement.kind not in _END_KINDS:
            code = AnswerCode.ROLLED_BACK if self._abort_reason else AnswerCode.MALFORMED
            return Answer(code, text=self._abort_reason or "the transaction failed")
        reason, self._abort_reason = self._abort_reason, ""
        self._end_transaction()
        self._session.end()
        if statement.kind is StatementKind.ROLLBACK:
            return Answer()
        return Answer(AnswerCode.ROLLED_BACK, text=reason or "the transaction failed")

    def _begin(self, statement: Statement) -> Answer:
        if self._session.transaction is TransactionState.OPEN:
            self._session.fail()
            return Answer(AnswerCode.MALFORMED, text="a transaction is open")
        route = self._find_route()
        if route is None:
            return Answer(AnswerCode.UNKNOWN_DATABASE, text=self._session.database)
        refusal = self._start_operation(route)
        if refusal is not None:
            return refusal
        self._session.begin(statement.kind is StatementKind.BEGIN_READ_ONLY)
        return Answer()

    def _answer_single(self, statement: Statement) -> Answer:
        route = self._find_route()
        if route is None:
            return Answer(AnswerCode.UNKNOWN_DATABASE, text=self._session.database)
        refusal = self._start_operation(route)
        if refusal is not None:
            return refusal
        answer = self._router.run_single(self._session, route, statement)
        if answer.succeeded and statement.writes:
            self._session.record_mark(answer.mark)
        elif statement.writes and not answer.not_run:
            self._invalidate_mark(answer)
        return answer

    def _answer_in_transaction(self, statement: Statement) -> Answer:
        if self._transaction is None:
            answer, self._transaction = self._router.open_transaction(
                self._session, self._route, statement
            )
            still_open = self._transaction is not None
        else:
            answer, still_open = self._router.continue_transaction(
                self._session, self._route, statement, self._transaction
            )
        if still_open:
            return answer
        self._transaction = None
        if statement.kind is StatementKind.COMMIT:
            self._session.end()
            if answer.succeeded:
                self._session.record_mark(answer.mark)
            elif not answer.not_run:
                self._invalidate_mark(answer)
        else:
            self._session.fail()
        return answer

    def _start_operation(self, route: DatabaseRoute) -> Answer | None:
        """Return why a new operation may not start, or None if it may.

        An operation is a single statement or a transaction. It belongs to the team that the
        caller's key identifies now.
        """
        teams = self._state.catalog.teams
        if route.public or not teams.enabled:
            self._session.team = ""
            return None
        team = teams.team_of(self._key_digest)
        if team is None:
            self._key_withdrawn = True
            self._log_refused_key()
            return Answer(AnswerCode.NOT_AUTHORIZED, text="the key was withdrawn")
        self._session.team = team.name
        if self._limits is None:
            return None
        return self._limits.admit(team.name, TOKEN_WAIT_SHARE * route.target)

    def _is_authorized(self) -> bool:
        """Return whether the caller may use the database in the configuration in force."""
        teams = self._state.catalog.teams
        route = self._state.catalog.routes_by_database.get(self._session.database)
        if not teams.enabled or (route is not None and route.public):
            return True
        return teams.team_of(self._key_digest) is not None

    def _refuse_key(self) -> None:
        self._log_refused_key()
        self._sock.sendall(lines.encode_error(AnswerCode.NOT_AUTHORIZED, "unknown key"))

    def _log_refused_key(self) -> None:
        log_event(
            "key_refused",
            database=self._session.database,
            version=self._state.catalog.version,
            reason="unknown" if self._key_digest else "missing",
        )

    def _invalidate_mark(self, answer: Answer) -> None:
        """Mark the session's mark as unknown after a write whose outcome is unknown."""
        if answer.code in (AnswerCode.OUTCOME_UNKNOWN, AnswerCode.TIMED_OUT):
            self._session.mark_unknown = True

    def _end_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._router.end_transaction(transaction)

    def _find_route(self) -> DatabaseRoute | None:
        """Look up the route; a changed one takes effect with the next transaction."""
        self._route = self._state.catalog.routes_by_database.get(self._session.database)
        return self._route

    # Input.

    def _read_statement_line(self) -> str:
        """Wait for the next message; roll back a transaction that is idle for too long.

        A team's transaction may rest: its holder rolls it back if others wait for what it holds.
        """
        if self._session.transaction is TransactionState.OPEN and not self._session.team:
            self._sock.settimeout(self._state.catalog.transaction_idle_timeout.total_seconds())
            try:
                return self._read_line()
            except TimeoutError:
                self.abort_transaction("idle in transaction")
        self._sock.settimeout(None)
        return self._read_line()

    def _read_line(self) -> str:
        while not self._pending_lines:
            if self._buffer.size > SMALL_MESSAGE_BYTES:
                self._take_turn()
            data = self._receive()
            if not data:
                raise ConnectionError("connection closed by the caller")
            self._pending_lines = self._buffer.feed(data)
        return self._pending_lines.pop(0)

    def _receive(self) -> bytes:
        if self._large_message_by is None:
            return self._sock.recv(_READ_BYTES)
        remaining = (self._large_message_by - self._state.now()).total_seconds()
        try:
            self._sock.settimeout(max(remaining, 0.001))
            return self._sock.recv(_READ_BYTES)
        except TimeoutError as error:
            raise self._refuse_large("it did not arrive in time") from error

    def _take_turn(self) -> None:
        """Wait until this session may receive the rest of a large message."""
        if self._large_message_by is not None:
            return
        if not self._state.memory.turns.acquire(timeout=TURN_TIMEOUT.total_seconds()):
            raise self._refuse_large("others did not end in time")
        self._large_message_by = self._state.now() + ARRIVAL_TIMEOUT

    def _refuse_large(self, reason: str) -> ConnectionError:
        log_event("large_message_refused", database=self._session.database, reason=reason)
        return ConnectionError("a large message was refused")

    def _end_turn(self) -> None:
        if self._large_message_by is not None:
            self._large_message_by = None
            self._state.memory.turns.release()
