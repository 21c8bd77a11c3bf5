"""A connection to a member: one statement at a time, each with a deadline."""

import socket
from datetime import timedelta

import gevent.socket
from bramleyrill_base import Clock
from bramleyrill_core import Mark
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.statements import Answer, ConnectionState
from bramleyrill_platform import lines

# A member behind a partition does not answer; unacknowledged bytes end the connection.
USER_TIMEOUT_MS = 3000
_READ_SIZE = 65536


class UpstreamError(Exception):
    """The connection cannot go on. `refused` tells that the machine refused to connect."""

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class UpstreamTimeoutError(UpstreamError):
    """No whole answer came in time."""


class RefusedByMemberError(UpstreamError):
    """The member answered the connection with an error."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(answer.code.name.lower())
        self.answer = answer


class UpstreamConnection:
    """One connection to a member; used by one greenlet at a time.

    `state` is what the member holds for the connection, `answered_at` the time of its last
    answer and `in_transaction` whether a transaction is open on it.
    """

    def __init__(self, member: MemberEntry, sock: socket.socket, clock: Clock) -> None:
        self.member = member
        self.state = ConnectionState()
        self.answered_at = clock.monotonic()
        self.in_transaction = False
        self.closed = False
        self._sock = sock
        self._clock = clock
        self._buffer = lines.LineBuffer()
        self._reader = lines.AnswerReader()
        self._waiting: list[str] = []

    @classmethod
    def dial(cls, member: MemberEntry, timeout: timedelta, clock: Clock) -> "UpstreamConnection":
        """Connect and introduce; raise UpstreamError."""
        sock = gevent.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = cls(member, sock, clock)
        deadline = clock.monotonic() + timeout
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            sock.settimeout(timeout.total_seconds())
            sock.connect(member.address)
            sock.sendall(lines.encode_open(member.service, member.id))
            greeting = lines.parse_greeting(connection._next_line(deadline))
        except ConnectionRefusedError as error:
            connection.close()
            raise UpstreamError("connection refused", refused=True) from error
        except (OSError, lines.LineError) as error:
            connection.close()
            raise UpstreamError(f"cannot connect: {error}") from error
        except UpstreamError:
            connection.close()
            raise
        if not greeting.succeeded:
            connection.close()
            raise RefusedByMemberError(greeting)
        return connection

    def ask(
        self, statement_id: str, text: str, timeout: timedelta, floor: Mark | None = None
    ) -> Answer:
        """Run one statement; raise UpstreamError, after which the connection is closed."""
        return self._exchange(lines.encode_query(statement_id, text, floor), 1, timeout)[0]

    def ask_together(self, texts: list[str], timeout: timedelta) -> list[Answer]:
        """Run statements of this system in one round trip; raise UpstreamError.

        A later one runs although an earlier one was refused.
        """
        data = b"".join(lines.encode_query(lines.OWN_ID, text) for text in texts)
        return self._exchange(data, len(texts), timeout)

    def _exchange(self, data: bytes, count: int, timeout: timedelta) -> list[Answer]:
        deadline = self._clock.monotonic() + timeout
        answers: list[Answer] = []
        try:
            self._sock.settimeout(timeout.total_seconds())
            self._sock.sendall(data)
            while len(answers) < count:
                answer = self._reader.feed(self._next_line(deadline))
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
        self.answered_at = self._clock.monotonic()
        return answers

    def close(self) -> None:
        """Close the connection; the member rolls back what is open."""
        self.closed = True
        self._sock.close()

    def _next_line(self, deadline: timedelta) -> str:
        while not self._waiting:
            left = (deadline - self._clock.monotonic()).total_seconds()
            if left <= 0:
                raise UpstreamTimeoutError("no answer in time")
            self._sock.settimeout(left)
            data = self._sock.recv(_READ_SIZE)
            if not data:
                raise UpstreamError("closed by the member")
            self._waiting = self._buffer.feed(data)
        return self._waiting.pop(0)
