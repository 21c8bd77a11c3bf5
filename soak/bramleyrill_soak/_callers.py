"""Callers that write and read until stopped, and record the answers in the history."""

import itertools
import random
import time
from collections.abc import Callable
from typing import Protocol

import gevent
from attrs import define
from bramleyrill_standins.prepared import DeploymentError, LineCaller

from bramleyrill_soak._history import History, Outcome, Write
from bramleyrill_soak._world import (
    BOUNDED,
    KEY_BY_TEAM,
    MAX_STALENESS_S,
    OWN_WRITES,
    PRIMARY,
    SoakWorld,
)

OPERATION_PAUSE_S = 0.01
RECONNECT_PAUSE_S = 0.1
# Shares of transactions in which a caller disconnects before the COMMIT, or rolls back.
DISCONNECT_SHARE = 0.05
ROLL_BACK_SHARE = 0.1


class Operation(Protocol):
    """One operation of a caller on its open session; raises OSError if the session ends."""

    def __call__(self, caller: "SoakCaller") -> None: ...


operations_by_database: dict[str, list[Operation]] = {PRIMARY: [], OWN_WRITES: [], BOUNDED: []}


def operation_of(*databases: str) -> Callable[[Operation], Operation]:
    """Register an operation for callers of these databases."""

    def register(operation: Operation) -> Operation:
        for database in databases:
            operations_by_database[database].append(operation)
        return operation

    return register


@define(eq=False)
class SoakCaller:
    """A caller with its own key, which reconnects to a random VM when its session ends.

    `sessions` counts the sessions opened so far and so numbers the current one. `served` counts
    successful operations; `served_at` is the monotonic time of the last one.
    """

    name: str
    database: str
    team: str
    world: SoakWorld
    history: History
    rng: random.Random
    session: LineCaller | None = None
    sessions: int = 0
    served: int = 0
    served_at: float = 0.0
    numbers: itertools.count = itertools.count(1)

    @property
    def key(self) -> str:
        """Return the caller's own key."""
        return f"k-{self.name}"

    def other_key(self) -> str:
        """Return the key of a random writing caller."""
        return f"k-{self.rng.choice(self.world.writers)}"

    def run(self) -> None:
        """Run random operations until the greenlet is killed."""
        while True:
            try:
                self._connect()
                operation = self.rng.choice(operations_by_database[self.database])
                operation(self)
                gevent.sleep(OPERATION_PAUSE_S)
            except (OSError, DeploymentError):
                self.disconnect()
                gevent.sleep(RECONNECT_PAUSE_S)

    def ask(self, text: str) -> str:
        """Send a statement and return the first message of its answer."""
        answer = self.session.ask(text, f"{self.name}-{next(self.numbers)}")
        if not answer[-1]:
            raise ConnectionError("session ended")
        return answer[0]

    def begin_write(self, *keys: str) -> Write:
        """Record a write of a unique value before it is sent."""
        value = f"{self.name}.{next(self.numbers)}"
        return self.history.add_write(value, *keys, session=self.sessions)

    def record_answer(self, write: Write, answer: str) -> None:
        """Record the answer to a write."""
        self.history.record_answer(write, answer, time.monotonic())
        if write.outcome is Outcome.ACKNOWLEDGED:
            self.record_served()

    def record_served(self) -> None:
        """Count a successful operation."""
        self.served += 1
        self.served_at = time.monotonic()

    def disconnect(self) -> None:
        """Close the session."""
        if self.session is not None:
            self.session.close()
            self.session = None

    def _connect(self) -> None:
        if self.session is not None:
            return
        address = self.rng.choice(self.world.deployment.caller_addresses)
        self.session = LineCaller(address, self.database, KEY_BY_TEAM[self.team])
        self.sessions += 1
        if not self.session.opening_answer.startswith("READY"):
            raise ConnectionError(self.session.opening_answer)


@operation_of(PRIMARY, OWN_WRITES)
def write_one(caller: SoakCaller) -> None:
    """Write the caller's own key."""
    write = caller.begin_write(caller.key)
    write.outcome = Outcome.UNKNOWN
    caller.record_answer(write, caller.ask(f"WRITE {caller.key} {write.value}"))


@operation_of(PRIMARY)
def read_own(caller: SoakCaller) -> None:
    """Read the caller's own key, which only this caller writes."""
    _read(caller, caller.key, caller.history.required_index(caller.key, time.monotonic()))


@operation_of(OWN_WRITES)
def read_own_in_session(caller: SoakCaller) -> None:
    """Read the own key; writes of earlier sessions may be missing within the staleness bound."""
    now = time.monotonic()
    index_of_session = caller.history.required_index(caller.key, now, caller.sessions)
    index_of_all = caller.history.required_index(caller.key, now - MAX_STALENESS_S)
    _read(caller, caller.key, max(index_of_session, index_of_all))


@operation_of(BOUNDED)
def read_other(caller: SoakCaller) -> None:
    """Read another caller's key; writes within the staleness bound may be missing."""
    key = caller.other_key()
    _read(caller, key, caller.history.required_index(key, time.monotonic() - MAX_STALENESS_S))


@operation_of(PRIMARY)
def read_shared(caller: SoakCaller) -> None:
    """Read another caller's key at the primary, where no acknowledged write may be missing."""
    key = caller.other_key()
    _read(caller, key, caller.history.required_index(key, time.monotonic()))


@operation_of(PRIMARY, OWN_WRITES)
def write_pair(caller: SoakCaller) -> None:
    """Write two keys in one transaction; sometimes roll back or disconnect instead of a COMMIT."""
    keys = f"{caller.key}-left", f"{caller.key}-right"
    write = caller.begin_write(*keys)
    # Without a COMMIT none of the writes may take effect.
    write.outcome = Outcome.REFUSED
    if caller.ask("BEGIN").startswith("ERROR"):
        return
    for key in keys:
        if caller.ask(f"WRITE {key} {write.value}").startswith("ERROR"):
            caller.ask("ROLLBACK")
            return
    chance = caller.rng.random()
    if chance < DISCONNECT_SHARE:
        caller.disconnect()
        return
    if chance < DISCONNECT_SHARE + ROLL_BACK_SHARE:
        caller.ask("ROLLBACK")
        return
    write.outcome = Outcome.UNKNOWN
    caller.record_answer(write, caller.ask("COMMIT"))


def _read(caller: SoakCaller, key: str, required_index: int) -> None:
    answer = caller.ask(f"READ {key}")
    if answer.startswith("ERROR"):
        return
    caller.record_served()
    row = answer.partition(" ")[2] if answer.startswith("ROW") else ""
    caller.history.check_read(key, row, required_index, caller.sessions)
