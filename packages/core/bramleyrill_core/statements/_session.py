"""State of a caller's session: values, prepared statements, transaction."""

from attrs import define, field

from bramleyrill_core._values import Mark
from bramleyrill_core.statements._values import (
    Prepared,
    Statement,
    StatementKind,
    TransactionState,
)

# A session that sets or prepares more than this is refused more; memory stays bounded.
MAX_VALUES = 256
MAX_PREPARED = 1024


@define(eq=False)
class StatementSession:
    """What one session has set and prepared, its transaction and the log mark it must read.

    `mark_unknown` tells that a write has an unknown outcome, so that only the primary is sure to
    have it.

    Values and prepared statements stay with the session, not with an upstream connection, so any
    pooled connection can serve it.

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

    def apply(self, statement: Statement) -> bool:
        """Carry out a statement that needs no member; tell whether it was valid."""
        kind = statement.kind
        if kind is StatementKind.SET:
            return self._set(statement.name, statement.argument)
        if kind is StatementKind.PREPARE:
            return self._prepare(statement)
        if kind is StatementKind.DEALLOCATE:
            return self.prepared_by_name.pop(statement.name, None) is not None
        raise ValueError(f"{kind} needs a member")

    def resolve(self, statement: Statement) -> bool:
        """Look up what an EXECUTE runs; tell whether its name is known."""
        statement.prepared = self.prepared_by_name.get(statement.name)
        return statement.prepared is not None

    def begin(self, read_only: bool) -> None:
        """Open a transaction; a member takes part from its first statement on."""
        self.transaction = TransactionState.OPEN
        self.read_only = read_only

    def end(self) -> None:
        """Leave the transaction."""
        self.transaction = TransactionState.IDLE
        self.read_only = False

    def fail(self) -> None:
        """Mark the open transaction as failed: only its end is accepted."""
        if self.transaction is TransactionState.OPEN:
            self.transaction = TransactionState.FAILED

    def note_mark(self, mark: Mark | None) -> None:
        """Raise the mark that later reads of this session must include.

        A mark comes from the primary and covers all writes before it.
        """
        if mark is not None:
            self.mark_unknown = False
        if mark is not None and (self.mark is None or mark > self.mark):
            self.mark = mark

    def _set(self, name: str, value: str) -> bool:
        if name not in self.values and len(self.values) >= MAX_VALUES:
            return False
        self.values[name] = value
        return True

    def _prepare(self, statement: Statement) -> bool:
        known = statement.name in self.prepared_by_name
        if statement.prepared is None or (not known and len(self.prepared_by_name) >= MAX_PREPARED):
            return False
        self.prepared_by_name[statement.name] = statement.prepared
        return True


@define(eq=False)
class ConnectionState:
    """What an upstream connection holds: the values set on it and the names prepared on it."""

    values: dict[str, str] = field(factory=dict)
    prepared: set[Prepared] = field(factory=set)

    def needs_reset(self, values: dict[str, str]) -> bool:
        """Tell whether the connection has a value that the session did not set."""
        return any(name not in values for name in self.values)

    def missing_values(self, values: dict[str, str]) -> list[tuple[str, str]]:
        """Return the values to set before a statement of a session with `values` may run."""
        return [(name, value) for name, value in values.items() if self.values.get(name) != value]

    def cost_for(self, values: dict[str, str], prepared: Prepared | None) -> int:
        """Return the commands that prepare the connection, and the values that they destroy."""
        cost = len(self.missing_values(values))
        if self.needs_reset(values):
            cost = 1 + len(values)
        if prepared is not None and prepared not in self.prepared:
            cost += 1
        destroyed = sum(values.get(name) != value for name, value in self.values.items())
        return cost + destroyed

    def reset(self) -> None:
        """Forget everything, as the member does."""
        self.values.clear()
        self.prepared.clear()
