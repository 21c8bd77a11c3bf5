"""State of one VM that decisions depend on: identity, clock, text in force, tables."""

from random import Random
from typing import TypeVar

from attrs import define, field, frozen
from bramleyrill_base import Clock

from bramleyrill_core._rules import Rules
from bramleyrill_core._values import VmId
from bramleyrill_core.text._model import EMPTY_TEXT, Text

T = TypeVar("T")


@frozen
class VmIdentity:
    """Id, failure domain, region and peer address of a VM."""

    id: VmId
    domain: str
    region: str
    host: str = "127.0.0.1"
    port: int = 0


@define
class World:
    """Everything that the decisions of one VM depend on.

    Each subsystem keeps its state in its own class of tables, which `tables` creates on first use.
    `text` is the configuration text in force.

    Example: `world.tables(SessionTables).sessions.by_id[7]`.
    """

    identity: VmIdentity
    clock: Clock
    random: Random = field(factory=lambda: Random(0))
    text: Text = EMPTY_TEXT
    rules: Rules = field(factory=Rules)
    _tables: dict[type, object] = field(factory=dict, init=False, repr=False)

    def tables(self, table_type: type[T]) -> T:
        """Return this world's instance of `table_type`, which is built without arguments."""
        tables = self._tables.get(table_type)
        if tables is None:
            tables = self._tables[table_type] = table_type()
        return tables
