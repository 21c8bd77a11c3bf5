"""Queue with a single reader, for the frames of a stream."""

from collections import deque
from typing import Any

from gevent.hub import Waiter, get_hub


class Inbox:
    """Unbounded queue from any greenlet to one reader; takes half the time of gevent's queues."""

    __slots__ = ("_items", "_waiter")

    def __init__(self) -> None:
        self._items: deque[Any] = deque()
        self._waiter: Waiter | None = None

    def put(self, item: Any) -> None:
        """Append an item without blocking."""
        self._items.append(item)
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            get_hub().loop.run_callback(waiter.switch, None)

    def get(self) -> Any:
        """Return the next item; block until there is one. Only one greenlet may call this."""
        while not self._items:
            waiter = self._waiter = Waiter()
            waiter.get()
        return self._items.popleft()
