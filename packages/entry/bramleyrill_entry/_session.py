"""One caller's session over the line protocol."""

import select
import socket
from datetime import timedelta
from typing import Any

from bramleyrill_base import log_event
from bramleyrill_core.catalog import DatabaseRoute
from bramleyrill_core.statements import (
    Answer,
    AnswerCode,
    Statement,
    StatementKind,
    StatementSession,
    TransactionState,
)
from bramleyrill_platform import lines

from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._router import OpenTransaction, Router
from bramleyrill_entry._state import EntryState

OPEN_TIMEOUT = timedelta(seconds=10)
# A process that has just started waits this long for the configuration before it says that a
# database is unknown; callers give up on an unanswered OPEN after 2 s.
FIRST_CATALOG_WAIT = timedelta(seconds=1.8)
# A caller that does not read its answer for this long loses the session.
SEND_TIMEOUT = timedelta(seconds=15)
USER_TIMEOUT_MS = 20_000
_READ_SIZE = 16384
_LOCAL = frozenset({StatementKind.SET, StatementKind.PREPARE, StatementKind.DEALLOCATE})
_ENDS = frozenset({StatementKind.COMMIT, StatementKind.ROLLBACK})


class CallerSession:
    """Serve one connection of a caller until it ends.

    `busy` tells that a statement is being answered and `in_transaction` that a transaction is
    open, so that a stop knows what it may close.
    """

    def __init__(self, sock: Any, state: EntryState, router: Router, metrics: EntryMetrics) -> None:
        self.busy = False
        self.closing = False
        self._sock = sock
        self._state = state
        self._router = router
        self._metrics = metrics
        self._buffer = lines.LineBuffer()
        self._waiting: list[str] = []
        self._session = StatementSession("")
        self._route: DatabaseRoute | None = None
        self._transaction: OpenTransaction | None = None
        # Why the open transaction was ended by this system; told with the next statement.
        self._ended_because = ""

    @property
    def in_transaction(self) -> bool:
        """Tell whether the caller is in a transaction."""
        return self._session.transaction is not TransactionState.IDLE

    def serve(self) -> None:
        """Serve the connection."""
        try:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            if self._open():
                self._serve_statements()
        except (OSError, lines.LineError) as error:
            if not self.closing and self.in_transaction:
                log_event("session_lost", database=self._session.database, reason=error)
        finally:
            self._end_transaction()
            self._sock.close()

    def close_if_idle(self) -> bool:
        """Close the session if it has no statement or transaction in progress."""
        if self.busy or self.in_transaction or self._waiting or self._has_input():
            return False
        self.closing = True
        self._sock.close()
        return True

    def abort_transaction(self, reason: str) -> None:
        """End an open transaction; the caller is told with its next statement."""
        if self._session.transaction is TransactionState.OPEN and not self.busy:
            self._ended_because = reason
            self._session.fail()
            self._end_transaction()
            log_event("transaction_ended", database=self._session.database, reason=reason)

    def _has_input(self) -> bool:
        """Tell whether bytes of the caller wait to be read; closing now would lose them."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _open(self) -> bool:
        self._sock.settimeout(OPEN_TIMEOUT.total_seconds())
        message = lines.parse_caller_message(self._next_line())
        if not isinstance(message, lines.OpenSession):
            self._sock.sendall(lines.encode_refusal(AnswerCode.MALFORMED, "OPEN expected"))
            return False
        if self._state.catalog.version == 0:
            self._state.catalog_changed.wait(FIRST_CATALOG_WAIT.total_seconds())
        if self._state.catalog.version == 0:
            log_event("session_refused", database=message.database, reason="no configuration yet")
            self._sock.sendall(lines.encode_refusal(AnswerCode.BUSY, "starting"))
            return False
        if message.database not in self._state.catalog.routes_by_database:
            log_event(
                "session_refused",
                database=message.database,
                version=self._state.catalog.version,
                reason="unknown database",
            )
            self._sock.sendall(lines.encode_refusal(AnswerCode.UNKNOWN_DATABASE, message.database))
            return False
        self._session.database = message.database
        self._sock.sendall(lines.encode_ready(TransactionState.IDLE, None))
        return True

    def _serve_statements(self) -> None:
        while True:
            line = self._next_statement_line()
            message = lines.parse_caller_message(line)
            if isinstance(message, lines.EndSession):
                return
            if isinstance(message, Statement):
                self._serve_one(message)
                if self._state.closing_sessions and self.close_if_idle():
                    return
            else:
                reason = getattr(message, "reason", "unexpected message")
                self._sock.sendall(lines.encode_refusal(AnswerCode.MALFORMED, reason))
                return

    def _serve_one(self, statement: Statement) -> None:
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
        self._note(statement, answer, self._state.now() - arrived_at)

    def _note(self, statement: Statement, answer: Answer, took: timedelta) -> None:
        if self._route is not None:
            self._metrics.note_answer(self._route, answer, took)
        if answer.succeeded and (self._route is None or took <= self._route.target):
            return
        log_event(
            "statement_answered",
            id=statement.id,
            database=self._session.database,
            kind=statement.kind,
            code=answer.code,
            took=took,
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
            return self._answer_failed(statement)
        if statement.kind in _LOCAL:
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
        if self._session.apply(statement):
            return Answer()
        self._session.fail()
        return Answer(AnswerCode.NOT_PREPARED, text=statement.name)

    def _answer_failed(self, statement: Statement) -> Answer:
        if statement.kind not in _ENDS:
            code = AnswerCode.ROLLED_BACK if self._ended_because else AnswerCode.MALFORMED
            return Answer(code, text=self._ended_because or "the transaction failed")
        reason, self._ended_because = self._ended_because, ""
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
        self._session.begin(statement.kind is StatementKind.BEGIN_READ_ONLY)
        return Answer()

    def _answer_single(self, statement: Statement) -> Answer:
        route = self._find_route()
        if route is None:
            return Answer(AnswerCode.UNKNOWN_DATABASE, text=self._session.database)
        answer = self._router.run_single(self._session, route, statement)
        if answer.succeeded and statement.writes:
            self._session.record_mark(answer.mark)
        elif statement.writes and not answer.not_run:
            self._doubt_mark(answer)
        return answer

    def _answer_in_transaction(self, statement: Statement) -> Answer:
        if self._transaction is None:
            answer, self._transaction = self._router.open_transaction(
                self._session, self._route, statement
            )
            still_open = self._transaction is not None
        else:
            answer, still_open = self._router.go_on(
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
                self._doubt_mark(answer)
        else:
            self._session.fail()
        return answer

    def _doubt_mark(self, answer: Answer) -> None:
        """After a write with an unknown outcome no mark is known that includes it."""
        if answer.code in (AnswerCode.OUTCOME_UNKNOWN, AnswerCode.TIMED_OUT):
            self._session.mark_unknown = True

    def _end_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._router.end(transaction)

    def _find_route(self) -> DatabaseRoute | None:
        """Look the route up; one that changed applies from the next transaction on."""
        self._route = self._state.catalog.routes_by_database.get(self._session.database)
        return self._route

    # Input.

    def _next_statement_line(self) -> str:
        """Wait for the next message; a transaction that rests too long is ended meanwhile."""
        if self._session.transaction is TransactionState.OPEN:
            self._sock.settimeout(self._state.catalog.transaction_idle_timeout.total_seconds())
            try:
                return self._next_line()
            except TimeoutError:
                self.abort_transaction("idle in transaction")
        self._sock.settimeout(None)
        return self._next_line()

    def _next_line(self) -> str:
        while not self._waiting:
            data = self._sock.recv(_READ_SIZE)
            if not data:
                raise ConnectionError("closed by the caller")
            self._waiting = self._buffer.feed(data)
        return self._waiting.pop(0)
