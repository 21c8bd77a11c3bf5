"""The imperative shell: passes messages and ticks to the core, and runs its effects."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import gevent
from absl import logging
from bramleyrill_base import Registry, log_event
from bramleyrill_core import Core, Effect, Message, World

TICK_INTERVAL = timedelta(milliseconds=50)
# A tick this late is logged: the process was paused, or did not get enough CPU time.
LATE_TICK_THRESHOLD = timedelta(milliseconds=500)

# Delay before a loop is run again after an unexpected error.
LOOP_RETRY_DELAY = timedelta(seconds=1)

EffectHandler = Callable[["Shell", Any], None]

effect_handlers: Registry[EffectHandler] = Registry("effect")


def effect_handler(kind: type[Effect]) -> Callable[[EffectHandler], EffectHandler]:
    """Register the function that runs effects of `kind`; it must not block.

    Each kind has exactly one.
    """
    return effect_handlers.register(kind.__name__)


class Shell:
    """Run one core: pass it messages and ticks, and run the effects that it returns.

    Components (peer network, pools, platform and so on) are looked up by their class, so that the
    handlers of effects can use them.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self._core = Core(world)
        self._components: dict[type, Any] = {}
        self._after_tick: list[Callable[[], None]] = []
        self._unhandled_effects: set[str] = set()

    def add(self, component: Any) -> Any:
        """Register a component by its class and return it."""
        self._components[type(component)] = component
        return component

    def component(self, kind: type) -> Any:
        """Return the component of a class; raise KeyError if none is registered."""
        return self._components[kind]

    def after_tick(self, function: Callable[[], None]) -> None:
        """Register a function to call after each tick; it must not block."""
        self._after_tick.append(function)

    def handle(self, message: Message) -> None:
        """Pass a message to the core and run the effects."""
        self.run_effects(self._core.handle(message))

    def run_effects(self, effects: Iterable[Effect]) -> None:
        """Run effects in order; an error in one is logged and does not stop the others."""
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
        """Run one tick of the core, then the functions registered with `after_tick`."""
        try:
            self.run_effects(self._core.tick())
        except Exception as error:
            # An error in one system must not end the loop: ticks renew permits and locks.
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
    """Run a loop of a component; log an unexpected error and start the loop again."""
    while True:
        try:
            loop(component)
        except Exception as error:
            name = getattr(loop, "__name__", "loop")
            logging.exception("event=loop_failed loop=%s error=%s", name, error)
            gevent.sleep(LOOP_RETRY_DELAY.total_seconds())
