"""Members of one service that speak the line protocol and replicate a common log."""

import itertools
import socket
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

import gevent
from attrs import define, field
from gevent.event import Event
from gevent.server import StreamServer

NO_DELAY = timedelta()


@define(eq=False)
class Entry:
    """One commit in a log: the term that it was made in and the items that it wrote.

    `rolled_back` tells that a member without it was promoted.
    """

    term: int
    data: dict[str, str]
    rolled_back: bool = False


@define(eq=False)
class Run:
    """A statement that a member ran, for tests to look at."""

    member: str
    statement_id: str
    text: str


class LineMember:
    """One member: a listener, a log, and faults that tests switch on.

    `silent` keeps it from answering, `failing` lets reads fail and `failing_writes` writes,
    `lose_answers` lets it run statements and close instead of answering, `lag` delays what it
    receives, `work` is how long a statement takes. `controls` has the verbs of what was sent to
    set a connection up; one that is `refused_control` fails.
    """

    def __init__(self, group: "LineGroup", name: str) -> None:
        self.group = group
        self.name = name
        self.log: list[Entry] = []
        self.silent = False
        self.failing = False
        self.failing_writes = False
        self.lose_answers = False
        self.lag = NO_DELAY
        self.work = NO_DELAY
        self.refused_control = ""
        self.controls: list[str] = []
        self.connections = 0
        self.dialed = 0
        self._sockets: set[Any] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    def start(self) -> None:
        """Listen again after a stop, with the log that the member had."""
        self._server = StreamServer(self.address, self._serve)
        self._server.start()

    @property
    def address(self) -> tuple[str, int]:
        """Return where the member listens."""
        return "127.0.0.1", self._server.server_port

    @property
    def running(self) -> bool:
        """Tell whether the member listens."""
        return self._server.started

    @property
    def leads(self) -> bool:
        """Tell whether the member is the primary."""
        return self.group.primary is self

    @property
    def position(self) -> tuple[int, int]:
        """Return the term and number of the last entry."""
        return self.group.term, len(self.log)

    def stop(self) -> None:
        """End all connections and refuse others from now on."""
        self._server.stop(timeout=0)
        for sock in list(self._sockets):
            # Wakes the greenlet that reads it, which then closes it.
            sock.shutdown(socket.SHUT_RDWR)

    def _serve(self, sock, _address) -> None:
        self.connections += 1
        self.dialed += 1
        self._sockets.add(sock)
        try:
            LineSession(self, sock).serve()
        except OSError:
            pass
        finally:
            self.connections -= 1
            self._sockets.discard(sock)


class LineGroup:
    """A primary and its replicas; `history` has all commits that were ever made.

    Example: `group = LineGroup("pieces", ["m1", "m2"])`, then `group.promote("m2")`.
    """

    def __init__(self, service: str, names: Iterable[str], max_connections: int = 16) -> None:
        self.service = service
        self.max_connections = max_connections
        self.term = 1
        self.runs: list[Run] = []
        self.history: list[Entry] = []
        self.members_by_name = {name: LineMember(self, name) for name in names}
        self.primary: LineMember | None = next(iter(self.members_by_name.values()))
        self.changed = Event()

    def promote(self, name: str) -> None:
        """Let a member lead the next term; others lose what it does not have."""
        member = self.members_by_name[name]
        if member is self.primary:
            return
        for entry in self.primary.log[len(member.log) :]:
            entry.rolled_back = True
        self.term += 1
        self.primary = member
        for other in self.members_by_name.values():
            other.log = list(member.log)

    def commit(self, data: dict[str, str]) -> None:
        """Append to the primary's log, and to those of the replicas after their lag."""
        entry = Entry(self.term, data)
        self.history.append(entry)
        self.primary.log.append(entry)
        length = len(self.primary.log)
        for member in self.members_by_name.values():
            if member is not self.primary:
                lag_s = member.lag.total_seconds()
                gevent.spawn_later(lag_s, self._receive, member, self.term, length)

    def _receive(self, member: LineMember, term: int, length: int) -> None:
        """Bring a replica's log to a length that the primary's had in a term."""
        if term == self.term:
            member.log.extend(self.primary.log[len(member.log) : length])

    def runs_of(self, statement_id: str) -> list[Run]:
        """Return where a statement ran."""
        return [run for run in self.runs if run.statement_id == statement_id]

    def close(self) -> None:
        """Stop all members."""
        for member in self.members_by_name.values():
            member.stop()


_signatures = itertools.count(1)


@define(eq=False)
class LineSession:
    """One connection to a member."""

    member: LineMember
    sock: object
    values: dict[str, str] = field(factory=dict)
    prepared: dict[str, str] = field(factory=dict)
    state: str = "I"
    plain: bool = False
    term: int = 0
    pending: dict[str, str] = field(factory=dict)

    def serve(self) -> None:
        """Serve until the connection ends."""
        reader = self.sock.makefile("rb")
        fields = reader.readline().decode().split()
        if not self._greet(fields):
            return
        for line in reader:
            if self.member.silent:
                continue
            _, statement_id, text = line.decode().rstrip("\r\n").split(" ", 2)
            lines = self._run(statement_id, text)
            if lines is None:
                return
            self._send(*lines, f"READY {self.state} {self._position()}")

    def _greet(self, fields: list[str]) -> bool:
        group = self.member.group
        if self.member.silent:
            Event().wait()
        if fields[1] != group.service or (len(fields) > 3 and fields[3] != self.member.name):
            self._send("ERROR WRONGNODE other")
            return False
        if self.member.connections > group.max_connections:
            self._send("ERROR MAXCONN full")
            return False
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
        if words[0] in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            self.member.group.runs.append(Run(self.member.name, statement_id, text))
            gevent.sleep(self.member.work.total_seconds())
        lines = handler(words[1:])
        if self.member.lose_answers and statement_id != "-":
            return None
        return lines

    def _begin(self, words: list[str]) -> list[str]:
        if not words and not self.member.leads:
            return ["ERROR READONLY replica"]
        self.state, self.plain = "T", not words
        self.term = self.member.group.term
        return ["COMPLETE -"]

    def _rollback(self, _words: list[str]) -> list[str]:
        self.state = "I"
        self.pending.clear()
        return ["COMPLETE -"]

    def _commit(self, _words: list[str]) -> list[str]:
        self.state = "I"
        if self.pending and (not self.member.leads or self.term != self.member.group.term):
            self.pending.clear()
            return ["ERROR READONLY replaced"]
        if self.pending:
            self.member.group.commit(dict(self.pending))
        self.pending.clear()
        return [f"COMPLETE s{next(_signatures)}"]

    def _read(self, words: list[str]) -> list[str]:
        if self._lost_the_lead():
            self.state = "E"
            return ["ERROR READONLY replaced"]
        if self.member.failing:
            return self._fail()
        for entry in reversed(self.member.log):
            if words[0] in entry.data:
                return [f"ROW {entry.data[words[0]]}", f"COMPLETE s{next(_signatures)}"]
        return [f"COMPLETE s{next(_signatures)}"]

    def _write(self, words: list[str]) -> list[str]:
        if not self.member.leads or self._lost_the_lead():
            self.state = "E" if self.state == "T" else "I"
            return ["ERROR READONLY replica"]
        if self.member.failing_writes:
            return self._fail()
        if self.state == "T":
            self.pending[words[0]] = " ".join(words[1:])
        else:
            self.member.group.commit({words[0]: " ".join(words[1:])})
        return [f"COMPLETE s{next(_signatures)}"]

    def _lost_the_lead(self) -> bool:
        """Tell whether the member led when a plain transaction began, and does no more."""
        return self.state == "T" and self.plain and self.term != self.member.group.term

    def _fail(self) -> list[str]:
        self.state = "E" if self.state == "T" else "I"
        return ["ERROR FAILED disk"]

    def _execute(self, words: list[str]) -> list[str]:
        kind = self.prepared.get(words[0])
        if kind is None:
            return ["ERROR NOSTMT unknown"]
        return self._write(words[1:]) if kind == "WRITE" else self._read(words[1:])

    def _prepare(self, words: list[str]) -> list[str]:
        self.prepared[words[0]] = words[1]
        return ["COMPLETE -"]

    def _set(self, words: list[str]) -> list[str]:
        self.values[words[0]] = " ".join(words[1:])
        return ["COMPLETE -"]

    def _reset(self, _words: list[str]) -> list[str]:
        self.values.clear()
        self.prepared.clear()
        return ["COMPLETE -"]

    def _status(self, _words: list[str]) -> list[str]:
        role = "primary" if self.member.leads else "replica"
        term, number = self.member.position
        return [f"ROW {role} {term} {term}.{number} 0 0 0 {self.member.connections}", "COMPLETE -"]

    def _position(self) -> str:
        term, number = self.member.position
        return f"{term}.{number}"

    def _send(self, *lines: str) -> None:
        self.sock.sendall("".join(f"{line}\r\n" for line in lines).encode())
