"""Queue with one reader, for the frames of a stream."""

from collections import deque
from typing import Any

from gevent.hub import Waiter, get_hub


class Inbox:
    """Hand items from any greenlet to the one that reads; gevent's queues cost twice as much."""

    __slots__ = ("_items", "_waiter")

    def __init__(self) -> None:
        self._items: deque[Any] = deque()
        self._waiter: Waiter | None = None

    def put(self, item: Any) -> None:
        """Add an item; does not block."""
        self._items.append(item)
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            get_hub().loop.run_callback(waiter.switch, None)

    def get(self) -> Any:
        """Return the next item; block until there is one."""
        while not self._items:
            waiter = self._waiter = Waiter()
            waiter.get()
        return self._items.popleft()
