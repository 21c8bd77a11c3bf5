"""Connection to a member: runs one request at a time, each with a deadline."""

import socket
from datetime import timedelta

import gevent.socket
from bramleyrill_base import Clock
from bramleyrill_core import Mark
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.statements import Answer, ConnectionState
from bramleyrill_platform import lines

# Time in ms after which unacknowledged data ends the connection, as a member behind a network
# partition sends no reset.
USER_TIMEOUT_MS = 3000
_READ_BYTES = 65536


class UpstreamError(Exception):
    """The connection failed and is closed.

    `refused` is True if the member's machine is up but refused the connection.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class UpstreamTimeoutError(UpstreamError):
    """No complete answer arrived in time."""


class RefusedByMemberError(UpstreamError):
    """The member accepted the connection and answered its first message with an error."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(answer.code.name.lower())
        self.answer = answer


class UpstreamConnection:
    """One connection to a member, used by one greenlet at a time.

    `state` is the session state that the member holds for the connection: values and prepared
    statements. `team` is the team whose work it may run, or empty. `opened_at` is the time when the
    member accepted it, `last_answer_at` the time of the last answer, and `in_transaction` whether a
    transaction is open.
    """

    def __init__(
        self, member: MemberEntry, sock: socket.socket, clock: Clock, team: str = ""
    ) -> None:
        self.member = member
        self.team = team
        self.state = ConnectionState()
        self.opened_at = self.last_answer_at = clock.monotonic()
        self.in_transaction = False
        self.closed = False
        self._sock = sock
        self._clock = clock
        self._buffer = lines.LineBuffer()
        self._answer_reader = lines.AnswerReader()
        self._pending_lines: list[str] = []

    @classmethod
    def dial(
        cls, member: MemberEntry, timeout: timedelta, clock: Clock, team: str = ""
    ) -> "UpstreamConnection":
        """Connect for the work of a team; raise UpstreamError if the member refuses it."""
        sock = gevent.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = cls(member, sock, clock, team)
        deadline = clock.monotonic() + timeout
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            sock.settimeout(timeout.total_seconds())
            sock.connect(member.address)
            sock.sendall(lines.encode_open(member.service, member.id, team))
            answer = lines.parse_open_answer(connection._read_line(deadline))
        except ConnectionRefusedError as error:
            connection.close()
            raise UpstreamError("connection refused", refused=True) from error
        except (OSError, ValueError, OverflowError, lines.LineError) as error:
            connection.close()
            raise UpstreamError(f"cannot connect: {error}") from error
        except UpstreamError:
            connection.close()
            raise
        if not answer.succeeded:
            connection.close()
            raise RefusedByMemberError(answer)
        connection.opened_at = clock.monotonic()
        return connection

    def execute(
        self, statement_id: str, text: str, timeout: timedelta, min_mark: Mark | None = None
    ) -> Answer:
        """Run one statement and return the member's answer.

        With `min_mark` the member refuses the statement if its log lacks that position. Raises
        UpstreamError, with the connection closed, if there is no answer in time.
        """
        return self._send_and_receive(lines.encode_query(statement_id, text, min_mark), 1, timeout)[
            0
        ]

    def execute_pipelined(self, texts: list[str], timeout: timedelta) -> list[Answer]:
        """Run statements of the proxy itself in one round trip; raise UpstreamError.

        A statement runs even if an earlier one was refused.
        """
        data = b"".join(lines.encode_query(lines.INTERNAL_STATEMENT_ID, text) for text in texts)
        return self._send_and_receive(data, len(texts), timeout)

    def _send_and_receive(self, data: bytes, count: int, timeout: timedelta) -> list[Answer]:
        deadline = self._clock.monotonic() + timeout
        answers: list[Answer] = []
        try:
            self._sock.settimeout(timeout.total_seconds())
            self._sock.sendall(data)
            while len(answers) < count:
                answer = self._answer_reader.feed(self._read_line(deadline))
                if answer is not None:
                    answers.append(answer)
        except (OSError, lines.LineError) as error:
            self.close()
            if isinstance(error, TimeoutError):
                raise UpstreamTimeoutError("no answer in time") from error
            raise UpstreamError(str(error) or type(error).__name__) from error
        except BaseException:
            self.close()
            raise
        self.last_answer_at = self._clock.monotonic()
        return answers

    def close(self) -> None:
        """Close the connection; the member rolls back an open transaction."""
        self.closed = True
        self._sock.close()

    def _read_line(self, deadline: timedelta) -> str:
        while not self._pending_lines:
            remaining = (deadline - self._clock.monotonic()).total_seconds()
            if remaining <= 0:
                raise UpstreamTimeoutError("no answer in time")
            self._sock.settimeout(remaining)
            data = self._sock.recv(_READ_BYTES)
            if not data:
                raise UpstreamError("connection closed by the member")
            self._pending_lines = self._buffer.feed(data)
        return self._pending_lines.pop(0)
