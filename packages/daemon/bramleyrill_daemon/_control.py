"""Connections for control: probes and group calls, one at a time for each member."""

from collections.abc import Callable
from datetime import timedelta

import gevent
from bramleyrill_base import Clock
from bramleyrill_core import MemberId, MemberStatus
from gevent.lock import Semaphore

from bramleyrill_daemon._answers import STATUS_SQL, read_status
from bramleyrill_daemon._upstream import UpstreamConnection, UpstreamError, UpstreamLogin

# Two regions are 40 ms apart there and back, and a dial takes 30 ms; a member that needs longer
# than this counts as silent. It is below the 1 s after which a primary is suspected.
CALL_TIMEOUT = timedelta(milliseconds=600)


class ControlError(Exception):
    """A group call failed.

    `refused` tells that the connection was refused or reset, `answered` that the member itself
    answered with an error.
    """

    def __init__(self, detail: str, refused: bool = False, answered: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused
        self.answered = answered


class ControlClient:
    """One connection to a member for group calls, opened when needed.

    Calls wait for each other, since the member reserves one connection for each holder of its
    group. Every call takes at most `CALL_TIMEOUT` once it has its turn.
    """

    def __init__(self, login: Callable[[], UpstreamLogin], clock: Clock) -> None:
        self.busy = False
        self._login = login
        self._clock = clock
        self._lock = Semaphore(1)
        self._connection: UpstreamConnection | None = None

    def probe(self) -> tuple[timedelta, MemberStatus]:
        """Return the time just before the query was sent, and the status."""
        rows, sent_at = self._call(STATUS_SQL)
        return sent_at, self._status(rows)

    def fence(self, term: int) -> MemberStatus:
        """Fence the member at a term and return its status."""
        rows, _ = self._call(f"SELECT * FROM group_fence({int(term)})")
        return self._status(rows)

    def promote(self, term: int) -> None:
        """Make the member, fenced at the term, its primary."""
        self._call(f"SELECT group_promote({int(term)})")

    def follow(self, term: int, leader: str) -> None:
        """Make the member follow the leader of a term."""
        quoted = leader.replace("'", "''")
        self._call(f"SELECT group_follow({int(term)}, '{quoted}')")

    def query(self, sql: str) -> list[list[str | None]]:
        """Run another control query and return its rows."""
        return self._call(sql)[0]

    def close(self) -> None:
        """Close the connection; the next call opens it again."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _status(self, rows: list[list[str | None]]) -> MemberStatus:
        try:
            return read_status(rows[0])
        except (IndexError, OSError) as error:
            self.close()
            raise ControlError(f"no status row: {error}") from error

    def _call(self, sql: str) -> tuple[list[list[str | None]], timedelta]:
        with self._lock:
            self.busy = True
            try:
                return self._call_locked(sql)
            finally:
                self.busy = False

    def _call_locked(self, sql: str) -> tuple[list[list[str | None]], timedelta]:
        try:
            with gevent.Timeout(CALL_TIMEOUT.total_seconds(), TimeoutError("no answer")):
                if self._connection is not None and self._connection.has_unread():
                    self.close()
                if self._connection is None:
                    self._connection = UpstreamConnection.dial(self._login(), CALL_TIMEOUT)
                sent_at = self._clock.monotonic()
                return self._connection.query(sql, CALL_TIMEOUT), sent_at
        except UpstreamError as error:
            raise ControlError(str(error), answered=True) from error
        except KeyError as error:
            raise ControlError(f"text or credentials lack {error}") from error
        except OSError as error:
            self.close()
            refused = isinstance(error, ConnectionRefusedError | ConnectionResetError)
            raise ControlError(f"{type(error).__name__}: {error}", refused) from error


class ControlClients:
    """Control clients by member."""

    def __init__(self, login_of: Callable[[MemberId], UpstreamLogin], clock: Clock) -> None:
        self.by_member: dict[MemberId, ControlClient] = {}
        self._login_of = login_of
        self._clock = clock

    def client(self, member: MemberId) -> ControlClient:
        """Return the member's client, which is made at the first call."""
        found = self.by_member.get(member)
        if found is None:
            found = ControlClient(lambda: self._login_of(member), self._clock)
            self.by_member[member] = found
        return found

    def probe(self, member: MemberId) -> tuple[timedelta, MemberStatus] | None:
        """Return the time just before a member was asked and its status, or None."""
        try:
            return self.client(member).probe()
        except ControlError:
            return None

    def keep(self, members: set[MemberId]) -> None:
        """Close the clients of members that are not in the set."""
        for member in [known for known in self.by_member if known not in members]:
            self.by_member.pop(member).close()

    def close(self) -> None:
        """Close every client."""
        self.keep(set())
