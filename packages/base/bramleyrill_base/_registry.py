"""Registries of named objects, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Map names to registered objects.

    Example:

        commands = Registry("command")

        @commands.register("check")
        def check(...): ...

        commands.by_name["check"]
    """

    def __init__(self, item_kind: str) -> None:
        self.item_kind = item_kind
        self.by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers an object under `name`.

        The decorator raises ValueError if the name is already registered.
        """

        def decorate(item: T) -> T:
            if name in self.by_name:
                raise ValueError(f"{self.item_kind} {name!r} is registered twice")
            self.by_name[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Return the object registered under `name`; raise KeyError, listing the known names."""
        try:
            return self.by_name[name]
        except KeyError:
            known = ", ".join(sorted(self.by_name))
            raise KeyError(f"no {self.item_kind} named {name!r}; known: {known}") from None
