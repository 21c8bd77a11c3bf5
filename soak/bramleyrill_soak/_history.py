"""What callers were told and what members kept, and the promises that connect them."""

from enum import Enum

from attrs import define, field
from bramleyrill_standins.prepared import LineGroup

# Codes that promise that nothing of the attempt is kept.
NOT_KEPT = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"})


class Promise(Enum):
    """A promise of the product that the soak checks."""

    AT_MOST_ONCE = "a write took effect twice"
    TRUE_REFUSAL = "a write took effect although its caller was told that it did not"
    KEPT = "an acknowledged write is in no log"
    WHOLE_TRANSACTION = "a part of a transaction took effect without the rest"
    FRESH_READ = "a read missed an acknowledged write"
    OWN_ROWS = "a read returned what nobody wrote under its key"
    SERVED_AGAIN = "a caller was not served after the faults had ended"
    ORDERLY_STOP = "a process did not end in order"


@define(eq=False)
class Breach:
    """A promise that did not hold, with what was seen."""

    promise: Promise
    seen: str

    def __str__(self) -> str:
        return f"{self.promise.value}: {self.seen}"


class Fate(Enum):
    """What the caller of a write knows of it."""

    OPEN = "open"
    KEPT = "kept"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@define(eq=False)
class Write:
    """One attempt: its unique value, the keys that it writes, and when it was acknowledged.

    `session` numbers the session that it was made in.
    """

    value: str
    keys: tuple[str, ...]
    session: int = 0
    fate: Fate = Fate.OPEN
    acknowledged_at: float = 0.0


@define(eq=False)
class History:
    """All writes by value; `check` compares them with the commits of a group."""

    group: LineGroup
    writes_by_value: dict[str, Write] = field(factory=dict)
    breaches: list[Breach] = field(factory=list)

    def begin(self, value: str, *keys: str, session: int = 0) -> Write:
        """Note a write before it is sent."""
        write = self.writes_by_value[value] = Write(value, keys, session)
        return write

    def settle(self, write: Write, answer: str, now: float) -> None:
        """Note the answer to a write, or to the COMMIT of its transaction."""
        if answer.startswith("COMPLETE"):
            write.fate, write.acknowledged_at = Fate.KEPT, now
        elif answer.split(" ")[1:2][0] in NOT_KEPT:
            write.fate = Fate.REFUSED
        else:
            write.fate = Fate.UNKNOWN

    def report(self, promise: Promise, seen: str) -> None:
        """Note a breach."""
        self.breaches.append(Breach(promise, seen))

    def must_include(self, key: str, before: float, session: int | None = None) -> int:
        """Return the place in the history that a read of `key` must not be older than.

        That is the newest write that was acknowledged before `before`, of one session or of all.
        """
        for place in range(len(self.group.history) - 1, -1, -1):
            entry = self.group.history[place]
            write = self.writes_by_value.get(entry.data.get(key, ""))
            kept = write is not None and write.fate is Fate.KEPT
            if not kept or write.acknowledged_at >= before or entry.rolled_back:
                continue
            if session is None or write.session == session:
                return place
        return -1

    def check_read(self, key: str, row: str, floor: int, session: int = 0) -> None:
        """Check what a read of `key` returned against the place it must include."""
        place = self._newest_place(key, row)
        if row and place < 0:
            self.report(Promise.OWN_ROWS, f"{key} {row}")
            return
        rolled_back = floor >= 0 and self.group.history[floor].rolled_back
        if place < floor and not rolled_back:
            missed = self.writes_by_value[self.group.history[floor].data[key]]
            seen = f"{key} is {row!r}, not {missed.value!r} of session {missed.session} or newer"
            self.report(Promise.FRESH_READ, f"{seen}; read in session {session}")

    def _newest_place(self, key: str, value: str) -> int:
        for place in range(len(self.group.history) - 1, -1, -1):
            if value and self.group.history[place].data.get(key) == value:
                return place
        return -1

    def check(self) -> None:
        """Check the commits of the whole run."""
        seen: dict[str, int] = {}
        for entry in self.group.history:
            for value in set(entry.data.values()):
                seen[value] = seen.get(value, 0) + 1
            self._check_whole(entry.data)
        for value, write in self.writes_by_value.items():
            count = seen.get(value, 0)
            if count > 1:
                self.report(Promise.AT_MOST_ONCE, value)
            if count and write.fate is Fate.REFUSED:
                self.report(Promise.TRUE_REFUSAL, value)
            if not count and write.fate is Fate.KEPT:
                self.report(Promise.KEPT, value)

    def _check_whole(self, data: dict[str, str]) -> None:
        for value in set(data.values()):
            write = self.writes_by_value.get(value)
            if write is None or set(write.keys) != {key for key in data if data[key] == value}:
                self.report(Promise.WHOLE_TRANSACTION, f"{value} in {data}")
