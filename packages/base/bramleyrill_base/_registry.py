"""Registries that decorators fill."""

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

    def __init__(self, what: str) -> None:
        self.what = what
        self.by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that stores its object under `name`; a name is taken once."""

        def decorate(item: T) -> T:
            if name in self.by_name:
                raise ValueError(f"{self.what} {name!r} is registered twice")
            self.by_name[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Return the object of `name`; raise KeyError that lists the known names."""
        try:
            return self.by_name[name]
        except KeyError:
            known = ", ".join(sorted(self.by_name))
            raise KeyError(f"no {self.what} named {name!r}; known: {known}") from None
