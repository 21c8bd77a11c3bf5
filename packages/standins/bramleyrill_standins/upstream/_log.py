"""Term, role and log of one member of a replication group."""

import functools
import json
import time
from typing import Any

from attrs import frozen

from bramleyrill_standins.upstream._errors import SqlError

PRIMARY = "primary"
REPLICA = "replica"
FENCED = "fenced"
Write = tuple[str, dict[str, Any]]
STATUS_COLUMNS = ("member", "term", "position", "role", "leader", "last_term", "history")


@frozen
class Entry:
    """One committed transaction: its term, position (from 1), statements and commit time."""

    term: int
    position: int
    writes: tuple[Write, ...]
    committed_at: float


class GroupLog:
    """The log of a member, with the rules of fencing, promotion and following.

    A member starts at term 1 with the first leader as primary. `history` lists the terms in the log
    as (term, position before its first entry). `follow_pending` is set from the order to follow
    until the leader has sent its history. Changes are written to the journal, if there is one.
    """

    def __init__(self, member: str, first_leader: str, journal: str = "") -> None:
        self.member = member
        self.term = 1
        self.leader = first_leader
        self.role = PRIMARY if member == first_leader else FENCED
        self.follow_pending = member != first_leader
        self.entries: list[Entry] = []
        self._history: list[tuple[int, int]] = [(1, 0)]
        self._journal = None
        if journal:
            self._load(journal)
            self._journal = open(journal, "a", encoding="utf-8")  # noqa: SIM115

    @property
    def position(self) -> int:
        """Return the position of the last entry; 0 when the log is empty."""
        return len(self.entries)

    @property
    def history(self) -> list[tuple[int, int]]:
        """Return (term, start) of the terms that start within the log."""
        return [(term, start) for term, start in self._history if start <= self.position]

    def status(self) -> tuple[str, int, int, str, str, int, str]:
        """Return the row of `group_status()`."""
        last_term = self.entries[-1].term if self.entries else 0
        history = _history_text(tuple(self.history))
        return (
            self.member,
            self.term,
            self.position,
            self.role,
            self.leader,
            last_term,
            history,
        )

    def fence(self, term: int) -> None:
        """Fence this member at a higher term, or repeat the last fence; else raise SqlError."""
        already_fenced = term == self.term and self.role == FENCED and not self.follow_pending
        if term < self.term or (term == self.term and not already_fenced):
            raise SqlError("55000", f"term {term} is not above the term {self.term} in force")
        self.term, self.role, self.leader, self.follow_pending = term, FENCED, "", False
        self._write_state()

    def promote(self, term: int) -> None:
        """Become primary of the term at which this member is fenced; raise SqlError otherwise."""
        if self.role == PRIMARY and self.term == term:
            return
        if self.role != FENCED or self.term != term or self.follow_pending:
            raise SqlError("55000", f"not fenced at term {term}: {self.role} at term {self.term}")
        self.role, self.leader = PRIMARY, self.member
        self._history = [*self.history, (term, self.position)]
        self._write_state()

    def follow(self, term: int, leader: str) -> bool:
        """Set the leader to follow; return False if nothing changes.

        The member stays fenced until the leader has sent the last common position.
        """
        if term < self.term:
            raise SqlError("55000", f"term {term} is below the term {self.term} in force")
        if leader == self.member:
            raise SqlError("55000", "a member cannot follow itself")
        if term == self.term and self.role == PRIMARY:
            raise SqlError("55000", f"this member is the primary of term {term}")
        following = self.follow_pending or self.role == REPLICA
        if term == self.term and leader == self.leader and following:
            return False
        self.term, self.leader, self.role, self.follow_pending = term, leader, FENCED, True
        self._write_state()
        return True

    def common_position(self, history: list[tuple[int, int]], position: int) -> int:
        """Return the last position that this log shares with one of that history and position."""
        shared = 0
        own_terms = [*self.history, (0, self.position)]
        other_terms = [*history, (0, position)]
        for (own, own_next), (other, other_next) in zip(
            zip(own_terms, own_terms[1:], strict=False),
            zip(other_terms, other_terms[1:], strict=False),
            strict=False,
        ):
            if own != other:
                break
            shared = min(own_next[1], other_next[1])
            if own_next[1] != other_next[1]:
                break
        return min(shared, position, self.position)

    def start_following(self, history: list[tuple[int, int]], common: int) -> None:
        """Adopt the leader's history and drop the entries after `common`."""
        if common < self.position:
            self._write({"rewind": common})
            del self.entries[common:]
        self._history = [tuple(pair) for pair in history]
        self.role, self.follow_pending = REPLICA, False
        self._write_state()

    def append(self, writes: tuple[Write, ...]) -> Entry:
        """Append an entry of this primary's term and return it."""
        entry = Entry(self.term, self.position + 1, writes, time.monotonic())
        self.receive(entry)
        return entry

    def receive(self, entry: Entry) -> None:
        """Append an entry, received from the leader or made by this member."""
        if entry.position != self.position + 1:
            raise ValueError(f"entry {entry.position} does not follow position {self.position}")
        self.entries.append(entry)
        self._write({"entry": encode_entry(entry)})

    def _write_state(self) -> None:
        follow_pending = self.follow_pending
        self._write({"state": [self.term, self.role, self.leader, follow_pending, self._history]})

    def _write(self, record: dict[str, Any]) -> None:
        if self._journal is not None:
            self._journal.write(json.dumps(record) + "\n")
            self._journal.flush()

    def _load(self, journal: str) -> None:
        try:
            lines = open(journal, encoding="utf-8").read().split("\n")  # noqa: SIM115
        except FileNotFoundError:
            return
        # A killed process can leave an incomplete last line; that entry was never acknowledged.
        complete, incomplete = lines[:-1], lines[-1]
        if incomplete:
            with open(journal, "w", encoding="utf-8") as file:
                file.write("".join(line + "\n" for line in complete))
        for line in complete:
            record = json.loads(line)
            if "entry" in record:
                self.entries.append(decode_entry(record["entry"]))
            elif "rewind" in record:
                del self.entries[record["rewind"] :]
            else:
                self.term, self.role, self.leader, self.follow_pending, history = record["state"]
                self._history = [tuple(pair) for pair in history]
        # After a restart, the leader has to send its history again.
        if self.role == REPLICA:
            self.role, self.follow_pending = FENCED, True


@functools.lru_cache(maxsize=16)
def _history_text(history: tuple[tuple[int, int], ...]) -> str:
    return json.dumps(history)


def encode_entry(entry: Entry) -> list[Any]:
    """Return an entry as JSON values; bytes become hexadecimal."""
    writes = [
        [sql, {k: {"hex": v.hex()} if isinstance(v, bytes) else v for k, v in parameters.items()}]
        for sql, parameters in entry.writes
    ]
    return [entry.term, entry.position, writes, entry.committed_at]


def decode_entry(values: list[Any]) -> Entry:
    """Return the entry that `encode_entry` encoded."""
    term, position, writes, committed_at = values
    decoded = tuple(
        (
            sql,
            {k: bytes.fromhex(v["hex"]) if isinstance(v, dict) else v for k, v in params.items()},
        )
        for sql, params in writes
    )
    return Entry(term, position, decoded, committed_at)
