"""The world of one VM: identity, clock, random source, text in force, tables."""

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
    """Everything that decisions depend on.

    Each subsystem keeps its rows in a class of its own tables, made on first use by `tables`.

    Example: `world.tables(SessionTables).sessions.by_id[7]`.
    """

    identity: VmIdentity
    clock: Clock
    random: Random = field(factory=lambda: Random(0))
    text: Text = EMPTY_TEXT
    rules: Rules = field(factory=Rules)
    _tables: dict[type, object] = field(factory=dict, init=False, repr=False)

    def tables(self, kind: type[T]) -> T:
        """Return this world's instance of a tables class, which takes no arguments."""
        found = self._tables.get(kind)
        if found is None:
            found = self._tables[kind] = kind()
        return found
