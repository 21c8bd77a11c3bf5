"""One caller: a thread that writes, reads and reconnects to other proxies."""

import random
import threading
import time
import uuid

import psycopg
from attrs import define, frozen

from bramleyrill_standins.callers._history import History, LossNotice, Outcome, Read, Write

TABLE = "ledger"
TOKEN = "bramleyrill.token"
CONNECT_TIMEOUT_S = 5
RETRY_DELAY_S = 0.05
# SQLSTATEs that guarantee that the statement did not run; after any other failure it may have run.
NOT_RUN_STATES = frozenset(("40001", "53300", "25006", "28P01", "28000", "3D000", "TS001"))
# SQLSTATE that reports the loss of an earlier write in a change of primary.
LOST_ENTRY_SQLSTATE = "LE001"
_READ = f"select %s as nonce, key, entry, count(*) over () from {TABLE} where key = %s"


@frozen
class Endpoint:
    """Address that a caller connects to."""

    host: str
    port: int


@define
class Login:
    """User, password and database of a caller."""

    user: str
    password: str
    database: str


def is_not_run(sqlstate: str) -> bool:
    """Return whether an SQLSTATE guarantees that the statement did not run."""
    return sqlstate.startswith("NR") or sqlstate in NOT_RUN_STATES


def connect(endpoint: Endpoint, login: Login, settings: dict[str, str]) -> psycopg.Connection:
    """Open a connection with session settings; raise psycopg.Error if it fails."""
    options = " ".join(f"-c {name}={value}" for name, value in settings.items() if value)
    return psycopg.connect(
        host=endpoint.host,
        port=endpoint.port,
        user=login.user,
        password=login.password,
        dbname=login.database,
        options=options,
        connect_timeout=CONNECT_TIMEOUT_S,
        autocommit=True,
        sslmode="disable",
    )


def create_ledger(connection: psycopg.Connection) -> None:
    """Create the callers' table, without a primary key so that a doubled entry is visible."""
    connection.execute(f"create table {TABLE} (key text, entry text)")


def read_ledger(connection: psycopg.Connection) -> list[str]:
    """Return all entries, each as often as it is in the table."""
    return [entry for (entry,) in connection.execute(f"select entry from {TABLE}").fetchall()]


class Caller(threading.Thread):
    """Write and read under one key until stopped, and record every request in the history.

    Requests start every `interval` seconds, or later if the previous one takes longer. `writes` is
    the share of writes among them. `age_ms` is the staleness that reads accept. With probability
    `roam` the caller reconnects to a random endpoint before a request and presents its token there.
    A failed write is never sent again.
    """

    def __init__(
        self,
        name: str,
        endpoints: list[Endpoint],
        login: Login,
        history: History,
        *,
        seed: int,
        key: str = "",
        writes: float = 0.5,
        roam: float = 0.1,
        age_ms: int = 0,
        interval: float = 0.01,
    ) -> None:
        super().__init__(name=name, daemon=True)
        self.endpoints = endpoints
        self.token = ""
        self._login = login
        self._history = history
        self._random = random.Random(seed)
        self._key = key or name
        self._writes = writes
        self._roam = roam
        self._age_ms = age_ms
        self._interval = interval
        self._connection: psycopg.Connection | None = None
        self._stopping = threading.Event()
        self._entry_count = 0

    def run(self) -> None:
        """Send requests until `stop`."""
        due = time.monotonic()
        while not self._stopping.wait(max(0.0, due - time.monotonic())):
            # A request that took longer than the interval must not be followed by a burst.
            due = max(due + self._interval, time.monotonic())
            if self._random.random() < self._roam:
                self._disconnect()
            if not self._connect():
                self._stopping.wait(RETRY_DELAY_S)
            elif self._random.random() < self._writes:
                self.write()
            else:
                self.read()
        self._disconnect()

    def stop(self) -> None:
        """Stop after the current request; does not wait for it."""
        self._stopping.set()

    def write(self) -> Outcome:
        """Write one entry and record the outcome."""
        self._entry_count += 1
        entry = f"{self.name}-{self._entry_count}"
        started = time.monotonic()
        outcome, sqlstate = Outcome.ACKNOWLEDGED, ""
        try:
            self._connection.execute(
                f"insert into {TABLE} values (%s, %s) /* id={entry} */", (self._key, entry)
            )
        except psycopg.Error as problem:
            sqlstate = problem.sqlstate or ""
            outcome = Outcome.NOT_RUN if is_not_run(sqlstate) else Outcome.UNKNOWN
            self._handle_error(sqlstate)
        ended = time.monotonic()
        self._history.add(Write(self.name, self._key, entry, started, ended, outcome, sqlstate))
        self._save_token()
        return outcome

    def read(self) -> bool:
        """Read all entries of the key and record the answer; return False when it failed."""
        nonce = uuid.UUID(int=self._random.getrandbits(128)).hex
        started = time.monotonic()
        try:
            rows = self._connection.execute(_READ, (nonce, self._key)).fetchall()
        except psycopg.Error as problem:
            self._history.add_failed_read(problem.sqlstate or "connection")
            self._handle_error(problem.sqlstate or "")
            return False
        nonces, keys, entries, counts = zip(*rows, strict=True) if rows else ((), (), (), (0,))
        self._history.add(
            Read(
                caller=self.name,
                key=self._key,
                started=started,
                ended=time.monotonic(),
                nonce=nonce,
                nonces=nonces,
                keys=keys,
                entries=entries,
                row_count=int(counts[0]),
                age=self._age_ms / 1000,
            )
        )
        self._save_token()
        return True

    def _connect(self) -> bool:
        if self._connection is not None:
            return True
        endpoint = self._random.choice(self.endpoints)
        settings = {TOKEN: self.token, "bramleyrill.age": str(self._age_ms)}
        try:
            self._connection = connect(endpoint, self._login, settings)
        except psycopg.Error:
            return False
        return True

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._save_token()
            self._connection.close()
            self._connection = None

    def _save_token(self) -> None:
        connection = self._connection
        if connection is not None and not connection.closed:
            self.token = connection.info.parameter_status(TOKEN) or self.token

    def _handle_error(self, sqlstate: str) -> None:
        if sqlstate == LOST_ENTRY_SQLSTATE:
            self._history.add(LossNotice(self.name, time.monotonic()))
        if self._connection.closed or self._connection.broken:
            self._connection = None
