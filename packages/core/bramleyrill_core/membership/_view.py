"""The view of the VMs: rows, the merge of updates, and what to pass on."""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field
from bramleyrill_base import Table

from bramleyrill_core._values import VmId
from bramleyrill_core._world import World
from bramleyrill_core.membership._messages import VmState, VmStateChanged, VmUpdate

# An update of about 100 bytes: 8 of them on each of 4 frames a second stay far below the 11 KB/s
# that a node may spend on control.
UPDATES_PER_FRAME = 8
# Each update is passed on this many times per doubling of the number of VMs, as SWIM has it.
RETRANSMISSIONS_PER_DOUBLING = 3
# Members of a domain that returns move to it over this long for each VM that was away.
RETURN_JITTER_PER_VM = timedelta(milliseconds=50)
RETURN_JITTER_MAX = timedelta(seconds=10)
# Changes of a domain that a remembered holder can catch up with, without hashing every VM.
CHANGES_KEPT = 32

_LIVE = frozenset({VmState.ALIVE, VmState.SUSPECT})
GONE = frozenset({VmState.DEAD, VmState.LEFT})


@define
class Vm:
    """One VM as this VM sees it."""

    id: VmId
    domain: str
    region: str
    host: str
    port: int
    state: VmState = VmState.JOINING
    incarnation: int = 0
    heard: bool = False
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
    choice of a holder walks over all VMs.
    """

    vms: Table[VmId, Vm] = field(factory=Table)
    live_by_domain: dict[str, dict[VmId, None]] = field(factory=dict)
    away_by_domain: dict[str, int] = field(factory=dict)
    version: int = 0
    versions_by_domain: dict[str, int] = field(factory=dict)
    changes_by_domain: dict[str, deque[tuple[int, VmId, bool]]] = field(factory=dict)
    holders: dict = field(factory=dict)
    sent_by_vm: dict[VmId, int] = field(factory=dict)
    ping_order: list[VmId] = field(factory=list)
    gone: deque[VmId] = field(factory=deque)
    suspected: dict[VmId, timedelta] = field(factory=dict)
    pending: dict[VmId, timedelta] = field(factory=dict)
    indirect_asked: set[VmId] = field(factory=set)
    relays: dict[VmId, list[VmId]] = field(factory=dict)
    own_suspects: set[VmId] = field(factory=set)
    refused: set[VmId] = field(factory=set)
    news: bool = False
    next_news: timedelta = timedelta()
    next_ping: timedelta = timedelta()
    rounds: int = 0
    rounds_left: int = 0
    started_at: timedelta | None = None
    joined: bool = False
    alive_at: timedelta | None = None
    leaving: bool = False


def view_of(world: World) -> MembershipTables:
    """Return the tables, with this VM's own row in place."""
    tables = world.tables(MembershipTables)
    if tables.started_at is None:
        me = world.identity
        tables.started_at = tables.next_ping = world.clock.monotonic()
        # A restarted VM must outdo what is known of its earlier life. The time of day does that
        # at once; where it is wrong, the refutation of what peers say does it later.
        incarnation = int(world.clock.now().timestamp())
        row = Vm(me.id, me.domain, me.region, me.host, me.port, incarnation=incarnation, heard=True)
        tables.vms.add(me.id, row)
        tables.away_by_domain[me.domain] = 1
    return tables


def _index(tables: MembershipTables, row: Vm, was: VmState | None) -> None:
    """Bring the indexes up to date after a change of state; `was` is None for a new row."""
    is_live = row.state in _LIVE
    was_live = was in _LIVE
    if was is None:
        tables.ping_order.append(row.id)
    if not is_live and (was is None or was_live):
        tables.away_by_domain[row.domain] = tables.away_by_domain.get(row.domain, 0) + 1
    if is_live and was is not None and not was_live:
        tables.away_by_domain[row.domain] = tables.away_by_domain.get(row.domain, 1) - 1
    if is_live != was_live:
        live = tables.live_by_domain.setdefault(row.domain, {})
        if is_live:
            live[row.id] = None
        else:
            live.pop(row.id, None)
        tables.version += 1
        version = tables.versions_by_domain.get(row.domain, 0) + 1
        tables.versions_by_domain[row.domain] = version
        changes = tables.changes_by_domain.setdefault(row.domain, deque(maxlen=CHANGES_KEPT))
        changes.append((version, row.id, is_live))
    if row.state in GONE and was not in GONE:
        tables.gone.append(row.id)


def set_state(world: World, row: Vm, state: VmState, incarnation: int) -> list[VmStateChanged]:
    """Change a row, its indexes and what is passed on; return the effect of a change."""
    tables = view_of(world)
    was = row.state
    row.state = state
    row.incarnation = incarnation
    tables.sent_by_vm[row.id] = 0
    if state is VmState.SUSPECT:
        tables.suspected.setdefault(row.id, world.clock.monotonic())
    elif state is not VmState.LEAVING:
        tables.suspected.pop(row.id, None)
        tables.own_suspects.discard(row.id)
        tables.refused.discard(row.id)
    if state is was:
        return []
    row.changed_at = world.clock.monotonic()
    tables.news = True
    _index(tables, row, was)
    return [VmStateChanged(row.id, state)]


def add_vm(world: World, update: VmUpdate, heard: bool) -> list[VmStateChanged]:
    """Add a row for a VM that was unknown."""
    tables = view_of(world)
    row = Vm(
        update.vm,
        update.domain,
        update.region,
        update.host,
        update.port,
        update.state,
        update.incarnation,
        heard,
        changed_at=world.clock.monotonic(),
    )
    tables.vms.add(row.id, row)
    _index(tables, row, None)
    if row.state is VmState.SUSPECT:
        tables.suspected[row.id] = row.changed_at
    if heard:
        tables.sent_by_vm[row.id] = 0
        tables.news = True
    return [VmStateChanged(row.id, row.state)]


def _place(tables: MembershipTables, row: Vm, update: VmUpdate) -> None:
    """Set the domain of a VM that was known by its address only, as a seed peer is."""
    if row.state in _LIVE:
        tables.live_by_domain.get(row.domain, {}).pop(row.id, None)
        tables.live_by_domain.setdefault(update.domain, {})[row.id] = None
        tables.version += 1
        for domain in (row.domain, update.domain):
            tables.versions_by_domain[domain] = tables.versions_by_domain.get(domain, 0) + 1
    else:
        tables.away_by_domain[row.domain] = tables.away_by_domain.get(row.domain, 1) - 1
        tables.away_by_domain[update.domain] = tables.away_by_domain.get(update.domain, 0) + 1
    row.domain, row.region = update.domain, update.region


def remove_vm(world: World, row: Vm) -> None:
    """Forget a VM that is neither listed nor answers."""
    tables = view_of(world)
    tables.vms.remove(row.id)
    tables.sent_by_vm.pop(row.id, None)
    tables.pending.pop(row.id, None)
    tables.suspected.pop(row.id, None)
    tables.own_suspects.discard(row.id)
    tables.refused.discard(row.id)
    if row.state not in _LIVE:
        tables.away_by_domain[row.domain] = tables.away_by_domain.get(row.domain, 1) - 1


def merge(world: World, updates: Iterable[VmUpdate]) -> list[VmStateChanged]:
    """Take in updates of a peer; newer incarnations win, then higher states."""
    tables = view_of(world)
    effects: list[VmStateChanged] = []
    for update in updates:
        if update.vm == world.identity.id:
            effects += _answer_about_self(world, update)
            continue
        row = tables.vms.by_id.get(update.vm)
        if row is None:
            if update.state not in GONE:
                effects += add_vm(world, update, heard=True)
            continue
        if update.domain and not row.domain:
            _place(tables, row, update)
        if (update.incarnation, update.state) > (row.incarnation, row.state) or not row.heard:
            row.heard = True
            row.host, row.port = update.host, update.port
            effects += set_state(world, row, update.state, update.incarnation)
        elif row.state in GONE and update.state not in GONE:
            # The sender missed the news. Without a reminder a VM that is wrongly called dead
            # would learn of it, and refute it, only when it meets this VM by chance.
            tables.sent_by_vm[row.id] = 0
            tables.news = True
    return effects


def _answer_about_self(world: World, update: VmUpdate) -> list[VmStateChanged]:
    """Refute what peers wrongly say about this VM, with a higher incarnation."""
    tables = view_of(world)
    me = tables.vms.by_id[world.identity.id]
    if update.incarnation < me.incarnation or update.state <= VmState.ALIVE:
        if update.incarnation > me.incarnation:
            me.incarnation = update.incarnation + 1
            tables.sent_by_vm[me.id] = 0
        return []
    if update.incarnation == me.incarnation and update.state == me.state:
        return []
    if tables.leaving:
        return set_state(world, me, me.state, update.incarnation + 1)
    if update.state in GONE and me.state in _LIVE:
        # Others have taken over this VM's members; taking them back all at once would make every
        # member of a returning domain dial at the same moment.
        tables.alive_at = world.clock.monotonic() + return_jitter(world)
        return set_state(world, me, VmState.JOINING, update.incarnation + 1)
    return set_state(world, me, me.state, update.incarnation + 1)


def return_jitter(world: World) -> timedelta:
    """Return how long this VM waits before it takes back its members.

    The wait is random, and grows with the number of other VMs of its domain that are away, so
    that one VM returns at once and a whole domain over several seconds.
    """
    tables = view_of(world)
    domain = world.identity.domain
    if not world.rules.on("return_jitter"):
        return timedelta()
    others_away = max(0, tables.away_by_domain.get(domain, 0) - 1)
    return world.random.random() * min(RETURN_JITTER_MAX, others_away * RETURN_JITTER_PER_VM)


def updates_for(world: World, about: VmId | None = None) -> tuple[VmUpdate, ...]:
    """Return what to put on a frame: this VM itself, `about`, then the least passed on."""
    tables = view_of(world)
    rows = tables.vms.by_id
    chosen = [world.identity.id]
    if about is not None and about in rows and rows[about].heard:
        chosen.append(about)
    limit = RETRANSMISSIONS_PER_DOUBLING * len(rows).bit_length()
    if tables.sent_by_vm:
        waiting = sorted(tables.sent_by_vm.items(), key=lambda item: item[1])
        for vm, sent in waiting[:UPDATES_PER_FRAME]:
            if len(chosen) < UPDATES_PER_FRAME and vm not in chosen:
                chosen.append(vm)
            if sent + 1 >= limit:
                del tables.sent_by_vm[vm]
            else:
                tables.sent_by_vm[vm] = sent + 1
    return tuple(rows[vm].to_update() for vm in chosen)


def whole_view(world: World) -> tuple[VmUpdate, ...]:
    """Return every VM that was heard of, for a VM that asks with an empty heartbeat."""
    return tuple(row.to_update() for row in view_of(world).vms if row.heard)
