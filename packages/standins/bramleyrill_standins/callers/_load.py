"""A load of several callers at once."""

from collections import Counter
from typing import Any

from bramleyrill_standins.callers._caller import Caller, Endpoint, Login
from bramleyrill_standins.callers._history import History

JOIN_TIMEOUT_S = 60.0


class Load:
    """Callers that run until `stop`, with a common history.

    With fewer `keys` than callers, callers share keys and read each other's entries; by default
    each has its own.

    Example: `load = Load(endpoints, login, callers=6); load.start(); load.stop()`.
    """

    def __init__(
        self,
        endpoints: list[Endpoint],
        login: Login,
        *,
        callers: int,
        name: str = "caller",
        seed: int = 1,
        keys: int = 0,
        **options: Any,
    ) -> None:
        self.history = History()
        self.callers = [
            Caller(
                f"{name}{number}",
                endpoints,
                login,
                self.history,
                seed=seed * 1000 + number,
                key=f"{name}-key{number % (keys or callers)}",
                **options,
            )
            for number in range(callers)
        ]

    def start(self) -> None:
        """Start all callers."""
        for caller in self.callers:
            caller.start()

    def progressed(self, since: float, count: int) -> bool:
        """Return whether every caller has `count` answers to requests sent after `since`."""
        answered = Counter(
            event.caller
            for event in [*self.history.acknowledged_writes(), *self.history.reads]
            if event.started > since
        )
        return all(answered[caller.name] >= count for caller in self.callers)

    def stop(self) -> History:
        """Stop all callers and return their history; raise TimeoutError if one does not end."""
        for caller in self.callers:
            caller.stop()
        for caller in self.callers:
            caller.join(JOIN_TIMEOUT_S)
            if caller.is_alive():
                raise TimeoutError(f"{caller.name} still waits for an answer")
        return self.history
