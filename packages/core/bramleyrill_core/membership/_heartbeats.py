"""Heartbeats: which VM to ping and when, and the handling of answers and timeouts."""

from collections.abc import Iterable
from datetime import timedelta

from bramleyrill_core._core import handles, system
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import VmId
from bramleyrill_core._world import World
from bramleyrill_core.membership._messages import (
    HeartbeatAcked,
    HeartbeatArrived,
    HeartbeatTimedOut,
    IndirectAcked,
    IndirectAsked,
    SendHeartbeat,
    SendHeartbeatAck,
    SendIndirect,
    SendIndirectAck,
    VmsListed,
    VmState,
    VmUpdate,
)
from bramleyrill_core.membership._view import (
    DOWN_STATES,
    MembershipTables,
    Vm,
    add_vm,
    full_view,
    merge,
    remove_vm,
    return_jitter,
    set_state,
    updates_for,
    view_of,
)

PING_INTERVAL = timedelta(seconds=1)
# A third of SUSPECT_AFTER, so that the relays still have a second for their own attempt.
PING_TIMEOUT = timedelta(milliseconds=500)
SUSPECT_AFTER = timedelta(milliseconds=1500)
DEAD_AFTER = timedelta(seconds=3)
# If a host refuses the connection, there is no process that could refute the suspicion. The
# remaining time is for a process that has just been restarted.
REFUSED_DEAD_AFTER = timedelta(milliseconds=500)
RELAY_COUNT = 2
# A VM that gets no answer starts to serve alone after this time, so that an isolated VM can start.
STANDALONE_AFTER = timedelta(seconds=2)
# After a partition both sides consider each other dead; one round in this many pings a dead VM.
DOWN_RETRY_ROUNDS = 4
FORGET_AFTER = timedelta(hours=1)
# With two peers, the number of VMs that know a change at least doubles per interval; 8 updates per
# frame limit the cost when a whole domain fails.
GOSSIP_PEERS = 2
GOSSIP_INTERVAL = timedelta(milliseconds=100)


@handles(VmsListed)
def handle_vm_list(world: World, message: VmsListed) -> Iterable[Effect]:
    """Add unknown VMs of the platform's list, and remove VMs that are unlisted and silent.

    The list is only a hint: a VM that answers stays although it is not listed.
    """
    tables = view_of(world)
    effects: list[Effect] = []
    listed = set()
    for vm in message.vms:
        listed.add(vm.id)
        row = tables.vms.by_id.get(vm.id)
        if row is None:
            update = VmUpdate(vm.id, vm.domain, vm.region, vm.host, vm.port, VmState.JOINING, 0)
            effects += add_vm(world, update, is_confirmed=False)
            row = tables.vms.by_id[vm.id]
        # Only a change of the flag counts, so that a VM that refuted it is not marked repeatedly.
        if vm.leaving and not row.listed_leaving and row.state < VmState.LEAVING:
            if row.id == world.identity.id:
                effects += announce_leaving(world)
            else:
                effects += set_state(world, row, VmState.LEAVING, row.incarnation)
        row.listed_leaving = vm.leaving
    for row in tables.vms.rows():
        is_silent = row.state in DOWN_STATES or not row.is_confirmed
        if row.id not in listed and is_silent and row.id != world.identity.id:
            remove_vm(world, row)
    if listed <= {world.identity.id} and len(tables.vms) == 1:
        effects += _join(world)
    return effects


@handles(HeartbeatArrived)
def handle_heartbeat(world: World, message: HeartbeatArrived) -> Iterable[Effect]:
    """Apply a heartbeat's updates and answer with this VM's, or with the full view on request."""
    if not message.updates:
        return [SendHeartbeatAck(message.vm, full_view(world))]
    effects: list[Effect] = list(merge(world, message.updates))
    effects.append(SendHeartbeatAck(message.vm, updates_for(world, about=message.vm)))
    return effects


@handles(HeartbeatAcked)
def handle_heartbeat_ack(world: World, message: HeartbeatAcked) -> Iterable[Effect]:
    """Record that a VM answered, and report it to the VMs that asked for an indirect heartbeat."""
    tables = view_of(world)
    effects: list[Effect] = list(merge(world, message.updates))
    if not tables.joined:
        # This was the full view, which the other VMs already have: pass on only this VM itself.
        tables.transmissions_by_vm = {world.identity.id: 0}
    effects += _record_answer(world, message.vm)
    for origin in tables.relay_origins_by_vm.pop(message.vm, ()):
        effects.append(SendIndirectAck(origin, message.vm))
    if not tables.joined:
        tables.joined = True
        tables.alive_at = world.clock.monotonic() + return_jitter(world)
    return effects


@handles(HeartbeatTimedOut)
def request_indirect_heartbeats(world: World, message: HeartbeatTimedOut) -> Iterable[Effect]:
    """Ask other VMs to send a heartbeat to the VM that did not answer."""
    tables = view_of(world)
    row = tables.vms.by_id.get(message.vm)
    if (
        row is None
        or not row.is_confirmed
        or row.state in DOWN_STATES
        or row.id == world.identity.id
    ):
        return []
    effects: list[Effect] = []
    if message.refused and row.state is not VmState.LEAVING and world.rules.on("trust_refusal"):
        tables.refused_vms.add(row.id)
        if row.state is not VmState.SUSPECT:
            tables.own_suspects.add(row.id)
            effects += set_state(world, row, VmState.SUSPECT, row.incarnation)
    tables.pending.setdefault(row.id, world.clock.monotonic())
    if row.id in tables.indirect_requested:
        return effects
    tables.indirect_requested.add(row.id)
    relays = _random_peers(world, RELAY_COUNT, row.id)
    return effects + [SendIndirect(relay, row.id) for relay in relays]


@handles(IndirectAsked)
def handle_indirect_request(world: World, message: IndirectAsked) -> Iterable[Effect]:
    """Send a heartbeat on behalf of a peer, and remember to report the answer."""
    tables = view_of(world)
    if message.vm not in tables.vms:
        return []
    origins = tables.relay_origins_by_vm.setdefault(message.vm, [])
    if message.origin not in origins:
        origins.append(message.origin)
    tables.pending.setdefault(message.vm, world.clock.monotonic())
    return [SendHeartbeat(message.vm, updates_for(world, about=message.vm))]


@handles(IndirectAcked)
def handle_indirect_ack(world: World, message: IndirectAcked) -> Iterable[Effect]:
    """Record that a VM answered a relay."""
    return _record_answer(world, message.vm)


def announce_leaving(world: World) -> list[Effect]:
    """Mark this VM as leaving and notify some peers at once; gossip informs the others."""
    tables = view_of(world)
    me = tables.vms.by_id[world.identity.id]
    if tables.leaving:
        return []
    tables.leaving = True
    effects = list(set_state(world, me, VmState.LEAVING, me.incarnation + 1))
    return effects + _notify_peers(world)


def announce_left(world: World) -> list[Effect]:
    """Mark this VM as having left and notify some peers at once, since it exits next."""
    tables = view_of(world)
    tables.leaving = True
    me = tables.vms.by_id[world.identity.id]
    effects = list(set_state(world, me, VmState.LEFT, me.incarnation))
    return effects + _notify_peers(world)


# Enough for the state of a leaving VM to spread even if one of the notified peers fails.
_NOTIFIED_PEERS = 3


def _notify_peers(world: World) -> list[Effect]:
    return [
        SendHeartbeat(vm, updates_for(world)) for vm in _random_peers(world, _NOTIFIED_PEERS, None)
    ]


def _random_peers(world: World, count: int, excluded: VmId | None) -> list[VmId]:
    """Return up to `count` distinct random peers that are not down.

    The cost does not grow with the number of VMs.
    """
    tables = view_of(world)
    order = tables.ping_order
    peers: list[VmId] = []
    for _ in range(min(len(order), 8 * count)):
        vm = order[world.random.randrange(len(order))]
        row = tables.vms.by_id.get(vm)
        if row is not None and row.state not in DOWN_STATES and vm != excluded and vm not in peers:
            peers.append(vm)
        if len(peers) == count:
            break
    return peers


def _record_answer(world: World, vm: VmId) -> list[Effect]:
    """Stop waiting for the VM; if suspected, it refutes that itself in its own updates."""
    tables = view_of(world)
    tables.pending.pop(vm, None)
    tables.indirect_requested.discard(vm)
    row = tables.vms.by_id.get(vm)
    if row is not None and row.state is VmState.LEAVING:
        tables.suspected.pop(vm, None)
    return []


def _join(world: World) -> list[Effect]:
    tables = view_of(world)
    tables.joined = True
    tables.alive_at = None
    me = tables.vms.by_id[world.identity.id]
    if me.state is not VmState.JOINING:
        return []
    return list(set_state(world, me, VmState.ALIVE, me.incarnation))


@system("membership", order=10)
def run_membership(world: World) -> Iterable[Effect]:
    """Send the due heartbeats, and mark silent VMs as suspect and then as dead."""
    tables = view_of(world)
    now = world.clock.monotonic()
    effects: list[Effect] = []
    is_return_due = tables.alive_at is not None and now >= tables.alive_at
    is_alone = not tables.joined and now - tables.started_at >= STANDALONE_AFTER
    if is_return_due or is_alone:
        effects += _join(world)
    for vm, sent_at in list(tables.pending.items()):
        effects += _handle_silence(world, tables, vm, now - sent_at)
    for vm, since in list(tables.suspected.items()):
        if now - since >= (REFUSED_DEAD_AFTER if vm in tables.refused_vms else DEAD_AFTER):
            row = tables.vms.by_id[vm]
            effects += set_state(world, row, VmState.DEAD, row.incarnation)
    if now >= tables.next_ping_at:
        # After a pause of the process there must be no burst of overdue heartbeats.
        tables.next_ping_at = max(tables.next_ping_at + PING_INTERVAL, now)
        effects += _ping(world, tables, now)
        # Tell a suspected VM directly, so that it can refute in time; random pings might miss it.
        for vm in tables.own_suspects:
            effects.append(SendHeartbeat(vm, updates_for(world, about=vm)))
        _forget_down_vm(world, tables, now)
    if tables.gossip_pending and tables.joined and now >= tables.next_gossip_at:
        effects += _gossip(world, tables, now)
    return effects


def gossip_soon(world: World) -> None:
    """Send heartbeats to two peers at the next tick, because the text version in them has changed.

    At one ping a second a new text would take longer than the allowed 5 s to reach 1,200 VMs.
    """
    tables = view_of(world)
    tables.transmissions_by_vm[world.identity.id] = 0
    tables.gossip_pending = True


def _gossip(world: World, tables: MembershipTables, now: timedelta) -> list[Effect]:
    """Send a change to random peers, so that it reaches all VMs in a second and not in minutes."""
    tables.next_gossip_at = now + GOSSIP_INTERVAL
    effects = [
        SendHeartbeat(vm, updates_for(world)) for vm in _random_peers(world, GOSSIP_PEERS, None)
    ]
    tables.gossip_pending = any(sent < GOSSIP_PEERS for sent in tables.transmissions_by_vm.values())
    return effects


def _handle_silence(
    world: World, tables: MembershipTables, vm: VmId, silence: timedelta
) -> list[Effect]:
    effects: list[Effect] = []
    if silence >= PING_TIMEOUT and vm not in tables.indirect_requested:
        effects += request_indirect_heartbeats(world, HeartbeatTimedOut(vm))
    if silence < SUSPECT_AFTER:
        return effects
    tables.pending.pop(vm)
    tables.indirect_requested.discard(vm)
    tables.relay_origins_by_vm.pop(vm, None)
    row = tables.vms.by_id[vm]
    if row.state in DOWN_STATES or not row.is_confirmed:
        return effects
    if row.state is VmState.LEAVING:
        # LEAVING stays, so that its members get other holders; it is dead if it does not answer.
        tables.suspected.setdefault(vm, world.clock.monotonic())
    elif row.state is not VmState.SUSPECT:
        tables.own_suspects.add(vm)
        effects += set_state(world, row, VmState.SUSPECT, row.incarnation)
    return effects


def _ping(world: World, tables: MembershipTables, now: timedelta) -> list[Effect]:
    tables.rounds += 1
    row = None
    if tables.rounds % DOWN_RETRY_ROUNDS == 0 and tables.down_vms:
        tables.down_vms.rotate(-1)
        row = tables.vms.by_id.get(tables.down_vms[-1])
        if row is None or row.state not in DOWN_STATES:
            tables.down_vms.pop()
            row = None
    row = row or _next_in_order(world, tables)
    if row is None:
        return []
    tables.pending.setdefault(row.id, now)
    updates = updates_for(world, about=row.id) if tables.joined else ()
    return [SendHeartbeat(row.id, updates)]


def _next_in_order(world: World, tables: MembershipTables) -> Vm | None:
    """Return the next VM to ping; the random order is shuffled again once all were pinged."""
    order = tables.ping_order
    for _ in range(len(order)):
        if tables.pings_left <= 0:
            _shuffle(world, tables)
        tables.pings_left -= 1
        row = tables.vms.by_id.get(order[tables.pings_left]) if order else None
        if row is not None and row.state not in DOWN_STATES:
            return row
    return None


def _shuffle(world: World, tables: MembershipTables) -> None:
    tables.ping_order[:] = [vm for vm in tables.ping_order if vm in tables.vms]
    world.random.shuffle(tables.ping_order)
    tables.pings_left = len(tables.ping_order)


def _forget_down_vm(world: World, tables: MembershipTables, now: timedelta) -> None:
    """Remove at most one VM that was down for FORGET_AFTER.

    The platform's list cannot be relied on for this: it may be unavailable for hours.
    """
    if not tables.down_vms:
        return
    row = tables.vms.by_id.get(tables.down_vms[0])
    if row is None or row.state not in DOWN_STATES:
        tables.down_vms.popleft()
    elif now - row.changed_at >= FORGET_AFTER:
        tables.down_vms.popleft()
        remove_vm(world, row)
