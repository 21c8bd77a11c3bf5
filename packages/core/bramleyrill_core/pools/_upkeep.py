"""Maintenance of the pools: locks, dials, and handover of members to other holders."""

from collections.abc import Iterable
from datetime import timedelta

from bramleyrill_core._core import handles, system
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import MemberId, VmId
from bramleyrill_core._world import World
from bramleyrill_core.membership import MembershipTables, VmState, holder_of
from bramleyrill_core.pools._leases import WARM_CONNECTIONS_PER_SLOT, close, pooled_limit
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

# More concurrent dials make a member that has just started refuse connections or slow down.
MAX_CONCURRENT_DIALS = 4
MIN_DIAL_BACKOFF = timedelta(milliseconds=100)
MAX_DIAL_BACKOFF = timedelta(seconds=5)
LOCK_RETRY_DELAY = timedelta(milliseconds=100)
MAX_LOCK_BACKOFF = timedelta(seconds=16)
# A loss of the lock delays the next requests for it only if it was less than this long ago.
LOCK_LOSS_MEMORY = timedelta(seconds=60)
# A lock request without an answer from the shell is repeated after this time. Before that, a second
# control connection would only be refused.
LOCK_REQUEST_TIMEOUT = timedelta(seconds=5)
# An idle transaction may keep its connection this long after the pool started to close. Statements
# in flight are never interrupted.
IDLE_TRANSACTION_TIMEOUT = timedelta(seconds=5)
EXCESS_IDLE_TIMEOUT = timedelta(seconds=60)


@handles(DialSucceeded)
def handle_dial_succeeded(world: World, message: DialSucceeded) -> Iterable[Effect]:
    """Add a new connection, or close it if the pool is no longer open."""
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
def handle_dial_failed(world: World, message: DialFailed) -> Iterable[Effect]:
    """Increase the delay before the next dial; close the pool if E was lost."""
    pool = world.tables(PoolTables).pools.get(message.member)
    if pool is None:
        return []
    pool.dialing = max(0, pool.dialing - 1)
    pool.failures += 1
    backoff = min(MAX_DIAL_BACKOFF, MIN_DIAL_BACKOFF * 2 ** min(pool.failures - 1, 6))
    pool.next_dial_at = world.clock.monotonic() + backoff * (0.5 + world.random.random())
    if message.lock_lost and pool.state is PoolState.OPEN:
        return _close_pool(world, pool, PoolState.LOST)
    return []


@handles(ConnectionLost)
def handle_connection_lost(world: World, message: ConnectionLost) -> Iterable[Effect]:
    """Remove a closed connection."""
    tables = world.tables(PoolTables)
    row = tables.connections.remove(message.connection)
    pool = tables.pools.get(row.member) if row is not None else None
    if pool is not None:
        pool.connections.discard(message.connection)
        if message.connection in pool.idle:
            pool.idle.remove(message.connection)
    return []


@handles(LockTaken)
def handle_lock_taken(world: World, message: LockTaken) -> Iterable[Effect]:
    """Open the pool, or release E if this VM is no longer the holder."""
    pool = world.tables(PoolTables).pools.get(message.member)
    if pool is None:
        return [ReleaseLock(message.member)]
    pool.lock_requested = False
    pool.evict_candidate = None
    if pool.state is PoolState.LOCKING:
        pool.state = PoolState.OPEN
        pool.next_dial_at = world.clock.monotonic()
    return []


@handles(LockRefused)
def handle_lock_refused(world: World, message: LockRefused) -> Iterable[Effect]:
    """Schedule another attempt and record which VM to evict if it turns out to be dead."""
    tables = world.tables(PoolTables)
    pool = tables.pools.get(message.member)
    if pool is None:
        return []
    pool.lock_requested = False
    pool.next_lock_at = world.clock.monotonic() + LOCK_RETRY_DELAY * (0.5 + world.random.random())
    pool.evict_candidate = message.held_by or tables.previous_holders.get(message.member)
    return []


@handles(ControlLost)
def handle_control_lost(world: World, message: ControlLost) -> Iterable[Effect]:
    """Close the pool before E is requested again, since another holder may have it now."""
    pool = world.tables(PoolTables).pools.get(message.member)
    if pool is None:
        return []
    pool.lock_requested = False
    if pool.state in (PoolState.LOCKING, PoolState.LOST):
        return []
    return _close_pool(world, pool, PoolState.LOST)


@system("pools", order=20)
def run_pools(world: World) -> Iterable[Effect]:
    """Create and close pools as holders change, and maintain each pool."""
    tables = world.tables(PoolTables)
    effects: list[Effect] = []
    view_version = world.tables(MembershipTables).version
    if view_version != tables.seen_version or world.text is not tables.seen_text:
        tables.seen_version, tables.seen_text = view_version, world.text
        effects += _update_pools(world, tables)
    for pool in tables.pools.rows():
        effects += _maintain_pool(world, tables, pool)
    return effects


def _update_pools(world: World, tables: PoolTables) -> list[Effect]:
    """Create and close pools after a change of the membership view or of the text."""
    effects: list[Effect] = []
    own_id = world.identity.id
    held_members: set[MemberId] = set()
    for database in world.text.databases.values():
        for member in database.members:
            holder = holder_of(world, member.id)
            if holder == own_id:
                held_members.add(member.id)
                limits = world.text.services[database.id].limits
                pool = tables.pools.get(member.id)
                if pool is None:
                    pool = tables.pools.add(member.id, Pool(member.id, limits))
                    pool.next_lock_at = _next_lock_attempt(world, tables, member.id)
                pool.limits = limits
            elif holder is not None:
                tables.previous_holders[member.id] = holder
    for pool in tables.pools.rows():
        if pool.member not in held_members and pool.state in (PoolState.OPEN, PoolState.LOCKING):
            effects += _close_pool(world, pool, PoolState.CLOSING)
    return effects


def _next_lock_attempt(world: World, tables: PoolTables, member: MemberId) -> timedelta:
    """Return when to request a lock, with a backoff that grows with its recent losses.

    Two VMs that consider each other dead but both reach the member would otherwise evict each
    other forever.
    """
    now = world.clock.monotonic()
    count, lost_at = tables.lock_losses.get(member, (0, now))
    if count == 0 or now - lost_at >= LOCK_LOSS_MEMORY:
        return now
    backoff = min(MAX_LOCK_BACKOFF, LOCK_RETRY_DELAY * 2 ** min(count, 8))
    return lost_at + backoff * (0.5 + world.random.random())


def _close_pool(world: World, pool: Pool, state: PoolState) -> list[Effect]:
    """Stop new leases and close the idle connections."""
    tables = world.tables(PoolTables)
    pool.state = state
    pool.closing_since = world.clock.monotonic()
    if state is PoolState.LOST:
        count, lost_at = tables.lock_losses.get(pool.member, (0, pool.closing_since))
        is_recent = pool.closing_since - lost_at < LOCK_LOSS_MEMORY
        tables.lock_losses[pool.member] = (count + 1 if is_recent else 1, pool.closing_since)
    effects: list[Effect] = []
    for connection in pool.idle:
        effects += close(world, tables.connections.by_id[connection])
    pool.idle.clear()
    return effects


def _maintain_pool(world: World, tables: PoolTables, pool: Pool) -> list[Effect]:
    now = world.clock.monotonic()
    if pool.state is PoolState.OPEN:
        effects = _close_excess(world, tables, pool, now)
        return effects + _dial(world, pool, now)
    if pool.state is PoolState.LOCKING:
        if not world.rules.on("lock_before_dial"):
            pool.state = PoolState.OPEN
        if pool.lock_requested and now - pool.next_lock_at < LOCK_REQUEST_TIMEOUT:
            return []
        if now < pool.next_lock_at:
            return []
        pool.lock_requested = True
        pool.next_lock_at = now
        return [TakeLock(pool.member, _may_evict(world, pool))]
    effects = _close_idle_transactions(world, tables, pool, now)
    if pool.connections or pool.dialing:
        return effects
    return effects + _remove_pool(world, tables, pool)


def _remove_pool(world: World, tables: PoolTables, pool: Pool) -> list[Effect]:
    """Release E and remove the pool; it is created again if this VM is the holder again."""
    effects = [] if pool.state is PoolState.LOST else [ReleaseLock(pool.member)]
    tables.pools.remove(pool.member)
    tables.seen_version = -1
    return effects


def _may_evict(world: World, pool: Pool) -> bool:
    """Return whether the VM that has the lock is known to be dead or to have left."""
    lock_holder = pool.evict_candidate
    if lock_holder is None:
        return False
    if lock_holder == world.identity.id or not world.rules.on("evict_only_dead"):
        # These backends belong to an earlier process of this VM: this process has no lock there.
        return True
    row = world.tables(MembershipTables).vms.get(lock_holder)
    return row is None or row.state in (VmState.DEAD, VmState.LEFT)


def _dial(world: World, pool: Pool, now: timedelta) -> list[Effect]:
    """Dial up to the warm target, a few connections at a time and never beyond the limit."""
    free_capacity = pooled_limit(pool) - len(pool.connections) - pool.dialing
    if not world.rules.on("pool_limit"):
        free_capacity = MAX_CONCURRENT_DIALS
    warm_target = WARM_CONNECTIONS_PER_SLOT * pool.limits.slots
    shortage = warm_target + pool.unmet_leases - len(pool.idle) - pool.dialing
    pool.unmet_leases = 0
    if now < pool.next_dial_at or not accepts_new_work(world, pool.member):
        return []
    max_dials = MAX_CONCURRENT_DIALS if world.rules.on("paced_dials") else free_capacity
    count = min(free_capacity, shortage, max_dials - pool.dialing)
    if count <= 0:
        return []
    pool.dialing += count
    pool.next_dial_at = now + pool.limits.dial * (0.5 + world.random.random())
    return [Dial(pool.member)] * count


def _close_excess(world: World, tables: PoolTables, pool: Pool, now: timedelta) -> list[Effect]:
    """Close the connection that has been idle longest if it is not needed.

    This applies to idle connections in excess of the warm target, to connections over the limit,
    and to members that accept no new work.
    """
    if not pool.idle:
        return []
    row = tables.connections.by_id[pool.idle[0]]
    is_excess = len(pool.idle) > WARM_CONNECTIONS_PER_SLOT * pool.limits.slots
    is_old = is_excess and now - row.idle_since >= EXCESS_IDLE_TIMEOUT
    is_over_limit = len(pool.connections) > pooled_limit(pool)
    if not (is_old or is_over_limit or not accepts_new_work(world, pool.member)):
        return []
    pool.idle.popleft()
    return close(world, row)


def _close_idle_transactions(
    world: World, tables: PoolTables, pool: Pool, now: timedelta
) -> list[Effect]:
    if now - pool.closing_since < IDLE_TRANSACTION_TIMEOUT:
        return []
    effects: list[Effect] = []
    for connection in pool.connections:
        row = tables.connections.by_id[connection]
        if row.leased and row.idle_transaction:
            effects += close(world, row)
    return effects


def previous_holder(world: World, member: MemberId) -> VmId | None:
    """Return the last other VM that was seen as the holder of `member`, or None."""
    return world.tables(PoolTables).previous_holders.get(member)
