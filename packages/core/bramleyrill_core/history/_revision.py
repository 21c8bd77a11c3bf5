"""Revision of an object together with the era of the history that it belongs to."""

from attrs import frozen


@frozen(order=True)
class StoreRevision:
    """Position in the store's history; the era counts before the number.

    A store that was restored from a copy gives its numbers out again, in a new era. Example:
    `StoreRevision(2, 7) > StoreRevision(1, 40)`.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        """Return the era and the number, as in logs."""
        return f"{self.era}:{self.number}"
