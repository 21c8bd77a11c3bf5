"""A planned stop, from the request to the exit."""

import math
from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from bramleyrill_core._core import handles, system
from bramleyrill_core._messages import Effect
from bramleyrill_core._world import World
from bramleyrill_core.drain._messages import (
    CloseSession,
    EndIdleTransactions,
    Exit,
    ReleaseHolders,
    RequestsInFlight,
    SessionIdle,
    StopAccepting,
    StopRequested,
)
from bramleyrill_core.membership import MembershipTables, announce_leaving, announce_left
from bramleyrill_core.pools import PoolTables

# Idle sessions are closed over this time, so that their callers do not all reconnect at once.
SESSIONS_CLOSE_OVER = timedelta(seconds=5)
# Time kept at the end for the answers to the sessions that are ended, and for the last frames.
LAST_STEPS = timedelta(seconds=3)


@define
class DrainTables:
    """State of the stop; `in_flight` is None until the shell has reported."""

    started_at: timedelta | None = None
    idle_sessions: deque[int] = field(factory=deque)
    in_flight: int | None = None
    sessions: int = 0
    ended_transactions: bool = False
    exited: bool = False


def is_draining(world: World) -> bool:
    """Tell whether this VM is stopping and takes no new sessions."""
    return world.tables(DrainTables).started_at is not None


@handles(StopRequested)
def begin_stop(world: World, message: StopRequested) -> Iterable[Effect]:
    """Announce leaving, stop accepting and give the members up; a second request is ignored."""
    if is_draining(world):
        return []
    return [*announce_leaving(world), *_begin(world)]


def _begin(world: World) -> list[Effect]:
    world.tables(DrainTables).started_at = world.clock.monotonic()
    return [StopAccepting(), ReleaseHolders()]


@handles(SessionIdle)
def note_idle(world: World, message: SessionIdle) -> Iterable[Effect]:
    """Queue an idle session for closing."""
    tables = world.tables(DrainTables)
    if tables.started_at is not None:
        tables.idle_sessions.append(message.id)
    return []


@handles(RequestsInFlight)
def note_in_flight(world: World, message: RequestsInFlight) -> Iterable[Effect]:
    """Note how much is left to finish."""
    tables = world.tables(DrainTables)
    tables.in_flight = message.count
    tables.sessions = message.sessions
    return []


@system("drain", order=50)
def run_drain(world: World) -> Iterable[Effect]:
    """Close idle sessions step by step, and exit once nothing is left."""
    tables = world.tables(DrainTables)
    if tables.started_at is None:
        # The platform's list may have marked this VM as leaving.
        return _begin(world) if world.tables(MembershipTables).leaving else []
    if tables.exited:
        return []
    since = world.clock.monotonic() - tables.started_at
    effects: list[Effect] = _close_sessions(tables, since)
    is_late = since >= world.text.drain_timeout - LAST_STEPS
    if is_late and not tables.ended_transactions:
        tables.ended_transactions = True
        effects.append(EndIdleTransactions())
    if _is_finished(world, tables):
        tables.exited = True
        effects += [*announce_left(world), Exit()]
    return effects


def _close_sessions(tables: DrainTables, since: timedelta) -> list[Effect]:
    """Close as many sessions as keeps the pace; all of them once the time is over."""
    waiting = len(tables.idle_sessions)
    left = SESSIONS_CLOSE_OVER - since
    count = waiting
    if left > timedelta():
        # Ticks come at most every 10 ms; a slower tick only makes the last step larger.
        count = math.ceil(waiting * (timedelta(milliseconds=10) / left))
    return [CloseSession(tables.idle_sessions.popleft()) for _ in range(min(count, waiting))]


def _is_finished(world: World, tables: DrainTables) -> bool:
    """Tell whether the process may end: no request in flight, no session, no pooled connection.

    A request in flight is never cut off, whatever the time; sessions and pools without one do
    not hold up the exit beyond the timeout.
    """
    if tables.in_flight is None:
        return False
    if tables.in_flight > 0 and world.rules.on("finish_in_flight"):
        return False
    since = world.clock.monotonic() - tables.started_at
    if since >= world.text.drain_timeout - LAST_STEPS / 3:
        return True
    return tables.sessions == 0 and not world.tables(PoolTables).pools
