"""One caller: a thread that writes, reads and moves from proxy to proxy."""

import random
import threading
import time
import uuid

import psycopg
from attrs import define, frozen

from bramleyrill_standins.callers._history import History, Outcome, Read, ToldLost, Write

TABLE = "ledger"
TOKEN = "bramleyrill.token"
CONNECT_LIMIT_S = 5
RETRY_S = 0.05
# Answers that promise that the statement did not run; any other failure leaves it open.
NOT_RUN_STATES = frozenset(("40001", "53300", "25006", "28P01", "28000", "3D000", "TS001"))
LOST_ENTRY = "LE001"
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
    """Tell whether an answer promises that the statement did not run."""
    return sqlstate.startswith("NR") or sqlstate in NOT_RUN_STATES


def connect(endpoint: Endpoint, login: Login, settings: dict[str, str]) -> psycopg.Connection:
    """Open a connection with session settings; raise psycopg.Error."""
    options = " ".join(f"-c {name}={value}" for name, value in settings.items() if value)
    return psycopg.connect(
        host=endpoint.host,
        port=endpoint.port,
        user=login.user,
        password=login.password,
        dbname=login.database,
        options=options,
        connect_timeout=CONNECT_LIMIT_S,
        autocommit=True,
        sslmode="disable",
    )


def make_ledger(connection: psycopg.Connection) -> None:
    """Create the table of the callers; without a key, so that a doubled entry shows."""
    connection.execute(f"create table {TABLE} (key text, entry text)")


def read_ledger(connection: psycopg.Connection) -> list[str]:
    """Return all entries, each as often as it is there."""
    return [entry for (entry,) in connection.execute(f"select entry from {TABLE}").fetchall()]


class Caller(threading.Thread):
    """Write and read under one key until stopped, and record everything.

    Requests start every `interval` seconds, or later if the one before takes longer. `age_ms` is
    the staleness that reads accept. With probability `roam` it moves to another
    endpoint before a request, with its token. A write that failed is never sent again.
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
        self._serial = 0

    def run(self) -> None:
        """Send requests until `stop`."""
        due = time.monotonic()
        while not self._stopping.wait(max(0.0, due - time.monotonic())):
            # A request that took longer than the interval is not followed by a burst.
            due = max(due + self._interval, time.monotonic())
            if self._random.random() < self._roam:
                self._disconnect()
            if not self._connect():
                self._stopping.wait(RETRY_S)
            elif self._random.random() < self._writes:
                self.write()
            else:
                self.read()
        self._disconnect()

    def stop(self) -> None:
        """Stop after the request in progress."""
        self._stopping.set()

    def write(self) -> Outcome:
        """Write one entry and record what came back."""
        self._serial += 1
        entry = f"{self.name}-{self._serial}"
        started = time.monotonic()
        outcome, sqlstate = Outcome.DONE, ""
        try:
            self._connection.execute(
                f"insert into {TABLE} values (%s, %s) /* id={entry} */", (self._key, entry)
            )
        except psycopg.Error as problem:
            sqlstate = problem.sqlstate or ""
            outcome = Outcome.NOT_RUN if is_not_run(sqlstate) else Outcome.UNKNOWN
            self._note_problem(sqlstate)
        ended = time.monotonic()
        self._history.add(Write(self.name, self._key, entry, started, ended, outcome, sqlstate))
        self._keep_token()
        return outcome

    def read(self) -> bool:
        """Read all entries of the key and record the answer; return False when it failed."""
        nonce = uuid.UUID(int=self._random.getrandbits(128)).hex
        started = time.monotonic()
        try:
            rows = self._connection.execute(_READ, (nonce, self._key)).fetchall()
        except psycopg.Error as problem:
            self._history.add_failed_read(problem.sqlstate or "connection")
            self._note_problem(problem.sqlstate or "")
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
                counted=int(counts[0]),
                age=self._age_ms / 1000,
            )
        )
        self._keep_token()
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
            self._keep_token()
            self._connection.close()
            self._connection = None

    def _keep_token(self) -> None:
        connection = self._connection
        if connection is not None and not connection.closed:
            self.token = connection.info.parameter_status(TOKEN) or self.token

    def _note_problem(self, sqlstate: str) -> None:
        if sqlstate == LOST_ENTRY:
            self._history.add(ToldLost(self.name, time.monotonic()))
        if self._connection.closed or self._connection.broken:
            self._connection = None
