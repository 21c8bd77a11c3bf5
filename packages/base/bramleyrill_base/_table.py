"""Tables of entities, keyed by ID."""

from collections.abc import Iterator
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")


class Table(Generic[K, V]):
    """A mapping from keys to rows.

    `by_id` may be read directly; change it only with `add` and `remove`. Code that changes a
    table while iterating over it uses `rows()`, which returns a copy.

    Example: `world.sessions.add(7, session)`, then `world.sessions.by_id[7]`.
    """

    __slots__ = ("by_id",)

    def __init__(self) -> None:
        self.by_id: dict[K, V] = {}

    def add(self, key: K, row: V) -> V:
        """Store `row` under `key`, replacing any earlier row, and return it."""
        self.by_id[key] = row
        return row

    def get(self, key: K) -> V | None:
        """Return the row stored under `key`, or None."""
        return self.by_id.get(key)

    def remove(self, key: K) -> V | None:
        """Remove and return the row stored under `key`, or return None."""
        return self.by_id.pop(key, None)

    def rows(self) -> list[V]:
        """Return a list of the rows, unaffected by later changes to the table."""
        return list(self.by_id.values())

    def __iter__(self) -> Iterator[V]:
        return iter(self.by_id.values())

    def __len__(self) -> int:
        return len(self.by_id)

    def __contains__(self, key: object) -> bool:
        return key in self.by_id
