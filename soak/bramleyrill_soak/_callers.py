"""Callers that write and read without end, and note what they were told."""

import itertools
import random
import time
from collections.abc import Callable
from typing import Protocol

import gevent
from attrs import define
from bramleyrill_standins.prepared import DeploymentError, LineCaller

from bramleyrill_soak._history import Fate, History, Write
from bramleyrill_soak._world import BOUNDED, MAX_STALENESS_S, OWN_WRITES, PRIMARY, SoakWorld

PAUSE_S = 0.01
RECONNECT_PAUSE_S = 0.1
# How often a caller leaves in the middle of a transaction, or rolls it back.
LEAVE_SHARE = 0.05
ROLL_BACK_SHARE = 0.1


class Behaviour(Protocol):
    """One operation of a caller on its open session; it may raise OSError when that ends."""

    def __call__(self, caller: "SoakCaller") -> None: ...


behaviours_by_database: dict[str, list[Behaviour]] = {PRIMARY: [], OWN_WRITES: [], BOUNDED: []}


def behaviour(*databases: str) -> Callable[[Behaviour], Behaviour]:
    """Register an operation that callers of these databases carry out."""

    def register(operation: Behaviour) -> Behaviour:
        for database in databases:
            behaviours_by_database[database].append(operation)
        return operation

    return register


@define(eq=False)
class SoakCaller:
    """A caller with a key of its own, which reconnects to any VM when its session ends."""

    name: str
    database: str
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
        """Return the key of some caller that writes."""
        return f"k-{self.rng.choice(self.world.writers)}"

    def run(self) -> None:
        """Carry out operations until killed."""
        while True:
            try:
                self._connect()
                operation = self.rng.choice(behaviours_by_database[self.database])
                operation(self)
                gevent.sleep(PAUSE_S)
            except (OSError, DeploymentError):
                self.leave()
                gevent.sleep(RECONNECT_PAUSE_S)

    def ask(self, text: str) -> str:
        """Send a statement and return the first message of its answer."""
        answer = self.session.ask(text, f"{self.name}-{next(self.numbers)}")
        if not answer[-1]:
            raise ConnectionError("session ended")
        return answer[0]

    def begin_write(self, *keys: str) -> Write:
        """Note a write of a value that nobody else writes."""
        value = f"{self.name}.{next(self.numbers)}"
        return self.history.begin(value, *keys, session=self.sessions)

    def settle(self, write: Write, answer: str) -> None:
        """Note the answer to a write."""
        self.history.settle(write, answer, time.monotonic())
        if write.fate is Fate.KEPT:
            self.note_served()

    def note_served(self) -> None:
        """Note that an operation succeeded."""
        self.served += 1
        self.served_at = time.monotonic()

    def leave(self) -> None:
        """Close the session."""
        if self.session is not None:
            self.session.close()
            self.session = None

    def _connect(self) -> None:
        if self.session is not None:
            return
        address = self.rng.choice(self.world.deployment.caller_addresses)
        self.session = LineCaller(address, self.database)
        self.sessions += 1
        if not self.session.opening_answer.startswith("READY"):
            raise ConnectionError(self.session.opening_answer)


@behaviour(PRIMARY, OWN_WRITES)
def write_one(caller: SoakCaller) -> None:
    """Write the own key."""
    write = caller.begin_write(caller.key)
    write.fate = Fate.UNKNOWN
    caller.settle(write, caller.ask(f"WRITE {caller.key} {write.value}"))


@behaviour(PRIMARY)
def read_own(caller: SoakCaller) -> None:
    """Read the own key, which only this caller writes."""
    _read(caller, caller.key, caller.history.must_include(caller.key, time.monotonic()))


@behaviour(OWN_WRITES)
def read_own_in_session(caller: SoakCaller) -> None:
    """Read the own key; what an earlier session wrote may be missed within the bound."""
    now = time.monotonic()
    of_session = caller.history.must_include(caller.key, now, caller.sessions)
    of_all = caller.history.must_include(caller.key, now - MAX_STALENESS_S)
    _read(caller, caller.key, max(of_session, of_all))


@behaviour(BOUNDED)
def read_other(caller: SoakCaller) -> None:
    """Read another caller's key within the bound of the database."""
    key = caller.other_key()
    _read(caller, key, caller.history.must_include(key, time.monotonic() - MAX_STALENESS_S))


@behaviour(PRIMARY)
def read_shared(caller: SoakCaller) -> None:
    """Read another caller's key at the primary, where nothing may be missed."""
    key = caller.other_key()
    _read(caller, key, caller.history.must_include(key, time.monotonic()))


@behaviour(PRIMARY, OWN_WRITES)
def write_pair(caller: SoakCaller) -> None:
    """Write two keys in one transaction; at times roll it back or leave."""
    keys = f"{caller.key}-left", f"{caller.key}-right"
    write = caller.begin_write(*keys)
    # Without a COMMIT nothing of it may be kept.
    write.fate = Fate.REFUSED
    if caller.ask("BEGIN").startswith("ERROR"):
        return
    for key in keys:
        if caller.ask(f"WRITE {key} {write.value}").startswith("ERROR"):
            caller.ask("ROLLBACK")
            return
    chance = caller.rng.random()
    if chance < LEAVE_SHARE:
        caller.leave()
        return
    if chance < LEAVE_SHARE + ROLL_BACK_SHARE:
        caller.ask("ROLLBACK")
        return
    write.fate = Fate.UNKNOWN
    caller.settle(write, caller.ask("COMMIT"))


def _read(caller: SoakCaller, key: str, floor: int) -> None:
    answer = caller.ask(f"READ {key}")
    if answer.startswith("ERROR"):
        return
    caller.note_served()
    row = answer.partition(" ")[2] if answer.startswith("ROW") else ""
    caller.history.check_read(key, row, floor, caller.sessions)
