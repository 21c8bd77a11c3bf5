"""Recorded requests and answers of callers; times are monotonic, in seconds."""

import threading
from collections import Counter
from enum import Enum

from attrs import define, field, frozen


class Outcome(Enum):
    """Outcome of a request as its caller knows it."""

    ACKNOWLEDGED = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@frozen
class Write:
    """An attempt to write one entry under a key."""

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

    `nonce` was sent with the read; `nonces` came back, one per row. `row_count` is the number of
    rows according to the answer itself. `age` is the accepted staleness in seconds.
    """

    caller: str
    key: str
    started: float
    ended: float
    nonce: str
    nonces: tuple[str, ...]
    keys: tuple[str, ...]
    entries: tuple[str, ...]
    row_count: int
    age: float = 0.0


@frozen
class LossNotice:
    """Notice to a caller that one of its earlier writes was lost in a change of primary."""

    caller: str
    at: float


@define
class History:
    """Records of a set of callers; `failed_reads` counts failed reads by SQLSTATE."""

    writes: list[Write] = field(factory=list)
    reads: list[Read] = field(factory=list)
    loss_notices: list[LossNotice] = field(factory=list)
    failed_reads: Counter = field(factory=Counter)
    lock: threading.Lock = field(factory=threading.Lock, repr=False)

    def add(self, event: Write | Read | LossNotice) -> None:
        """Add one event; safe from several threads."""
        lists = {Write: self.writes, Read: self.reads, LossNotice: self.loss_notices}
        with self.lock:
            lists[type(event)].append(event)

    def add_failed_read(self, sqlstate: str) -> None:
        """Count a failed read; safe from several threads."""
        with self.lock:
            self.failed_reads[sqlstate] += 1

    def acknowledged_writes(self) -> list[Write]:
        """Return the acknowledged writes."""
        with self.lock:
            return [write for write in self.writes if write.outcome is Outcome.ACKNOWLEDGED]

    def failures(self) -> Counter:
        """Return how often each SQLSTATE was received, by reads and writes together.

        `connection` stands for a connection that ended without an error.
        """
        with self.lock:
            failed = Counter(self.failed_reads)
            for write in self.writes:
                if write.outcome is not Outcome.ACKNOWLEDGED:
                    failed[write.sqlstate or "connection"] += 1
        return failed

    def longest_gap(self, started: float, ended: float) -> float:
        """Return the longest time in seconds without an acknowledged write between two times."""
        times = [
            write.ended for write in self.acknowledged_writes() if started <= write.ended <= ended
        ]
        points = [started, *sorted(times), ended]
        return max(after - before for before, after in zip(points, points[1:], strict=False))
