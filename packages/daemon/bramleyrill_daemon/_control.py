"""Control clients: probes and group calls, one at a time for each member."""

from collections.abc import Callable
from datetime import timedelta

import gevent
from bramleyrill_base import Clock
from bramleyrill_core import MemberId, MemberStatus
from gevent.lock import Semaphore

from bramleyrill_daemon._answers import STATUS_SQL, read_status
from bramleyrill_daemon._upstream import UpstreamConnection, UpstreamError, UpstreamLogin

# A member that does not answer in this time counts as silent. The round trip between two regions
# takes 40 ms and a dial 30 ms. The limit is below the 1 s of silence after which a primary is
# suspected.
CALL_TIMEOUT = timedelta(milliseconds=600)


class ControlError(Exception):
    """A group call failed.

    `refused` is true if the connection was refused or reset, `answered` if the member answered
    with an SQL error.
    """

    def __init__(self, detail: str, refused: bool = False, answered: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused
        self.answered = answered


class ControlClient:
    """Client for probes and group calls to one member, on one connection opened on demand.

    Calls are serialized, since the member reserves one connection for each holder of its group.
    Once a call has the lock, it takes at most `CALL_TIMEOUT`. All calls raise ControlError.
    """

    def __init__(self, login: Callable[[], UpstreamLogin], clock: Clock) -> None:
        self.busy = False
        self._login = login
        self._clock = clock
        self._lock = Semaphore(1)
        self._connection: UpstreamConnection | None = None

    def probe(self) -> tuple[timedelta, MemberStatus]:
        """Return the time just before the query was sent and the member's status."""
        rows, sent_at = self._call(STATUS_SQL)
        return sent_at, self._parse_status(rows)

    def fence(self, term: int) -> MemberStatus:
        """Fence the member at a term; return its status."""
        rows, _ = self._call(f"SELECT * FROM group_fence({int(term)})")
        return self._parse_status(rows)

    def promote(self, term: int) -> None:
        """Promote the member to primary of a term at which it is fenced."""
        self._call(f"SELECT group_promote({int(term)})")

    def follow(self, term: int, leader: str) -> None:
        """Make the member follow the leader of a term."""
        quoted = leader.replace("'", "''")
        self._call(f"SELECT group_follow({int(term)}, '{quoted}')")

    def query(self, sql: str) -> list[list[str | None]]:
        """Run a control query and return its rows."""
        return self._call(sql)[0]

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _parse_status(self, rows: list[list[str | None]]) -> MemberStatus:
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
        """Return the member's client; create it if there is none yet."""
        client = self.by_member.get(member)
        if client is None:
            client = ControlClient(lambda: self._login_of(member), self._clock)
            self.by_member[member] = client
        return client

    def probe(self, member: MemberId) -> tuple[timedelta, MemberStatus] | None:
        """Return the time just before the query was sent and the member's status, or None."""
        try:
            return self.client(member).probe()
        except ControlError:
            return None

    def keep(self, members: set[MemberId]) -> None:
        """Close the clients of members that are not in the set."""
        for member in [member for member in self.by_member if member not in members]:
            self.by_member.pop(member).close()

    def close(self) -> None:
        """Close every client."""
        self.keep(set())
