"""This VM's view of all VMs: rows, merging of updates, and which updates to pass on."""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field
from bramleyrill_base import Table

from bramleyrill_core._values import VmId
from bramleyrill_core._world import World
from bramleyrill_core.membership._messages import VmState, VmStateChanged, VmUpdate

# An update has about 100 bytes. 8 of them in each of 4 frames a second stay far below the 11 KB/s
# that a VM may use for control traffic.
UPDATES_PER_FRAME = 8
# Each update is passed on this many times per doubling of the number of VMs, as in SWIM.
RETRANSMISSIONS_PER_DOUBLING = 3
# A returning VM waits for a random time, up to this much per other inactive VM of its domain.
RETURN_JITTER_PER_VM = timedelta(milliseconds=50)
RETURN_JITTER_MAX = timedelta(seconds=10)
# Number of changes per domain that are kept to update a cached holder without hashing every VM.
MAX_CHANGES_PER_DOMAIN = 32

_LIVE_STATES = frozenset({VmState.ALIVE, VmState.SUSPECT})
DOWN_STATES = frozenset({VmState.DEAD, VmState.LEFT})


@define
class Vm:
    """A VM as this VM sees it.

    `is_confirmed` is False for a VM that is known only from the platform's list, until it or a
    peer reports its state. `listed_leaving` is whether that list marks it as leaving.
    """

    id: VmId
    domain: str
    region: str
    host: str
    port: int
    state: VmState = VmState.JOINING
    incarnation: int = 0
    is_confirmed: bool = False
    listed_leaving: bool = False
    changed_at: timedelta = timedelta()
    suspected_at: timedelta | None = None

    def to_update(self) -> VmUpdate:
        """Return the row as an update for peers."""
        return VmUpdate(
            self.id,
            self.domain,
            self.region,
            self.host,
            self.port,
            self.state,
            self.incarnation,
        )


@define
class MembershipTables:
    """Rows of membership; `vms` includes this VM itself.

    `live_by_domain` and `versions_by_domain` index the live VMs, so that neither a tick nor the
    choice of a holder iterates over all VMs. `transmissions_by_vm` counts how often the update of
    a VM was passed on. `pending` maps VMs to the time of their first unanswered heartbeat,
    `suspected` maps those that will be marked dead to the start of the suspicion, and
    `own_suspects` are the VMs that this VM itself suspected. `refused_vms` are VMs whose host
    refused the connection; they are marked dead sooner. `relay_origins_by_vm` maps a VM to the
    peers that asked for an indirect heartbeat to it. `joined` is set once this VM has the full view
    or serves alone. `alive_at` is when this VM becomes ALIVE.
    """

    vms: Table[VmId, Vm] = field(factory=Table)
    live_by_domain: dict[str, dict[VmId, None]] = field(factory=dict)
    inactive_by_domain: dict[str, int] = field(factory=dict)
    version: int = 0
    versions_by_domain: dict[str, int] = field(factory=dict)
    changes_by_domain: dict[str, deque[tuple[int, VmId, bool]]] = field(factory=dict)
    cached_holders: dict = field(factory=dict)
    transmissions_by_vm: dict[VmId, int] = field(factory=dict)
    ping_order: list[VmId] = field(factory=list)
    down_vms: deque[VmId] = field(factory=deque)
    suspected: dict[VmId, timedelta] = field(factory=dict)
    pending: dict[VmId, timedelta] = field(factory=dict)
    indirect_requested: set[VmId] = field(factory=set)
    relay_origins_by_vm: dict[VmId, list[VmId]] = field(factory=dict)
    own_suspects: set[VmId] = field(factory=set)
    refused_vms: set[VmId] = field(factory=set)
    gossip_pending: bool = False
    next_gossip_at: timedelta = timedelta()
    next_ping_at: timedelta = timedelta()
    rounds: int = 0
    pings_left: int = 0
    started_at: timedelta | None = None
    joined: bool = False
    alive_at: timedelta | None = None
    leaving: bool = False


def view_of(world: World) -> MembershipTables:
    """Return the tables; the first call adds the row of this VM."""
    tables = world.tables(MembershipTables)
    if tables.started_at is None:
        me = world.identity
        tables.started_at = tables.next_ping_at = world.clock.monotonic()
        # After a restart the incarnation must be above the one that peers know. The time of day
        # ensures that at once; if the clock is wrong, refuting the peers' updates does so later.
        incarnation = int(world.clock.now().timestamp())
        row = Vm(
            me.id,
            me.domain,
            me.region,
            me.host,
            me.port,
            incarnation=incarnation,
            is_confirmed=True,
        )
        tables.vms.add(me.id, row)
        tables.inactive_by_domain[me.domain] = 1
    return tables


def _update_indexes(tables: MembershipTables, row: Vm, previous: VmState | None) -> None:
    """Update the indexes after a change of state; `previous` is None for a new row."""
    is_live = row.state in _LIVE_STATES
    was_live = previous in _LIVE_STATES
    if previous is None:
        tables.ping_order.append(row.id)
    if not is_live and (previous is None or was_live):
        tables.inactive_by_domain[row.domain] = tables.inactive_by_domain.get(row.domain, 0) + 1
    if is_live and previous is not None and not was_live:
        tables.inactive_by_domain[row.domain] = tables.inactive_by_domain.get(row.domain, 1) - 1
    if is_live != was_live:
        live = tables.live_by_domain.setdefault(row.domain, {})
        if is_live:
            live[row.id] = None
        else:
            live.pop(row.id, None)
        tables.version += 1
        version = tables.versions_by_domain.get(row.domain, 0) + 1
        tables.versions_by_domain[row.domain] = version
        changes = tables.changes_by_domain.setdefault(
            row.domain, deque(maxlen=MAX_CHANGES_PER_DOMAIN)
        )
        changes.append((version, row.id, is_live))
    if row.state in DOWN_STATES and previous not in DOWN_STATES:
        tables.down_vms.append(row.id)


def set_state(world: World, row: Vm, state: VmState, incarnation: int) -> list[VmStateChanged]:
    """Change a row and its indexes, and schedule its update for peers.

    Return an effect if the state is a different one.
    """
    tables = view_of(world)
    previous = row.state
    row.state = state
    row.incarnation = incarnation
    tables.transmissions_by_vm[row.id] = 0
    if state is VmState.SUSPECT:
        tables.suspected.setdefault(row.id, world.clock.monotonic())
    elif state is not VmState.LEAVING:
        tables.suspected.pop(row.id, None)
        tables.own_suspects.discard(row.id)
        tables.refused_vms.discard(row.id)
    if state is previous:
        return []
    row.changed_at = world.clock.monotonic()
    tables.gossip_pending = True
    _update_indexes(tables, row, previous)
    return [VmStateChanged(row.id, state)]


def add_vm(world: World, update: VmUpdate, is_confirmed: bool) -> list[VmStateChanged]:
    """Add a row for a VM that is not known yet."""
    tables = view_of(world)
    row = Vm(
        update.vm,
        update.domain,
        update.region,
        update.host,
        update.port,
        update.state,
        update.incarnation,
        is_confirmed,
        changed_at=world.clock.monotonic(),
    )
    tables.vms.add(row.id, row)
    _update_indexes(tables, row, None)
    if row.state is VmState.SUSPECT:
        tables.suspected[row.id] = row.changed_at
    if is_confirmed:
        tables.transmissions_by_vm[row.id] = 0
        tables.gossip_pending = True
    return [VmStateChanged(row.id, row.state)]


def _set_location(tables: MembershipTables, row: Vm, update: VmUpdate) -> None:
    """Set the domain and region of a VM so far known only by its address, such as a seed peer."""
    if row.state in _LIVE_STATES:
        tables.live_by_domain.get(row.domain, {}).pop(row.id, None)
        tables.live_by_domain.setdefault(update.domain, {})[row.id] = None
        tables.version += 1
        for domain in (row.domain, update.domain):
            tables.versions_by_domain[domain] = tables.versions_by_domain.get(domain, 0) + 1
    else:
        tables.inactive_by_domain[row.domain] = tables.inactive_by_domain.get(row.domain, 1) - 1
        tables.inactive_by_domain[update.domain] = (
            tables.inactive_by_domain.get(update.domain, 0) + 1
        )
    row.domain, row.region = update.domain, update.region


def remove_vm(world: World, row: Vm) -> None:
    """Remove a VM that is unlisted and silent, or that has been down for a long time."""
    tables = view_of(world)
    tables.vms.remove(row.id)
    tables.transmissions_by_vm.pop(row.id, None)
    tables.pending.pop(row.id, None)
    tables.suspected.pop(row.id, None)
    tables.own_suspects.discard(row.id)
    tables.refused_vms.discard(row.id)
    if row.state not in _LIVE_STATES:
        tables.inactive_by_domain[row.domain] = tables.inactive_by_domain.get(row.domain, 1) - 1


def merge(world: World, updates: Iterable[VmUpdate]) -> list[VmStateChanged]:
    """Merge the updates of a peer: the higher incarnation wins, then the higher state."""
    tables = view_of(world)
    effects: list[VmStateChanged] = []
    for update in updates:
        if update.vm == world.identity.id:
            effects += _refute(world, update)
            continue
        row = tables.vms.by_id.get(update.vm)
        if row is None:
            if update.state not in DOWN_STATES:
                effects += add_vm(world, update, is_confirmed=True)
            continue
        if update.domain and not row.domain:
            _set_location(tables, row, update)
        if (update.incarnation, update.state) > (
            row.incarnation,
            row.state,
        ) or not row.is_confirmed:
            row.is_confirmed = True
            row.host, row.port = update.host, update.port
            effects += set_state(world, row, update.state, update.incarnation)
        elif row.state in DOWN_STATES and update.state not in DOWN_STATES:
            # The sender missed the change, so pass it on again. Otherwise a VM that is wrongly
            # marked dead would learn of it, and refute it, only if it happened to ping this VM.
            tables.transmissions_by_vm[row.id] = 0
            tables.gossip_pending = True
    return effects


def _refute(world: World, update: VmUpdate) -> list[VmStateChanged]:
    """Refute a wrong state of this VM in a peer's update, with a higher incarnation."""
    tables = view_of(world)
    me = tables.vms.by_id[world.identity.id]
    if update.incarnation < me.incarnation or update.state <= VmState.ALIVE:
        if update.incarnation > me.incarnation:
            me.incarnation = update.incarnation + 1
            tables.transmissions_by_vm[me.id] = 0
        return []
    if update.incarnation == me.incarnation and update.state == me.state:
        return []
    if tables.leaving:
        return set_state(world, me, me.state, update.incarnation + 1)
    if update.state in DOWN_STATES and me.state in _LIVE_STATES:
        # Other VMs have taken over this VM's members. Without a delay all VMs of a returning domain
        # would take their members back and dial at the same moment.
        tables.alive_at = world.clock.monotonic() + return_jitter(world)
        return set_state(world, me, VmState.JOINING, update.incarnation + 1)
    return set_state(world, me, me.state, update.incarnation + 1)


def return_jitter(world: World) -> timedelta:
    """Return how long this VM waits before it takes back its members.

    The delay is random and grows with the number of other VMs of its domain that are inactive, so
    that a single VM returns at once and a whole domain over several seconds.
    """
    tables = view_of(world)
    domain = world.identity.domain
    if not world.rules.on("return_jitter"):
        return timedelta()
    others_inactive = max(0, tables.inactive_by_domain.get(domain, 0) - 1)
    return world.random.random() * min(RETURN_JITTER_MAX, others_inactive * RETURN_JITTER_PER_VM)


def updates_for(world: World, about: VmId | None = None) -> tuple[VmUpdate, ...]:
    """Return the updates for a frame: this VM, then `about`, then those passed on least often."""
    tables = view_of(world)
    rows = tables.vms.by_id
    chosen = [world.identity.id]
    if about is not None and about in rows and rows[about].is_confirmed:
        chosen.append(about)
    limit = RETRANSMISSIONS_PER_DOUBLING * len(rows).bit_length()
    if tables.transmissions_by_vm:
        by_transmissions = sorted(tables.transmissions_by_vm.items(), key=lambda item: item[1])
        for vm, sent in by_transmissions[:UPDATES_PER_FRAME]:
            if len(chosen) < UPDATES_PER_FRAME and vm not in chosen:
                chosen.append(vm)
            if sent + 1 >= limit:
                del tables.transmissions_by_vm[vm]
            else:
                tables.transmissions_by_vm[vm] = sent + 1
    return tuple(rows[vm].to_update() for vm in chosen)


def full_view(world: World) -> tuple[VmUpdate, ...]:
    """Return updates of all confirmed VMs, for a VM that asks with an empty heartbeat."""
    return tuple(row.to_update() for row in view_of(world).vms if row.is_confirmed)
