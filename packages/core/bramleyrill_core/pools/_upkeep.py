"""Upkeep of the pools: locks, dials, hand-over."""

from collections.abc import Iterable
from datetime import timedelta

from bramleyrill_core._core import handles, system
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import MemberId, VmId
from bramleyrill_core._world import World
from bramleyrill_core.membership import MembershipTables, VmState, holder_of
from bramleyrill_core.pools._leases import WARM_PER_SLOT, close, pooled_limit
from bramleyrill_core.pools._leaving import accepts_new_work
from bramleyrill_core.pools._messages import (
    ConnectionLost,
    ControlLost,
    Dial,
    DialFailed,
    DialSucceeded,
    LockRefused,
    LockTaken,
    ReleaseLock,
    TakeLock,
)
from bramleyrill_core.pools._tables import Connection, Pool, PoolState, PoolTables

# More dials at a time make a member that just came up refuse or slow down.
DIALS_AT_A_TIME = 4
DIAL_BACKOFF = timedelta(milliseconds=100)
DIAL_BACKOFF_MAX = timedelta(seconds=5)
LOCK_RETRY = timedelta(milliseconds=100)
LOCK_BACKOFF_MAX = timedelta(seconds=16)
LOSSES_FORGOTTEN_AFTER = timedelta(seconds=60)
# The shell may fail to answer; a second control connection would only be refused.
LOCK_ANSWER_AFTER = timedelta(seconds=5)
# A transaction may stay idle this long while its member changes hands; statements in flight are
# never cut off.
IDLE_TRANSACTION_LIMIT = timedelta(seconds=5)
IDLE_EXCESS_AFTER = timedelta(seconds=60)


@handles(DialSucceeded)
def note_dialed(world: World, message: DialSucceeded) -> Iterable[Effect]:
    """Add a connection, or close it when the pool no longer wants it."""
    tables = world.tables(PoolTables)
    pool = tables.pools.get(message.member)
    now = world.clock.monotonic()
    row = Connection(message.connection, message.member, idle_since=now)
    tables.connections.add(row.id, row)
    if pool is None:
        return close(world, row)
    pool.dialing = max(0, pool.dialing - 1)
    pool.failures = 0
    pool.connections.add(row.id)
    if pool.state is not PoolState.OPEN:
        return close(world, row)
    pool.idle.append(row.id)
    return []


@handles(DialFailed)
def note_dial_failed(world: World, message: DialFailed) -> Iterable[Effect]:
    """Wait longer before the next dial; without E, give the pool up."""
    pool = world.tables(PoolTables).pools.get(message.member)
    if pool is None:
        return []
    pool.dialing = max(0, pool.dialing - 1)
    pool.failures += 1
    pause = min(DIAL_BACKOFF_MAX, DIAL_BACKOFF * 2 ** min(pool.failures - 1, 6))
    pool.next_dial = world.clock.monotonic() + pause * (0.5 + world.random.random())
    if message.lock_lost and pool.state is PoolState.OPEN:
        return _stop(world, pool, PoolState.LOST)
    return []


@handles(ConnectionLost)
def note_lost(world: World, message: ConnectionLost) -> Iterable[Effect]:
    """Forget a connection that is closed."""
    tables = world.tables(PoolTables)
    row = tables.connections.remove(message.connection)
    pool = tables.pools.get(row.member) if row is not None else None
    if pool is not None:
        pool.connections.discard(message.connection)
        if message.connection in pool.idle:
            pool.idle.remove(message.connection)
    return []


@handles(LockTaken)
def note_lock_taken(world: World, message: LockTaken) -> Iterable[Effect]:
    """Open the pool, or release E when the member has moved on meanwhile."""
    pool = world.tables(PoolTables).pools.get(message.member)
    if pool is None:
        return [ReleaseLock(message.member)]
    pool.lock_asked = False
    pool.evict_from = None
    if pool.state is PoolState.LOCKING:
        pool.state = PoolState.OPEN
        pool.next_dial = world.clock.monotonic()
    return []


@handles(LockRefused)
def note_lock_refused(world: World, message: LockRefused) -> Iterable[Effect]:
    """Try again later; evict the other holder only if its VM is gone."""
    tables = world.tables(PoolTables)
    pool = tables.pools.get(message.member)
    if pool is None:
        return []
    pool.lock_asked = False
    pool.next_lock = world.clock.monotonic() + LOCK_RETRY * (0.5 + world.random.random())
    pool.evict_from = message.held_by or tables.previous.get(message.member)
    return []


@handles(ControlLost)
def note_control_lost(world: World, message: ControlLost) -> Iterable[Effect]:
    """Close the whole pool before E is asked for again: another holder may have it."""
    pool = world.tables(PoolTables).pools.get(message.member)
    if pool is None:
        return []
    pool.lock_asked = False
    if pool.state in (PoolState.LOCKING, PoolState.LOST):
        return []
    return _stop(world, pool, PoolState.LOST)


@system("pools", order=20)
def run_pools(world: World) -> Iterable[Effect]:
    """Follow the view of holders, take locks, keep pools warm, hand members over."""
    tables = world.tables(PoolTables)
    effects: list[Effect] = []
    version = world.tables(MembershipTables).version
    if version != tables.seen_version or world.text is not tables.seen_text:
        tables.seen_version, tables.seen_text = version, world.text
        effects += _follow_holders(world, tables)
    for pool in tables.pools.rows():
        effects += _run_pool(world, tables, pool)
    return effects


def _follow_holders(world: World, tables: PoolTables) -> list[Effect]:
    """Start and stop pools after a change of the view or of the text."""
    effects: list[Effect] = []
    me = world.identity.id
    mine: set[MemberId] = set()
    for database in world.text.databases.values():
        for member in database.members:
            holder = holder_of(world, member.id)
            if holder == me:
                mine.add(member.id)
                limits = world.text.services[database.id].limits
                pool = tables.pools.get(member.id)
                if pool is None:
                    pool = tables.pools.add(member.id, Pool(member.id, limits))
                    pool.next_lock = _next_try(world, tables, member.id)
                pool.limits = limits
            elif holder is not None:
                tables.previous[member.id] = holder
    for pool in tables.pools.rows():
        if pool.member not in mine and pool.state in (PoolState.OPEN, PoolState.LOCKING):
            effects += _stop(world, pool, PoolState.CLOSING)
    return effects


def _next_try(world: World, tables: PoolTables, member: MemberId) -> timedelta:
    """Return when to ask for a lock: later each time in a row that it was lost.

    When two VMs call each other dead but both reach the member, they would otherwise evict each
    other without end.
    """
    now = world.clock.monotonic()
    count, lost_at = tables.losses.get(member, (0, now))
    if count == 0 or now - lost_at >= LOSSES_FORGOTTEN_AFTER:
        return now
    pause = min(LOCK_BACKOFF_MAX, LOCK_RETRY * 2 ** min(count, 8))
    return lost_at + pause * (0.5 + world.random.random())


def _stop(world: World, pool: Pool, state: PoolState) -> list[Effect]:
    """Stop new leases and close what is idle."""
    tables = world.tables(PoolTables)
    pool.state = state
    pool.closing_since = world.clock.monotonic()
    if state is PoolState.LOST:
        count, lost_at = tables.losses.get(pool.member, (0, pool.closing_since))
        recent = pool.closing_since - lost_at < LOSSES_FORGOTTEN_AFTER
        tables.losses[pool.member] = (count + 1 if recent else 1, pool.closing_since)
    effects: list[Effect] = []
    for connection in pool.idle:
        effects += close(world, tables.connections.by_id[connection])
    pool.idle.clear()
    return effects


def _run_pool(world: World, tables: PoolTables, pool: Pool) -> list[Effect]:
    now = world.clock.monotonic()
    if pool.state is PoolState.OPEN:
        effects = _trim(world, tables, pool, now)
        return effects + _dial(world, pool, now)
    if pool.state is PoolState.LOCKING:
        if not world.rules.on("lock_before_dial"):
            pool.state = PoolState.OPEN
        if pool.lock_asked and now - pool.next_lock < LOCK_ANSWER_AFTER:
            return []
        if now < pool.next_lock:
            return []
        pool.lock_asked = True
        pool.next_lock = now
        return [TakeLock(pool.member, _may_evict(world, pool))]
    effects = _close_idle_transactions(world, tables, pool, now)
    if pool.connections or pool.dialing:
        return effects
    return effects + _finish(world, tables, pool)


def _finish(world: World, tables: PoolTables, pool: Pool) -> list[Effect]:
    """Release E after the last connection; take it anew where this VM is the holder again."""
    effects = [] if pool.state is PoolState.LOST else [ReleaseLock(pool.member)]
    tables.pools.remove(pool.member)
    tables.seen_version = -1
    return effects


def _may_evict(world: World, pool: Pool) -> bool:
    """Tell whether the VM that holds the lock is known to be gone."""
    other = pool.evict_from
    if other is None:
        return False
    if other == world.identity.id or not world.rules.on("evict_only_dead"):
        # The backends are left from this VM's earlier life: this process holds no lock here.
        return True
    row = world.tables(MembershipTables).vms.get(other)
    return row is None or row.state in (VmState.DEAD, VmState.LEFT)


def _dial(world: World, pool: Pool, now: timedelta) -> list[Effect]:
    """Dial up to the warm minimum, a few at a time and never beyond the limit."""
    room = pooled_limit(pool) - len(pool.connections) - pool.dialing
    if not world.rules.on("pool_limit"):
        room = DIALS_AT_A_TIME
    warm = WARM_PER_SLOT * pool.limits.slots
    missing = warm + pool.wanted - len(pool.idle) - pool.dialing
    pool.wanted = 0
    if now < pool.next_dial or not accepts_new_work(world, pool.member):
        return []
    at_a_time = DIALS_AT_A_TIME if world.rules.on("paced_dials") else room
    count = min(room, missing, at_a_time - pool.dialing)
    if count <= 0:
        return []
    pool.dialing += count
    pool.next_dial = now + pool.limits.dial * (0.5 + world.random.random())
    return [Dial(pool.member)] * count


def _trim(world: World, tables: PoolTables, pool: Pool, now: timedelta) -> list[Effect]:
    """Close the connection that was idle longest if it is in excess or the member is leaving."""
    if not pool.idle:
        return []
    row = tables.connections.by_id[pool.idle[0]]
    is_excess = len(pool.idle) > WARM_PER_SLOT * pool.limits.slots
    is_old = is_excess and now - row.idle_since >= IDLE_EXCESS_AFTER
    is_over = len(pool.connections) > pooled_limit(pool)
    if not (is_old or is_over or not accepts_new_work(world, pool.member)):
        return []
    pool.idle.popleft()
    return close(world, row)


def _close_idle_transactions(
    world: World, tables: PoolTables, pool: Pool, now: timedelta
) -> list[Effect]:
    if now - pool.closing_since < IDLE_TRANSACTION_LIMIT:
        return []
    effects: list[Effect] = []
    for connection in pool.connections:
        row = tables.connections.by_id[connection]
        if row.leased and row.idle_transaction:
            effects += close(world, row)
    return effects


def previous_holder(world: World, member: MemberId) -> VmId | None:
    """Return the last other VM that this VM saw as the holder of `member`, or None."""
    return world.tables(PoolTables).previous.get(member)
