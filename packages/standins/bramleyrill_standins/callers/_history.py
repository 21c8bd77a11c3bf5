"""What callers did and were told, on one monotonic clock in seconds."""

import threading
from collections import Counter
from enum import Enum

from attrs import define, field, frozen


class Outcome(Enum):
    """What a caller was told of a request."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@frozen
class Write:
    """One entry that a caller tried to write, under a key."""

    caller: str
    key: str
    entry: str
    started: float
    ended: float
    outcome: Outcome
    sqlstate: str = ""


@frozen
class Read:
    """One answered read of all entries under a key.

    `nonce` was sent along and `nonces` came back, one a row; `counted` is the number of rows that
    the answer itself states. `age` is the staleness in seconds that the caller accepted.
    """

    caller: str
    key: str
    started: float
    ended: float
    nonce: str
    nonces: tuple[str, ...]
    keys: tuple[str, ...]
    entries: tuple[str, ...]
    counted: int
    age: float = 0.0


@frozen
class ToldLost:
    """A caller was told that an earlier write of it was lost in a change of primary."""

    caller: str
    at: float


@define
class History:
    """Everything that a set of callers recorded; `failed_reads` counts reads by SQLSTATE."""

    writes: list[Write] = field(factory=list)
    reads: list[Read] = field(factory=list)
    told_lost: list[ToldLost] = field(factory=list)
    failed_reads: Counter = field(factory=Counter)
    lock: threading.Lock = field(factory=threading.Lock, repr=False)

    def add(self, event: Write | Read | ToldLost) -> None:
        """Add one event; safe from several threads."""
        lists = {Write: self.writes, Read: self.reads, ToldLost: self.told_lost}
        with self.lock:
            lists[type(event)].append(event)

    def add_failed_read(self, sqlstate: str) -> None:
        """Count a read that was not answered."""
        with self.lock:
            self.failed_reads[sqlstate] += 1

    def done_writes(self) -> list[Write]:
        """Return the acknowledged writes."""
        with self.lock:
            return [write for write in self.writes if write.outcome is Outcome.DONE]

    def failures(self) -> Counter:
        """Return how often each SQLSTATE came back, reads and writes together.

        `connection` stands for a connection that ended without an error.
        """
        with self.lock:
            failed = Counter(self.failed_reads)
            for write in self.writes:
                if write.outcome is not Outcome.DONE:
                    failed[write.sqlstate or "connection"] += 1
        return failed

    def longest_gap(self, started: float, ended: float) -> float:
        """Return the longest time between two acknowledgements in the span, in seconds."""
        times = [write.ended for write in self.done_writes() if started <= write.ended <= ended]
        points = [started, *sorted(times), ended]
        return max(after - before for before, after in zip(points, points[1:], strict=False))
