"""Planned stop of a VM, from the request to the exit."""

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

# Idle sessions are closed gradually over this time, so that callers do not all reconnect at once.
SESSION_CLOSE_PERIOD = timedelta(seconds=5)
# Part of the drain timeout reserved for answering the sessions that are ended, and for the last
# frames.
FINAL_PHASE = timedelta(seconds=3)


@define
class DrainTables:
    """State of the stop.

    `in_flight` is the number of requests in flight, None until the shell's first report.
    `sessions` is the number of open sessions in that report.
    """

    started_at: timedelta | None = None
    idle_sessions: deque[int] = field(factory=deque)
    in_flight: int | None = None
    sessions: int = 0
    idle_transactions_ended: bool = False
    exited: bool = False


def is_draining(world: World) -> bool:
    """Return whether this VM is stopping and takes no new sessions."""
    return world.tables(DrainTables).started_at is not None


@handles(StopRequested)
def handle_stop_request(world: World, message: StopRequested) -> Iterable[Effect]:
    """Announce leaving, stop accepting callers and release the members.

    A second request is ignored.
    """
    if is_draining(world):
        return []
    return [*announce_leaving(world), *_begin_drain(world)]


def _begin_drain(world: World) -> list[Effect]:
    world.tables(DrainTables).started_at = world.clock.monotonic()
    return [StopAccepting(), ReleaseHolders()]


@handles(SessionIdle)
def handle_idle_session(world: World, message: SessionIdle) -> Iterable[Effect]:
    """Queue an idle session for closing, if a stop is in progress."""
    tables = world.tables(DrainTables)
    if tables.started_at is not None:
        tables.idle_sessions.append(message.id)
    return []


@handles(RequestsInFlight)
def handle_in_flight_report(world: World, message: RequestsInFlight) -> Iterable[Effect]:
    """Record how many requests are in flight and how many sessions are open."""
    tables = world.tables(DrainTables)
    tables.in_flight = message.count
    tables.sessions = message.sessions
    return []


@system("drain", order=50)
def run_drain(world: World) -> Iterable[Effect]:
    """Close idle sessions gradually, and exit once nothing is left to finish."""
    tables = world.tables(DrainTables)
    if tables.started_at is None:
        # The platform may have marked this VM as leaving in its list of VMs.
        return _begin_drain(world) if world.tables(MembershipTables).leaving else []
    if tables.exited:
        return []
    elapsed = world.clock.monotonic() - tables.started_at
    effects: list[Effect] = _close_sessions(tables, elapsed)
    is_final_phase = elapsed >= world.text.drain_timeout - FINAL_PHASE
    if is_final_phase and not tables.idle_transactions_ended:
        tables.idle_transactions_ended = True
        effects.append(EndIdleTransactions())
    if _may_exit(world, tables):
        tables.exited = True
        effects += [*announce_left(world), Exit()]
    return effects


def _close_sessions(tables: DrainTables, elapsed: timedelta) -> list[Effect]:
    """Close a share of the idle sessions, or all of them once SESSION_CLOSE_PERIOD is over.

    The share is the part of the remaining time that one tick takes.
    """
    idle_count = len(tables.idle_sessions)
    remaining = SESSION_CLOSE_PERIOD - elapsed
    count = idle_count
    if remaining > timedelta():
        # A tick takes at least 10 ms. With slower ticks only the last step gets larger.
        count = math.ceil(idle_count * (timedelta(milliseconds=10) / remaining))
    return [CloseSession(tables.idle_sessions.popleft()) for _ in range(min(count, idle_count))]


def _may_exit(world: World, tables: DrainTables) -> bool:
    """Return whether the process may exit: no request in flight, no session and no pool is left.

    A request in flight is never cut off, however long it takes. Sessions and pools without one
    do not delay the exit beyond the drain timeout.
    """
    if tables.in_flight is None:
        return False
    if tables.in_flight > 0 and world.rules.on("finish_in_flight"):
        return False
    elapsed = world.clock.monotonic() - tables.started_at
    if elapsed >= world.text.drain_timeout - FINAL_PHASE / 3:
        return True
    return tables.sessions == 0 and not world.tables(PoolTables).pools
