"""State of one team in a fair queue."""

from collections import OrderedDict
from collections.abc import Hashable

from attrs import define, field

from bramleyrill_core.admission._values import Request


@define(eq=False)
class TeamShare:
    """Waiting requests and slot use of a team in one class of work.

    `tag` is its used slot time in seconds per unit of `weight`, on the virtual clock of the
    queue's order. `running` is how many of its requests hold a slot, and `running_s` the slot time
    that they were charged for. `resumed` are statements of transactions that have begun.
    """

    name: str
    weight: int = 1
    tag: float = 0.0
    running: int = 0
    running_s: float = 0.0
    new: OrderedDict[Hashable, Request] = field(factory=OrderedDict)
    resumed: OrderedDict[Hashable, Request] = field(factory=OrderedDict)

    @property
    def waiting(self) -> int:
        """Return how many of the team's requests wait."""
        return len(self.new) + len(self.resumed)

    def pop(self) -> Request:
        """Remove and return the request that goes first: that of a transaction, then the oldest."""
        return (self.resumed or self.new).popitem(last=False)[1]
