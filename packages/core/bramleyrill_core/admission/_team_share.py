"""Waiting requests of one team in one class of work."""

from collections import OrderedDict
from collections.abc import Hashable

from attrs import define, field

from bramleyrill_core.admission._team_ledger import TeamUse
from bramleyrill_core.admission._values import Request


@define(eq=False)
class TeamShare:
    """Waiting requests of a team; `resumed` are statements of transactions that have begun."""

    use: TeamUse
    new: OrderedDict[Hashable, Request] = field(factory=OrderedDict)
    resumed: OrderedDict[Hashable, Request] = field(factory=OrderedDict)

    @property
    def waiting(self) -> int:
        """Return how many of the team's requests wait."""
        return len(self.new) + len(self.resumed)

    def pop(self) -> Request:
        """Remove and return the request that goes first: that of a transaction, then the oldest."""
        return (self.resumed or self.new).popitem(last=False)[1]
