"""Dispatch: messages to their handlers, ticks to the systems in order."""

from collections.abc import Callable, Iterable
from typing import TypeVar

from bramleyrill_core._messages import Effect, Message
from bramleyrill_core._world import World

M = TypeVar("M", bound=Message)
Handler = Callable[[World, M], Iterable[Effect] | None]
System = Callable[[World], Iterable[Effect] | None]

_handlers_by_name: dict[str, Handler] = {}
_systems_by_name: dict[str, tuple[int, System]] = {}


def handles(kind: type[M]) -> Callable[[Handler], Handler]:
    """Register the one function that handles messages of `kind`.

    The function takes the world and the message and returns effects, or None for none.
    """

    def decorate(handler: Handler) -> Handler:
        name = kind.__name__
        if name in _handlers_by_name:
            raise ValueError(f"message {name} has two handlers")
        _handlers_by_name[name] = handler
        return handler

    return decorate


def system(name: str, order: int) -> Callable[[System], System]:
    """Register a function that runs over the tables each tick, lower `order` first."""

    def decorate(function: System) -> System:
        if name in _systems_by_name:
            raise ValueError(f"system {name} is registered twice")
        _systems_by_name[name] = (order, function)
        return function

    return decorate


class Core:
    """Run the registered handlers and systems over one world.

    The subsystems are registered when their packages are imported.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        ordered = sorted(_systems_by_name.items(), key=lambda item: (item[1][0], item[0]))
        self._systems = [function for _, (_, function) in ordered]

    def handle(self, message: Message) -> list[Effect]:
        """Handle one message; raise KeyError if nothing handles its kind."""
        return list(_handlers_by_name[type(message).__name__](self.world, message) or ())

    def tick(self) -> list[Effect]:
        """Run every system once."""
        effects: list[Effect] = []
        for run in self._systems:
            effects.extend(run(self.world) or ())
        return effects
