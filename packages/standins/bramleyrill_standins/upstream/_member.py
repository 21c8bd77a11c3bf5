"""One member: its tables, log, locks, connections and active faults."""

import contextlib
from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from typing import Any

import gevent
from bramleyrill_base import log_event
from gevent import socket
from gevent.event import Event
from gevent.lock import Semaphore

from bramleyrill_standins.upstream._backend import Backend
from bramleyrill_standins.upstream._functions import (
    columns_without_running,
    register_functions,
    run_group_call,
)
from bramleyrill_standins.upstream._link import follow
from bramleyrill_standins.upstream._locks import AdvisoryLocks
from bramleyrill_standins.upstream._log import Entry, GroupLog, Write
from bramleyrill_standins.upstream._session import Session
from bramleyrill_standins.upstream._settings import Counters, MemberSettings, Switches
from bramleyrill_standins.upstream._sql import Kind, Statement, parse
from bramleyrill_standins.upstream._store import TEXT, Result, Store

FAULT_POLL_S = 0.005
MAX_APPLIED_IDS = 1_000_000


class Member:
    """A member of a replication group, served by this process.

    Example: `member = Member(MemberSettings("a", first_leader="a"), {}); member.start()`, then
    connect to `member.port`.
    """

    def __init__(self, settings: MemberSettings, peers: dict[str, tuple[str, int]]) -> None:
        self.settings = settings
        self.peers = peers
        self.switches = Switches()
        self.counters = Counters()
        self.locks = AdvisoryLocks()
        self.log = GroupLog(settings.name, settings.first_leader, settings.journal)
        self.store = Store()
        self.entry_appended = Event()
        self.backends: dict[int, Backend] = {}
        self.port = settings.port
        self.current_pid = 0
        self.current_database = ""
        self.current_settings: dict[str, str] = {}
        self._slots = Semaphore(settings.slots) if settings.slots else None
        self._next_pid = 1000
        self._listener: socket.socket | None = None
        self._greenlets: set[gevent.Greenlet] = set()
        self._follower: gevent.Greenlet | None = None
        register_functions(self)
        self.store.rebuild(self.log.entries)
        self._recount_applied()

    def start(self) -> None:
        """Start listening and, on a replica, following the leader."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.settings.host, self.port))
        listener.listen(1024)
        self.port = listener.getsockname()[1]
        self.peers[self.settings.name] = (self.settings.host, self.port)
        self._listener = listener
        self.spawn(self._accept, listener)
        self._start_following()
        log_event("member_started", member=self.settings.name, port=self.port)

    def kill(self) -> None:
        """Close all connections at once, as a crash does; log and term are kept, as on a disk."""
        self.switches.killed = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for backend in list(self.backends.values()):
            backend.close()
        for greenlet in list(self._greenlets):
            greenlet.kill(block=False)
        self._stop_following()

    def restart(self) -> None:
        """Start again after `kill`."""
        if self.switches.killed:
            self.switches.killed = False
            self.start()

    def wait_until_reachable(self, names: tuple[str, ...]) -> None:
        """Wait while this member is frozen or cut off from the peer with one of `names`."""
        while self.switches.frozen or self.switches.is_cut_off(names):
            gevent.sleep(FAULT_POLL_S)

    def next_pid(self) -> int:
        """Return a new backend id."""
        self._next_pid += 1
        return self._next_pid

    def terminate(self, pid: int) -> bool:
        """End a session; return False if there is none with this id."""
        backend = self.backends.get(pid)
        if backend is None:
            return False
        backend.terminate("57P01", "terminating connection due to administrator command")
        return True

    def now(self) -> str:
        """Return the current UTC time as text."""
        return datetime.now(UTC).isoformat(sep=" ")

    def fence(self, term: int) -> None:
        """Fence this member at a term: stop following and acknowledging writes."""
        self.log.fence(term)
        self._stop_following()
        log_event("fenced", member=self.settings.name, term=term)

    def promote(self, term: int) -> None:
        """Become the primary of a term."""
        self.log.promote(term)
        log_event("promoted", member=self.settings.name, term=term, position=self.log.position)

    def follow(self, term: int, leader: str) -> None:
        """Follow the leader of a term."""
        if self.log.follow(term, leader):
            self._stop_following()
            self._start_following()
            log_event("following", member=self.settings.name, term=term, leader=leader)

    def run_statement(
        self,
        session: Session,
        statement: Statement,
        parameters: dict[str, Any],
        buffered: list[Write],
        commit: Callable[[], None] | None = None,
    ) -> Result:
        """Run one statement, in a slot unless it only controls the member.

        With `commit` the statement is committed as a transaction of its own. `commit` is called
        after all waits and raises SqlError if the write must not be committed.
        """
        self.counters.statements += 1
        if statement.control:
            outcome = run_group_call(self, session, statement, parameters)
            if isinstance(outcome, Result):
                return outcome
            return self._run_on_store(session, outcome, parameters, buffered)
        if statement.kind is Kind.READ:
            self.counters.reads += 1
        else:
            self.counters.writes += 1
        with self._slot():
            delay = self.settings.service + self.switches.slow
            if statement.sleep.startswith("$"):
                delay += float(parameters[statement.sleep[1:]])
            elif statement.sleep:
                delay += float(statement.sleep)
            # Also without a delay: the session may have ended while it waited for its slot.
            session.pause(delay)
            if commit is not None:
                commit()
                return self.commit([(statement.sql, parameters)], [statement.entry_id])
            return self._run_on_store(session, statement, parameters, buffered)

    def describe(self, statement: Statement, buffered: list[Write]) -> tuple[tuple[str, int], ...]:
        """Return the columns that a statement yields, without lasting effects."""
        if not statement.returns_rows or statement.kind is Kind.SHOW:
            return (("setting", TEXT),) if statement.returns_rows else ()
        columns = columns_without_running(statement)
        if columns is not None:
            return columns
        return self.store.describe(statement, buffered)

    def commit(self, writes: list[Write], entry_ids: list[str]) -> Result:
        """Commit a transaction's writes, append them to the log and return the last result."""
        result = self.store.commit(writes)
        self.log.append(tuple(writes))
        self.counters.commits += 1
        self._count_applied(entry_ids)
        self.entry_appended.set()
        self.entry_appended.clear()
        return result

    def apply(self, entry: Entry) -> None:
        """Apply an entry received from the leader."""
        self.store.commit(list(entry.writes))
        self.log.receive(entry)
        self._count_applied([parse(sql).entry_id for sql, _ in entry.writes])

    def rewind(self, history: list[tuple[int, int]], common: int) -> None:
        """Drop the entries that the leader lacks and become its replica."""
        dropped = self.log.position - common
        self.log.start_following(history, common)
        if dropped > 0:
            self._recount_applied()
            self.store.rebuild(self.log.entries)
            log_event("rewound", member=self.settings.name, position=common, dropped=dropped)

    def silence_existing(self) -> None:
        """Make every open connection silent until it closes; new ones work."""
        for backend in self.backends.values():
            backend.silent = True

    def _run_on_store(
        self,
        session: Session,
        statement: Statement,
        parameters: dict[str, Any],
        buffered: list[Write],
    ) -> Result:
        self.current_pid = session.pid
        self.current_database = session.database
        self.current_settings = session.settings
        if "pg_locks" in statement.sql:
            self.store.fill_view("pg_locks", self.locks.rows())
        if "pg_stat_activity" in statement.sql:
            rows = [backend.activity() for backend in self.backends.values()]
            self.store.fill_view("pg_stat_activity", rows)
        return self.store.run(statement, parameters, buffered)

    @contextlib.contextmanager
    def _slot(self) -> Iterator[None]:
        counters = self.counters
        if self._slots is not None and self._slots.locked():
            counters.slot_violations += 1
        with self._slots or contextlib.nullcontext():
            counters.statements_now += 1
            counters.statements_max = max(counters.statements_max, counters.statements_now)
            try:
                yield
            finally:
                counters.statements_now -= 1

    def _count_applied(self, entry_ids: list[str]) -> None:
        applied = self.counters.applied_by_id
        for entry_id in entry_ids:
            if entry_id and (entry_id in applied or len(applied) < MAX_APPLIED_IDS):
                applied[entry_id] = applied.get(entry_id, 0) + 1

    def _recount_applied(self) -> None:
        self.counters.applied_by_id.clear()
        for entry in self.log.entries:
            self._count_applied([parse(sql).entry_id for sql, _ in entry.writes])

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, address = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.spawn(Backend(self, sock, address[0]).serve)

    def spawn(self, function: Any, *arguments: Any) -> gevent.Greenlet:
        """Start a greenlet that `kill` ends."""
        greenlet = gevent.spawn(function, *arguments)
        self._greenlets.add(greenlet)
        greenlet.link(self._greenlets.discard)
        return greenlet

    def _start_following(self) -> None:
        if self.log.follow_pending or self.log.role == "replica":
            self._follower = self.spawn(follow, self, self.log.term, self.log.leader)

    def _stop_following(self) -> None:
        if self._follower is not None:
            self._follower.kill(block=False)
            self._follower = None
