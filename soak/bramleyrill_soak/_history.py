"""Writes with the answers that callers got, checked against the commits of the members."""

from enum import Enum

from attrs import define, field
from bramleyrill_standins.prepared import LineGroup

# Error codes that guarantee that the attempt had no effect.
NO_EFFECT_CODES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"})


class Promise(Enum):
    """A promise of the product that the soak checks; the value describes its violation."""

    AT_MOST_ONCE = "a write took effect twice"
    NO_EFFECT_IF_REFUSED = "a write took effect although it was refused"
    DURABLE_WRITE = "an acknowledged write is in no log"
    ATOMIC_TRANSACTION = "a part of a transaction took effect without the rest"
    FRESH_READ = "a read missed an acknowledged write"
    OWN_ROWS = "a read returned a value that nobody wrote under its key"
    OWN_TEAM = "a statement ran under another team than its caller's"
    WITHDRAWN_KEY = "a withdrawn key was accepted after the faults had ended"
    SERVED_AGAIN = "a caller was not served after the faults had ended"
    KEPT_COMMIT = "an acknowledged write is not in the log of the last primary"
    GIVEN_UP = "a commit that a change of primary had given up came back"
    ONE_WRITER = "a write was acknowledged that a replaced primary had committed"
    UNIQUE_TOKENS = "two different orders had one fencing token"
    CONFIGURATION_IN_FORCE = "the last configuration was not in force after the faults had ended"
    CLEAN_EXIT = "a process did not stop with exit code 0"


@define(eq=False)
class Violation:
    """A broken promise, with details of the observation."""

    promise: Promise
    detail: str

    def __str__(self) -> str:
        return f"{self.promise.value}: {self.detail}"


class Outcome(Enum):
    """Outcome of a write as its caller knows it."""

    OPEN = "open"
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@define(eq=False)
class Write:
    """One attempt to write a unique value under some keys.

    `session` is the number of the caller's session that made it, `acknowledged_at` the monotonic
    time of the acknowledgement.
    """

    value: str
    keys: tuple[str, ...]
    session: int = 0
    outcome: Outcome = Outcome.OPEN
    acknowledged_at: float = 0.0


@define(eq=False)
class History:
    """Recorded writes by value; `check` compares them with the commits of a group."""

    group: LineGroup
    writes_by_value: dict[str, Write] = field(factory=dict)
    violations: list[Violation] = field(factory=list)

    def add_write(self, value: str, *keys: str, session: int = 0) -> Write:
        """Record a write before it is sent."""
        write = self.writes_by_value[value] = Write(value, keys, session)
        return write

    def record_answer(self, write: Write, answer: str, now: float) -> None:
        """Record the answer to a write or to the COMMIT of its transaction."""
        if answer.startswith("COMPLETE"):
            write.outcome, write.acknowledged_at = Outcome.ACKNOWLEDGED, now
        elif answer.split(" ")[1:2][0] in NO_EFFECT_CODES:
            write.outcome = Outcome.REFUSED
        else:
            write.outcome = Outcome.UNKNOWN

    def record_violation(self, promise: Promise, detail: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(promise, detail))

    def required_index(self, key: str, before: float, session: int | None = None) -> int:
        """Return the index in the commit history that a read of `key` must include, -1 for none.

        That is the newest write acknowledged before the time `before`, of one session or of all.
        Writes that a promotion rolled back do not count.
        """
        for index in range(len(self.group.history) - 1, -1, -1):
            entry = self.group.history[index]
            write = self.writes_by_value.get(entry.data.get(key, ""))
            acknowledged = write is not None and write.outcome is Outcome.ACKNOWLEDGED
            if not acknowledged or write.acknowledged_at >= before or entry.rolled_back:
                continue
            if session is None or write.session == session:
                return index
        return -1

    def check_read(self, key: str, row: str, required_index: int, session: int = 0) -> None:
        """Check the value that a read of `key` returned against the index that it must include."""
        index = self._newest_index(key, row)
        if row and index < 0:
            self.record_violation(Promise.OWN_ROWS, f"{key} {row}")
            return
        rolled_back = required_index >= 0 and self.group.history[required_index].rolled_back
        if index < required_index and not rolled_back:
            missed = self.writes_by_value[self.group.history[required_index].data[key]]
            detail = f"{key} is {row!r}, not {missed.value!r} of session {missed.session} or newer"
            self.record_violation(Promise.FRESH_READ, f"{detail}; read in session {session}")

    def _newest_index(self, key: str, value: str) -> int:
        for index in range(len(self.group.history) - 1, -1, -1):
            if value and self.group.history[index].data.get(key) == value:
                return index
        return -1

    def check_teams(self, team_by_caller: dict[str, str]) -> None:
        """Check that members ran each statement under the team of its caller."""
        for run in self.group.runs:
            team = team_by_caller.get(run.statement_id.rpartition("-")[0])
            if team is not None and run.team != team:
                self.record_violation(Promise.OWN_TEAM, f"{run.statement_id} ran as {run.team}")

    def check_orders(self, orders: list[tuple[str, str, str, int]]) -> None:
        """Check that each fencing token belongs to one order of one holder."""
        orders_by_token: dict[tuple[str, int], set[tuple[str, str]]] = {}
        for service, member, holder, token in orders:
            orders_by_token.setdefault((service, token), set()).add((member, holder))
        for (service, token), different in orders_by_token.items():
            if len(different) > 1:
                self.record_violation(Promise.UNIQUE_TOKENS, f"{service} {token}: {different}")

    def check(self) -> None:
        """Check all recorded writes against the commits of the whole run."""
        commits_by_value: dict[str, int] = {}
        for entry in self.group.history:
            for value in set(entry.data.values()):
                commits_by_value[value] = commits_by_value.get(value, 0) + 1
            self._check_atomic(entry.data)
            if entry.deposed:
                self._check_not_acknowledged(entry.data, Promise.ONE_WRITER)
        if self.group.sync_replicas:
            self._check_kept()
        for entry in self.group.resurrected:
            self._check_not_acknowledged(entry.data, Promise.GIVEN_UP)
        for value, write in self.writes_by_value.items():
            count = commits_by_value.get(value, 0)
            if count > 1:
                self.record_violation(Promise.AT_MOST_ONCE, value)
            if count and write.outcome is Outcome.REFUSED:
                self.record_violation(Promise.NO_EFFECT_IF_REFUSED, value)
            if not count and write.outcome is Outcome.ACKNOWLEDGED:
                self.record_violation(Promise.DURABLE_WRITE, value)

    def _check_kept(self) -> None:
        """Check that no change of primary lost a commit that synchronous replicas confirmed."""
        kept = set(map(id, self.group.primary.log)) if self.group.primary is not None else set()
        for entry in self.group.history:
            if id(entry) not in kept:
                self._check_not_acknowledged(entry.data, Promise.KEPT_COMMIT)

    def _check_not_acknowledged(self, data: dict[str, str], promise: Promise) -> None:
        for value in set(data.values()):
            write = self.writes_by_value.get(value)
            if write is not None and write.outcome is Outcome.ACKNOWLEDGED:
                self.record_violation(promise, value)

    def _check_atomic(self, data: dict[str, str]) -> None:
        for value in set(data.values()):
            write = self.writes_by_value.get(value)
            if write is None or set(write.keys) != {key for key in data if data[key] == value}:
                self.record_violation(Promise.ATOMIC_TRANSACTION, f"{value} in {data}")
