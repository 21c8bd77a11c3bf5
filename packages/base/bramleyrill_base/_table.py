"""Tables of entities, keyed by id."""

from collections.abc import Iterator
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")


class Table(Generic[K, V]):
    """Hold rows by their key.

    `by_id` is the mapping itself and may be read freely; `add` and `remove` change it. Systems
    that change a table while they walk it iterate over `rows()`, which is a copy.

    Example: `world.sessions.add(7, session)`, then `world.sessions.by_id[7]`.
    """

    __slots__ = ("by_id",)

    def __init__(self) -> None:
        self.by_id: dict[K, V] = {}

    def add(self, key: K, row: V) -> V:
        """Store `row` under `key`, in place of an earlier one, and return it."""
        self.by_id[key] = row
        return row

    def get(self, key: K) -> V | None:
        """Return the row of `key`, or None."""
        return self.by_id.get(key)

    def remove(self, key: K) -> V | None:
        """Drop and return the row of `key`, or return None."""
        return self.by_id.pop(key, None)

    def rows(self) -> list[V]:
        """Return the rows as a list that later changes do not touch."""
        return list(self.by_id.values())

    def __iter__(self) -> Iterator[V]:
        return iter(self.by_id.values())

    def __len__(self) -> int:
        return len(self.by_id)

    def __contains__(self, key: object) -> bool:
        return key in self.by_id
