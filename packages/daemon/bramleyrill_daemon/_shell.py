"""The loop around the core: messages in, ticks, effects out to their functions."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import gevent
from absl import logging
from bramleyrill_base import Registry, log_event
from bramleyrill_core import Core, Effect, Message, World

TICK_INTERVAL = timedelta(milliseconds=50)
# A tick this late means that the process was paused or starved; worth a line in the log.
LATE_TICK_THRESHOLD = timedelta(milliseconds=500)

# Pause before a loop that failed unexpectedly runs again.
LOOP_RETRY_DELAY = timedelta(seconds=1)

EffectHandler = Callable[["Shell", Any], None]

effect_handlers: Registry[EffectHandler] = Registry("effect")


def effect_handler(kind: type[Effect]) -> Callable[[EffectHandler], EffectHandler]:
    """Register the one function that carries out effects of `kind`; it must not block."""
    return effect_handlers.register(kind.__name__)


class Shell:
    """Run one core: feed it messages and ticks, and carry out what it answers.

    `parts` gives the functions of effects what they act on (peer network, pools, platform and so
    on) by the part's class.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self._core = Core(world)
        self._components: dict[type, Any] = {}
        self._after_tick: list[Callable[[], None]] = []
        self._unhandled_effects: set[str] = set()

    def add(self, component: Any) -> Any:
        """Make a part known by its class and return it."""
        self._components[type(component)] = component
        return component

    def component(self, kind: type) -> Any:
        """Return the part of a class; raise KeyError if the process runs without it."""
        return self._components[kind]

    def after_tick(self, function: Callable[[], None]) -> None:
        """Run a function after each tick; it must not block."""
        self._after_tick.append(function)

    def handle(self, message: Message) -> None:
        """Handle a message and carry out the effects."""
        self.run_effects(self._core.handle(message))

    def run_effects(self, effects: Iterable[Effect]) -> None:
        """Carry out effects in their order; a failure of one does not stop the others."""
        for effect in effects:
            name = type(effect).__name__
            handler = effect_handlers.by_name.get(name)
            if handler is None:
                if name not in self._unhandled_effects:
                    self._unhandled_effects.add(name)
                    log_event("effect_without_action", level=logging.WARNING, effect=name)
                continue
            try:
                handler(self, effect)
            except Exception as error:
                logging.exception("event=effect_failed effect=%s error=%s", name, error)

    def tick(self) -> None:
        """Run the systems once, then what was registered to run after them."""
        try:
            self.run_effects(self._core.tick())
        except Exception as error:
            # A fault in one system must not end the ticks that keep permits and locks alive.
            logging.exception("event=tick_failed error=%s", error)
        for function in self._after_tick:
            try:
                function()
            except Exception as error:
                logging.exception("event=after_tick_failed error=%s", error)

    def run(self) -> None:
        """Tick until the greenlet is killed."""
        clock = self.world.clock
        next_tick = clock.monotonic()
        while True:
            self.tick()
            next_tick += TICK_INTERVAL
            now = clock.monotonic()
            if now - next_tick > LATE_TICK_THRESHOLD:
                log_event("tick_late", level=logging.WARNING, by=now - next_tick)
            next_tick = max(next_tick, now)
            gevent.sleep(max((next_tick - now).total_seconds(), 0.001))


def run_forever(loop: Callable[[Any], None], component: Any) -> None:
    """Run a loop of a part again after an unexpected failure, which is logged."""
    while True:
        try:
            loop(component)
        except Exception as error:
            name = getattr(loop, "__name__", "loop")
            logging.exception("event=loop_failed loop=%s error=%s", name, error)
            gevent.sleep(LOOP_RETRY_DELAY.total_seconds())
