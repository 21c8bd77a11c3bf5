"""Dispatch of messages to their handlers and of ticks to the registered systems."""

from collections.abc import Callable, Iterable
from typing import TypeVar

from bramleyrill_core._messages import Effect, Message
from bramleyrill_core._world import World

M = TypeVar("M", bound=Message)
Handler = Callable[[World, M], Iterable[Effect] | None]
System = Callable[[World], Iterable[Effect] | None]

_handlers_by_name: dict[str, Handler] = {}
_systems_by_name: dict[str, tuple[int, System]] = {}


def handles(message_type: type[M]) -> Callable[[Handler], Handler]:
    """Register the decorated function as the only handler of messages of `message_type`.

    The function receives the world and the message. It returns the effects, or None if there are
    none. Raise ValueError if the type already has a handler.
    """

    def decorate(handler: Handler) -> Handler:
        name = message_type.__name__
        if name in _handlers_by_name:
            raise ValueError(f"message {name} has two handlers")
        _handlers_by_name[name] = handler
        return handler

    return decorate


def system(name: str, order: int) -> Callable[[System], System]:
    """Register a function that runs on each tick; systems with a lower `order` run first.

    Raise ValueError if a system of this name is already registered.
    """

    def decorate(function: System) -> System:
        if name in _systems_by_name:
            raise ValueError(f"system {name} is registered twice")
        _systems_by_name[name] = (order, function)
        return function

    return decorate


class Core:
    """Runs the registered handlers and systems on one world.

    A subsystem registers its handlers and systems when its package is imported.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        ordered = sorted(_systems_by_name.items(), key=lambda item: (item[1][0], item[0]))
        self._systems = [function for _, (_, function) in ordered]

    def handle(self, message: Message) -> list[Effect]:
        """Handle one message and return its effects; raise KeyError if its type has no handler."""
        return list(_handlers_by_name[type(message).__name__](self.world, message) or ())

    def tick(self) -> list[Effect]:
        """Run every system once, in order, and return their effects."""
        effects: list[Effect] = []
        for run in self._systems:
            effects.extend(run(self.world) or ())
        return effects
