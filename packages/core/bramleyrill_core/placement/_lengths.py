"""Expected length of a transaction, for the choice of the member that runs all of it.

A transaction stays at its member, so a distant one costs a round trip for each statement.
"""

from attrs import define, field
from bramleyrill_base import Table

_WEIGHT = 0.05
# Assumed until transactions of a service have ended: two statements and the end.
ASSUMED_STATEMENTS = 3.0
# A transaction that the caller leaves open for long must not drive all others to the near member.
MAX_STATEMENTS = 50


@define(eq=False)
class TransactionLengths:
    """Moving average of the number of statements in a transaction, by service."""

    by_service: Table[str, float] = field(factory=Table)

    def expected(self, service: str) -> float:
        """Return how many statements a transaction of the service is expected to have."""
        return self.by_service.get(service) or ASSUMED_STATEMENTS

    def record(self, service: str, statements: int) -> None:
        """Count a transaction that has ended."""
        mean = self.expected(service)
        self.by_service.add(service, mean + (min(statements, MAX_STATEMENTS) - mean) * _WEIGHT)
