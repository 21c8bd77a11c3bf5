"""Members of one service that speak the line protocol and share a replicated log."""

import contextlib
import itertools
import socket
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

import gevent
from attrs import define, field
from gevent.event import Event
from gevent.lock import Semaphore
from gevent.server import StreamServer

NO_DELAY = timedelta()


@define(eq=False)
class Entry:
    """One commit in a log: its term and the values that it wrote, by key.

    `rolled_back` is set when a member without the entry is promoted. `deposed` is set if a primary
    committed it after it had been replaced.
    """

    term: int
    data: dict[str, str]
    rolled_back: bool = False
    deposed: bool = False


@define(eq=False)
class Run:
    """A statement that a member ran, recorded for assertions of tests.

    `team` is the team that was named when the connection was opened. `shape` is the shape that an
    EXECUTE ran, or empty.
    """

    member: str
    statement_id: str
    text: str
    team: str
    shape: str = ""


class LineMember:
    """One member: a listener, a log, and faults that tests switch on.

    While `silent` is set, the member answers nothing. `failing` makes reads fail and
    `failing_writes` makes writes fail; `refusing` makes it refuse statements as not run. With
    `lose_answers` it runs statements and closes the connection instead of answering. `lag` is the
    replication delay, `statement_time` the time that a statement takes. `deposed_term` is the term
    that a replaced primary still leads in its own view, and `fenced_term` the term with which a
    replica was fenced; both are 0 otherwise. `followed_term` is the newest term it took part in.
    A replica that is `deaf` receives nothing, also of a promotion, until `hear`.
    `controls` records the verbs of the commands that set connections up; a command whose verb is
    `refused_control` fails. `slots` limits the statements that run at the same time if it is set:
    others wait, and commands are refused while none is free.
    """

    def __init__(self, group: "LineGroup", name: str) -> None:
        self.group = group
        self.name = name
        self.log: list[Entry] = []
        self.silent = False
        self.deaf = False
        self.failing = False
        self.failing_writes = False
        self.refusing = False
        self.lose_answers = False
        self.lag = NO_DELAY
        self.statement_time = NO_DELAY
        self.deposed_term = 0
        self.fenced_term = 0
        self.followed_term = 1
        self.refused_control = ""
        self.controls: list[str] = []
        self.slots: Semaphore | None = None
        self.connections = 0
        self.connections_accepted = 0
        self._sockets: set[Any] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    def start(self) -> None:
        """Listen again on the same address after `stop`; a fence is not kept.

        The log is kept until the member follows a primary that is up.
        """
        self.fenced_term = 0
        self._follow_if_possible()
        self._server = StreamServer(self.address, self._serve)
        self._server.start()

    def hear(self) -> None:
        """Receive again after `deaf`."""
        self.deaf = False
        self._follow_if_possible()

    def _follow_if_possible(self) -> None:
        primary = self.group.primary
        if primary in (None, self) or self.deaf or self.deposed_term or self.fenced_term:
            return
        if primary.running:
            self.follow()

    @property
    def address(self) -> tuple[str, int]:
        """Return the address on which the member listens."""
        return "127.0.0.1", self._server.server_port

    @property
    def running(self) -> bool:
        """Return whether the member listens."""
        return self._server.started

    @property
    def is_primary(self) -> bool:
        """Return whether the member leads in its own view."""
        return self.group.primary is self or bool(self.deposed_term)

    @property
    def term(self) -> int:
        """Return the newest term that the member knows."""
        return self.deposed_term or self.group.term

    @property
    def position(self) -> tuple[int, int]:
        """Return the term that the member leads or followed last, and the length of its log."""
        return self.term if self.is_primary else self.followed_term, len(self.log)

    def follow(self) -> None:
        """Become a replica of the group's primary, with its log; without one keep the own log."""
        self.deposed_term = 0
        self.followed_term = self.group.term
        if self.group.primary is not None:
            self.log = list(self.group.primary.log)

    def stop(self) -> None:
        """Close all connections and refuse new ones."""
        self._server.stop(timeout=0)
        for sock in list(self._sockets):
            # Wakes the greenlet that reads it, which then closes it. The peer may have reset it.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _serve(self, sock, _address) -> None:
        self.connections += 1
        self.connections_accepted += 1
        self._sockets.add(sock)
        try:
            LineSession(self, sock).serve()
        except OSError:
            pass
        finally:
            self.connections -= 1
            self._sockets.discard(sock)


class LineGroup:
    """A primary and its replicas; `history` has all commits, also those that were rolled back.

    `resurrected` has those that a later promotion brought back.

    With `split`, a primary that is replaced goes on in its old term until it is demoted, as if it
    were cut off from its successor. With `sync_replicas`, a commit is acknowledged once that many
    replicas have received it. The platform takes `promote_time` to carry out an order. Example:
    `group = LineGroup("pieces", ["m1", "m2"])`, then `group.promote("m2")`.
    """

    def __init__(self, service: str, names: Iterable[str], max_connections: int = 16) -> None:
        self.service = service
        self.max_connections = max_connections
        self.term = 1
        self.runs: list[Run] = []
        self.history: list[Entry] = []
        self.resurrected: list[Entry] = []
        self.members_by_name = {name: LineMember(self, name) for name in names}
        self.primary: LineMember | None = next(iter(self.members_by_name.values()))
        self.changed = Event()
        self.split = False
        self.sync_replicas = 0
        self.promote_time = NO_DELAY

    def promote(self, name: str) -> None:
        """Make a member the primary of the next term; the others drop entries that it lacks."""
        member = self.members_by_name[name]
        if member is self.primary:
            return
        self.resurrected += [entry for entry in member.log if entry.rolled_back]
        if self.primary is not None:
            for entry in self.primary.log[len(member.log) :]:
                entry.rolled_back = True
        if self.split and self.primary is not None:
            self.primary.deposed_term = self.term
        self.term += 1
        self.primary = member
        member.deaf = False
        for other in self.members_by_name.values():
            # A member that is down comes back with its log.
            if not other.deposed_term and other.running and not other.deaf:
                other.log = list(member.log)
                other.fenced_term = 0
                other.followed_term = self.term

    def demote(self, member: LineMember) -> None:
        """Make a member a replica; without another primary the group has none then."""
        if self.primary is member:
            member.followed_term = self.term
            self.primary = None
        elif member.deposed_term:
            member.follow()

    def commit(self, data: dict[str, str], member: LineMember | None = None) -> bool:
        """Append an entry to the primary's log, and to each replica's after its lag.

        The entries of a deposed primary, given as `member`, stay with it. Return whether the commit
        may be acknowledged.
        """
        member = member or self.primary
        entry = Entry(member.term, data)
        self.history.append(entry)
        member.log.append(entry)
        if member is not self.primary:
            entry.rolled_back = entry.deposed = True
            return True
        length = len(self.primary.log)
        for replica in self.members_by_name.values():
            if replica is not self.primary and not replica.deposed_term:
                lag_s = replica.lag.total_seconds()
                gevent.spawn_later(lag_s, self._replicate, member, replica, length)
        return not self.sync_replicas or self._wait_for_replicas(member, length)

    def _wait_for_replicas(self, source: LineMember, length: int) -> bool:
        """Wait until enough replicas have an entry; return False if its member lost the lead."""
        while self.primary is source and source.running:
            replicas = [other for other in self.members_by_name.values() if other is not source]
            if sum(len(replica.log) >= length for replica in replicas) >= self.sync_replicas:
                return True
            gevent.sleep(0.001)
        return False

    def _replicate(self, source: LineMember, replica: LineMember, length: int) -> None:
        """Extend a replica's log to the first `length` entries of the source's.

        Does nothing if the replica receives nothing, or if another member was promoted meanwhile.
        """
        receives = replica.running and not replica.deaf and not replica.fenced_term
        if not receives or self.primary not in (source, None):
            return
        if replica.followed_term != self.term:
            # Its log may have gone another way.
            replica.log = list(source.log[:length])
            replica.followed_term = self.term
        replica.log.extend(source.log[len(replica.log) : length])

    def runs_of(self, statement_id: str) -> list[Run]:
        """Return the recorded runs of a statement."""
        return [run for run in self.runs if run.statement_id == statement_id]

    def close(self) -> None:
        """Stop all members."""
        for member in self.members_by_name.values():
            member.stop()


_signatures = itertools.count(1)


@define(eq=False)
class LineSession:
    """One connection to a member.

    `state` is I (idle), T (in a transaction) or E (failed). `plain` marks a transaction begun by a
    BEGIN without arguments, which only a primary accepts. `term` is the term of the group when the
    transaction began, `pending` has its uncommitted writes. `team` is the team that the
    proxy named.
    """

    member: LineMember
    sock: object
    settings: dict[str, str] = field(factory=dict)
    prepared: dict[str, tuple[str, str]] = field(factory=dict)
    state: str = "I"
    plain: bool = False
    term: int = 0
    pending: dict[str, str] = field(factory=dict)
    team: str = ""

    def serve(self) -> None:
        """Serve until the connection ends."""
        reader = self.sock.makefile("rb")
        fields = reader.readline().decode("utf-8", "surrogateescape").split()
        if not self._accept_session(fields):
            return
        for line in reader:
            if self.member.silent:
                continue
            _, statement_id, text = (
                line.decode("utf-8", "surrogateescape").rstrip("\r\n").split(" ", 2)
            )
            lines = self._run(statement_id, text)
            if lines is None:
                return
            self._send(*lines, f"READY {self.state} {self._position()}")

    def _accept_session(self, fields: list[str]) -> bool:
        group = self.member.group
        if self.member.silent:
            Event().wait()
        if len(fields) < 2:
            # The connection was closed before its first message.
            return False
        if fields[1] != group.service or (len(fields) > 3 and fields[3] != self.member.name):
            self._send("ERROR WRONGNODE other")
            return False
        if self.member.connections > group.max_connections:
            self._send("ERROR MAXCONN full")
            return False
        self.team = fields[2]
        self._send(f"READY I {self._position()}")
        return True

    def _run(self, statement_id: str, text: str) -> list[str] | None:
        words = text.split(" ")
        if words[0] == "SYNCPOS":
            term, _, number = words[1].partition(".")
            if (int(term), int(number)) > self.member.position:
                return ["ERROR LAGGING behind"]
            words = words[2:]
        handler = getattr(self, f"_{words[0].lower()}", None)
        if handler is None or words[0] == self.member.refused_control:
            return ["ERROR MALFORMED unknown"]
        if words[0] in ("SET", "RESET", "PREPARE"):
            self.member.controls.append(words[0])
        if self.member.refusing and words[0] in ("READ", "WRITE", "EXECUTE"):
            return ["ERROR BUSY no slot is free"]
        if words[0] in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            _, shape = self.prepared.get(words[1], ("", "")) if words[0] == "EXECUTE" else ("", "")
            run = Run(self.member.name, statement_id, text, self.team, shape)
            self.member.group.runs.append(run)
            with self.member.slots or contextlib.nullcontext():
                gevent.sleep(self.member.statement_time.total_seconds())
        elif words[0] in ("STATUS", "PAUSE", "RESUME", "DEMOTE") and self._is_busy():
            return ["ERROR BUSY no slot is free"]
        lines = handler(words[1:])
        if self.member.lose_answers and statement_id != "-":
            return None
        return lines

    def _is_busy(self) -> bool:
        return self.member.slots is not None and self.member.slots.locked()

    def _begin(self, words: list[str]) -> list[str]:
        if not words and not self.member.is_primary:
            return ["ERROR READONLY replica"]
        self.state, self.plain = "T", not words
        self.term = self.member.term
        return ["COMPLETE -"]

    def _rollback(self, _words: list[str]) -> list[str]:
        self.state = "I"
        self.pending.clear()
        return ["COMPLETE -"]

    def _commit(self, _words: list[str]) -> list[str] | None:
        self.state = "I"
        if self.pending and (not self.member.is_primary or self.term != self.member.term):
            self.pending.clear()
            return ["ERROR READONLY replaced"]
        data, self.pending = self.pending, {}
        if data and not self.member.group.commit(data, self.member):
            return None
        return [f"COMPLETE s{next(_signatures)}"]

    def _read(self, words: list[str]) -> list[str]:
        if self._primary_changed():
            self.state = "E"
            return ["ERROR READONLY replaced"]
        if self.member.failing:
            return self._fail()
        for entry in reversed(self.member.log):
            if words[0] in entry.data:
                return [f"ROW {entry.data[words[0]]}", f"COMPLETE s{next(_signatures)}"]
        return [f"COMPLETE s{next(_signatures)}"]

    def _write(self, words: list[str]) -> list[str] | None:
        if not self.member.is_primary or self._primary_changed():
            self.state = "E" if self.state == "T" else "I"
            return ["ERROR READONLY replica"]
        if self.member.failing_writes:
            return self._fail()
        if self.state == "T":
            self.pending[words[0]] = " ".join(words[1:])
        elif not self.member.group.commit({words[0]: " ".join(words[1:])}, self.member):
            return None
        return [f"COMPLETE s{next(_signatures)}"]

    def _primary_changed(self) -> bool:
        """Return whether the term has changed since a plain transaction began."""
        return self.state == "T" and self.plain and self.term != self.member.term

    def _fail(self) -> list[str]:
        self.state = "E" if self.state == "T" else "I"
        return ["ERROR FAILED disk"]

    def _execute(self, words: list[str]) -> list[str] | None:
        if words[0] not in self.prepared:
            return ["ERROR NOSTMT unknown"]
        kind, _ = self.prepared[words[0]]
        return self._write(words[1:]) if kind == "WRITE" else self._read(words[1:])

    def _prepare(self, words: list[str]) -> list[str]:
        self.prepared[words[0]] = words[1], " ".join(words[2:])
        return ["COMPLETE -"]

    def _set(self, words: list[str]) -> list[str]:
        self.settings[words[0]] = " ".join(words[1:])
        return ["COMPLETE -"]

    def _reset(self, _words: list[str]) -> list[str]:
        self.settings.clear()
        self.prepared.clear()
        return ["COMPLETE -"]

    def _status(self, _words: list[str]) -> list[str]:
        role = "primary" if self.member.is_primary else "replica"
        term, number = self.member.position
        fields = f"{role} {term} {term}.{number} {self.member.fenced_term} 0 0"
        return [f"ROW {fields} {self.member.connections}", "COMPLETE -"]

    def _pause(self, words: list[str]) -> list[str]:
        if self.member.is_primary or int(words[0]) <= self.member.term:
            return ["ERROR MALFORMED not a replica of a lower term"]
        self.member.fenced_term = int(words[0])
        return self._status([])

    def _resume(self, _words: list[str]) -> list[str]:
        self.member.fenced_term = 0
        return self._status([])

    def _demote(self, words: list[str]) -> list[str]:
        if int(words[0]) > self.member.term:
            self.member.group.demote(self.member)
        return self._status([])

    def _position(self) -> str:
        term, number = self.member.position
        return f"{term}.{number}"

    def _send(self, *lines: str) -> None:
        text = "".join(f"{line}\r\n" for line in lines)
        self.sock.sendall(text.encode("utf-8", "surrogateescape"))
