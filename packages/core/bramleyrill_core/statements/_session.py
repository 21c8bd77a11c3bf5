"""State of a caller's session and of an upstream connection that serves it."""

import itertools
from collections.abc import Iterator

from attrs import define, field

from bramleyrill_core._values import Mark
from bramleyrill_core.statements._memory import SessionMemory, entry_bytes
from bramleyrill_core.statements._values import (
    Prepared,
    Statement,
    StatementKind,
    TransactionState,
)

# Bound what a session holds by number, as SessionMemory does by size; more is refused.
MAX_VALUES = 256
MAX_PREPARED = 1024
# A connection on which more is set and prepared is reset before it is set up for another session.
MAX_CONNECTION_BYTES = 512 * 1024


@define(eq=False)
class StatementSession:
    """Values and prepared statements of a session, its transaction and the mark it must read.

    Values and prepared statements belong to the session and not to an upstream connection, so that
    any pooled connection can serve the session. They take `held_bytes` of the memory that all
    sessions share. `team` is the team of the operation in progress, or empty. `read_only` is
    whether the open transaction is read-only. `mark_unknown` is true if the outcome of a write is
    unknown, so that only the primary is certain to have it.

    Example:

        session = StatementSession("pieces")
        session.apply(Statement(StatementKind.SET, "1", name="zone", argument="utc"))
    """

    database: str
    values: dict[str, str] = field(factory=dict)
    prepared_by_name: dict[str, Prepared] = field(factory=dict)
    transaction: TransactionState = TransactionState.IDLE
    read_only: bool = False
    mark: Mark | None = None
    mark_unknown: bool = False
    team: str = ""
    memory: SessionMemory = field(factory=SessionMemory, repr=False)
    held_bytes: int = 0

    def apply(self, statement: Statement) -> bool:
        """Execute a statement that needs no member; return whether it was valid.

        Raise SessionFullError if there is no memory for it, and ValueError for a statement that
        needs a member.
        """
        kind = statement.kind
        if kind is StatementKind.SET:
            return self._set(statement.name, statement.argument)
        if kind is StatementKind.PREPARE:
            return self._prepare(statement)
        if kind is StatementKind.DEALLOCATE:
            return self._deallocate(statement.name)
        raise ValueError(f"{kind} needs a member")

    def release(self) -> None:
        """Give back the memory of a session that has ended."""
        self.values.clear()
        self.prepared_by_name.clear()
        self._resize(0)

    def resolve(self, statement: Statement) -> bool:
        """Set the prepared statement that an EXECUTE runs; return whether its name is known."""
        statement.prepared = self.prepared_by_name.get(statement.name)
        return statement.prepared is not None

    def begin(self, read_only: bool) -> None:
        """Open a transaction; a member is involved only from its first statement on."""
        self.transaction = TransactionState.OPEN
        self.read_only = read_only

    def end(self) -> None:
        """End the transaction."""
        self.transaction = TransactionState.IDLE
        self.read_only = False

    def fail(self) -> None:
        """Mark the open transaction as failed; it then accepts only COMMIT or ROLLBACK."""
        if self.transaction is TransactionState.OPEN:
            self.transaction = TransactionState.FAILED

    def record_mark(self, mark: Mark | None) -> None:
        """Raise the mark that later reads of this session must include.

        The mark comes from the primary and covers all writes before it, even one with an unknown
        outcome. None changes nothing.
        """
        if mark is not None:
            self.mark_unknown = False
        if mark is not None and (self.mark is None or mark > self.mark):
            self.mark = mark

    def _set(self, name: str, value: str) -> bool:
        if name not in self.values and len(self.values) >= MAX_VALUES:
            return False
        replaced = entry_bytes(name, self.values[name]) if name in self.values else 0
        self._resize(self.held_bytes - replaced + entry_bytes(name, value))
        self.values[name] = value
        return True

    def _prepare(self, statement: Statement) -> bool:
        already_prepared = statement.name in self.prepared_by_name
        if statement.prepared is None or (
            not already_prepared and len(self.prepared_by_name) >= MAX_PREPARED
        ):
            return False
        replaced = self._prepared_bytes(statement.name)
        shape = statement.prepared.shape
        self._resize(self.held_bytes - replaced + entry_bytes(statement.name, shape))
        self.prepared_by_name[statement.name] = statement.prepared
        return True

    def _deallocate(self, name: str) -> bool:
        self._resize(self.held_bytes - self._prepared_bytes(name))
        return self.prepared_by_name.pop(name, None) is not None

    def _prepared_bytes(self, name: str) -> int:
        prepared = self.prepared_by_name.get(name)
        return entry_bytes(name, prepared.shape) if prepared is not None else 0

    def _resize(self, wanted: int) -> None:
        self.memory.resize(self.held_bytes, wanted)
        self.held_bytes = wanted


@define(eq=False)
class ConnectionState:
    """Values set on an upstream connection, and the statements prepared on it.

    The connection serves many sessions, whose own names for prepared statements collide. Each
    statement therefore gets a new name, numbered per connection. A name that were derived from the
    shape could be the same for two shapes, and the later one would replace the earlier one at the
    member. `held_bytes` is the memory that the prepared statements take.

    Example:

        name = state.add_prepared(prepared)
        assert state.name_by_prepared[prepared] == name
    """

    values: dict[str, str] = field(factory=dict)
    name_by_prepared: dict[Prepared, str] = field(factory=dict)
    held_bytes: int = 0
    _numbers: Iterator[int] = field(factory=lambda: itertools.count(1))

    def add_prepared(self, prepared: Prepared) -> str:
        """Record a statement as prepared; return its name, which no other statement ever had."""
        name = self.name_by_prepared[prepared] = f"p{next(self._numbers)}"
        self.held_bytes += entry_bytes(name, prepared.shape)
        return name

    def forget_prepared(self, prepared: Prepared) -> None:
        """Record that the member does not know a statement, so that it is prepared again."""
        name = self.name_by_prepared.pop(prepared, None)
        if name is not None:
            self.held_bytes -= entry_bytes(name, prepared.shape)

    @property
    def is_full(self) -> bool:
        """Return whether so much is prepared that a reset should come before the next session."""
        return self.held_bytes > MAX_CONNECTION_BYTES

    def needs_reset(self, values: dict[str, str]) -> bool:
        """Return whether the connection has a value set that the session did not set."""
        return any(name not in values for name in self.values)

    def missing_values(self, values: dict[str, str]) -> list[tuple[str, str]]:
        """Return the (name, value) pairs to set before a session with `values` can use it."""
        return [(name, value) for name, value in values.items() if self.values.get(name) != value]

    def preparation_cost(self, values: dict[str, str], prepared: Prepared | None) -> int:
        """Return the cost of using the connection for a session.

        The cost is the number of commands needed to prepare the connection plus the number of
        values on it that they overwrite.
        """
        cost = len(self.missing_values(values))
        if self.needs_reset(values):
            cost = 1 + len(values)
        if prepared is not None and prepared not in self.name_by_prepared:
            cost += 1
        overwritten = sum(values.get(name) != value for name, value in self.values.items())
        return cost + overwritten

    def reset(self) -> None:
        """Clear the state, as a reset does at the member."""
        self.values.clear()
        self.name_by_prepared.clear()
        self.held_bytes = 0
