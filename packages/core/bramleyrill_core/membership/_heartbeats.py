"""Heartbeats: who is pinged when, and what follows from answers and from silence."""

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
    GONE,
    MembershipTables,
    Vm,
    add_vm,
    merge,
    remove_vm,
    return_jitter,
    set_state,
    updates_for,
    view_of,
    whole_view,
)

PING_INTERVAL = timedelta(seconds=1)
# A third of the time to suspicion: helpers still have a second for their own attempt.
PING_TIMEOUT = timedelta(milliseconds=500)
SUSPECT_AFTER = timedelta(milliseconds=1500)
DEAD_AFTER = timedelta(seconds=3)
# A host that refuses the connection has no process that could refute; the rest of the time is
# for one that was restarted just now.
REFUSED_DEAD_AFTER = timedelta(milliseconds=500)
HELPERS = 2
# A VM that nobody answers serves alone after this time, so that a cut-off VM can start.
ALONE_AFTER = timedelta(seconds=2)
# After a partition both sides call each other dead; one round in this many tries a dead VM.
RETRY_DEAD_ROUNDS = 4
FORGET_AFTER = timedelta(hours=1)
# Two peers each double the number of VMs that know a change per interval; 8 updates per frame
# bound the cost when a whole domain fails.
NEWS_PEERS = 2
NEWS_INTERVAL = timedelta(milliseconds=100)


@handles(VmsListed)
def note_list(world: World, message: VmsListed) -> Iterable[Effect]:
    """Take the platform's list as a hint: add unknown VMs, forget silent ones it dropped."""
    tables = view_of(world)
    effects: list[Effect] = []
    listed = set()
    for vm in message.vms:
        listed.add(vm.id)
        row = tables.vms.by_id.get(vm.id)
        if row is None:
            update = VmUpdate(vm.id, vm.domain, vm.region, vm.host, vm.port, VmState.JOINING, 0)
            effects += add_vm(world, update, heard=False)
            row = tables.vms.by_id[vm.id]
        # Only the change of the mark counts: a VM that refuted it is not marked again and again.
        if vm.leaving and not row.listed_leaving and row.state < VmState.LEAVING:
            if row.id == world.identity.id:
                effects += announce_leaving(world)
            else:
                effects += set_state(world, row, VmState.LEAVING, row.incarnation)
        row.listed_leaving = vm.leaving
    for row in tables.vms.rows():
        silent = row.state in GONE or not row.heard
        if row.id not in listed and silent and row.id != world.identity.id:
            remove_vm(world, row)
    if listed <= {world.identity.id} and len(tables.vms) == 1:
        effects += _join(world)
    return effects


@handles(HeartbeatArrived)
def answer_heartbeat(world: World, message: HeartbeatArrived) -> Iterable[Effect]:
    """Take in a heartbeat's updates and answer with ours, or with the whole view if it asks."""
    if not message.updates:
        return [SendHeartbeatAck(message.vm, whole_view(world))]
    effects: list[Effect] = list(merge(world, message.updates))
    effects.append(SendHeartbeatAck(message.vm, updates_for(world, about=message.vm)))
    return effects


@handles(HeartbeatAcked)
def note_ack(world: World, message: HeartbeatAcked) -> Iterable[Effect]:
    """Note that a VM answered; report it to those that asked for an indirect heartbeat."""
    tables = view_of(world)
    effects: list[Effect] = list(merge(world, message.updates))
    if not tables.joined:
        # The whole view is old news to everybody else.
        tables.sent_by_vm = {world.identity.id: 0}
    effects += _note_answer(world, message.vm)
    for origin in tables.relays.pop(message.vm, ()):
        effects.append(SendIndirectAck(origin, message.vm))
    if not tables.joined:
        tables.joined = True
        tables.alive_at = world.clock.monotonic() + return_jitter(world)
    return effects


@handles(HeartbeatTimedOut)
def ask_helpers(world: World, message: HeartbeatTimedOut) -> Iterable[Effect]:
    """Ask two other VMs to try the one that did not answer."""
    tables = view_of(world)
    row = tables.vms.by_id.get(message.vm)
    if row is None or not row.heard or row.state in GONE or row.id == world.identity.id:
        return []
    effects: list[Effect] = []
    if message.refused and row.state is not VmState.LEAVING and world.rules.on("trust_refusal"):
        tables.refused.add(row.id)
        if row.state is not VmState.SUSPECT:
            tables.own_suspects.add(row.id)
            effects += set_state(world, row, VmState.SUSPECT, row.incarnation)
    tables.pending.setdefault(row.id, world.clock.monotonic())
    if row.id in tables.indirect_asked:
        return effects
    tables.indirect_asked.add(row.id)
    helpers = _random_peers(world, HELPERS, row.id)
    return effects + [SendIndirect(helper, row.id) for helper in helpers]


@handles(IndirectAsked)
def try_for_peer(world: World, message: IndirectAsked) -> Iterable[Effect]:
    """Send a heartbeat on behalf of a peer."""
    tables = view_of(world)
    if message.vm not in tables.vms:
        return []
    origins = tables.relays.setdefault(message.vm, [])
    if message.origin not in origins:
        origins.append(message.origin)
    tables.pending.setdefault(message.vm, world.clock.monotonic())
    return [SendHeartbeat(message.vm, updates_for(world, about=message.vm))]


@handles(IndirectAcked)
def note_indirect_ack(world: World, message: IndirectAcked) -> Iterable[Effect]:
    """Note that a VM answered a helper."""
    return _note_answer(world, message.vm)


def announce_leaving(world: World) -> list[Effect]:
    """Mark this VM as leaving; the next frames tell the peers."""
    tables = view_of(world)
    me = tables.vms.by_id[world.identity.id]
    if tables.leaving:
        return []
    tables.leaving = True
    effects = list(set_state(world, me, VmState.LEAVING, me.incarnation + 1))
    return effects + _tell_peers(world)


def announce_left(world: World) -> list[Effect]:
    """Mark this VM as gone for good and tell some peers at once, since it exits next."""
    tables = view_of(world)
    tables.leaving = True
    me = tables.vms.by_id[world.identity.id]
    effects = list(set_state(world, me, VmState.LEFT, me.incarnation))
    return effects + _tell_peers(world)


# Enough that news of a leaving VM spreads although one of those told vanishes.
_TOLD_AT_ONCE = 3


def _tell_peers(world: World) -> list[Effect]:
    return [
        SendHeartbeat(vm, updates_for(world)) for vm in _random_peers(world, _TOLD_AT_ONCE, None)
    ]


def _random_peers(world: World, count: int, but: VmId | None) -> list[VmId]:
    """Return up to `count` distinct live peers, at a cost that does not grow with the view."""
    tables = view_of(world)
    order = tables.ping_order
    found: list[VmId] = []
    for _ in range(min(len(order), 8 * count)):
        vm = order[world.random.randrange(len(order))]
        row = tables.vms.by_id.get(vm)
        if row is not None and row.state not in GONE and vm != but and vm not in found:
            found.append(vm)
        if len(found) == count:
            break
    return found


def _note_answer(world: World, vm: VmId) -> list[Effect]:
    """Clear what silence had started; a suspected VM refutes by itself in its own updates."""
    tables = view_of(world)
    tables.pending.pop(vm, None)
    tables.indirect_asked.discard(vm)
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
    """Send the next heartbeat, and move silent VMs to suspect and then to dead."""
    tables = view_of(world)
    now = world.clock.monotonic()
    effects: list[Effect] = []
    is_due = tables.alive_at is not None and now >= tables.alive_at
    is_alone = not tables.joined and now - tables.started_at >= ALONE_AFTER
    if is_due or is_alone:
        effects += _join(world)
    for vm, sent_at in list(tables.pending.items()):
        effects += _check_silence(world, tables, vm, now - sent_at)
    for vm, since in list(tables.suspected.items()):
        if now - since >= (REFUSED_DEAD_AFTER if vm in tables.refused else DEAD_AFTER):
            row = tables.vms.by_id[vm]
            effects += set_state(world, row, VmState.DEAD, row.incarnation)
    if now >= tables.next_ping:
        # A pause of the process must not be made up for by a burst of heartbeats.
        tables.next_ping = max(tables.next_ping + PING_INTERVAL, now)
        effects += _ping(world, tables, now)
        # The suspected VM must hear of it in time to refute; by chance alone it might not.
        for vm in tables.own_suspects:
            effects.append(SendHeartbeat(vm, updates_for(world, about=vm)))
        _forget(world, tables, now)
    if tables.news and tables.joined and now >= tables.next_news:
        effects += _spread_news(world, tables, now)
    return effects


def spread_soon(world: World) -> None:
    """Send heartbeats to two peers at the next tick, since what they carry beside has changed.

    The version of the text travels with heartbeats. At one ping a second it would take longer
    than the 5 s that a text may take among 1,200 VMs.
    """
    tables = view_of(world)
    tables.sent_by_vm[world.identity.id] = 0
    tables.news = True


def _spread_news(world: World, tables: MembershipTables, now: timedelta) -> list[Effect]:
    """Pass a change on at once, so that it reaches all VMs within a second, not in minutes."""
    tables.next_news = now + NEWS_INTERVAL
    effects = [
        SendHeartbeat(vm, updates_for(world)) for vm in _random_peers(world, NEWS_PEERS, None)
    ]
    tables.news = any(sent < NEWS_PEERS for sent in tables.sent_by_vm.values())
    return effects


def _check_silence(
    world: World, tables: MembershipTables, vm: VmId, silence: timedelta
) -> list[Effect]:
    effects: list[Effect] = []
    if silence >= PING_TIMEOUT and vm not in tables.indirect_asked:
        effects += ask_helpers(world, HeartbeatTimedOut(vm))
    if silence < SUSPECT_AFTER:
        return effects
    tables.pending.pop(vm)
    tables.indirect_asked.discard(vm)
    tables.relays.pop(vm, None)
    row = tables.vms.by_id[vm]
    if row.state in GONE or not row.heard:
        return effects
    if row.state is VmState.LEAVING:
        # The state stays, so that its members move on; without an answer it counts as vanished.
        tables.suspected.setdefault(vm, world.clock.monotonic())
    elif row.state is not VmState.SUSPECT:
        tables.own_suspects.add(vm)
        effects += set_state(world, row, VmState.SUSPECT, row.incarnation)
    return effects


def _ping(world: World, tables: MembershipTables, now: timedelta) -> list[Effect]:
    tables.rounds += 1
    row = None
    if tables.rounds % RETRY_DEAD_ROUNDS == 0 and tables.gone:
        tables.gone.rotate(-1)
        row = tables.vms.by_id.get(tables.gone[-1])
        if row is None or row.state not in GONE:
            tables.gone.pop()
            row = None
    row = row or _next_in_order(world, tables)
    if row is None:
        return []
    tables.pending.setdefault(row.id, now)
    updates = updates_for(world, about=row.id) if tables.joined else ()
    return [SendHeartbeat(row.id, updates)]


def _next_in_order(world: World, tables: MembershipTables) -> Vm | None:
    """Return the next VM to ping: each one once in a random order, then in a new order."""
    order = tables.ping_order
    for _ in range(len(order)):
        if tables.rounds_left <= 0:
            _shuffle(world, tables)
        tables.rounds_left -= 1
        row = tables.vms.by_id.get(order[tables.rounds_left]) if order else None
        if row is not None and row.state not in GONE:
            return row
    return None


def _shuffle(world: World, tables: MembershipTables) -> None:
    tables.ping_order[:] = [vm for vm in tables.ping_order if vm in tables.vms]
    world.random.shuffle(tables.ping_order)
    tables.rounds_left = len(tables.ping_order)


def _forget(world: World, tables: MembershipTables, now: timedelta) -> None:
    """Drop one VM a round that has been gone for long; the list may be away for hours."""
    if not tables.gone:
        return
    row = tables.vms.by_id.get(tables.gone[0])
    if row is None or row.state not in GONE:
        tables.gone.popleft()
    elif now - row.changed_at >= FORGET_AFTER:
        tables.gone.popleft()
        remove_vm(world, row)
