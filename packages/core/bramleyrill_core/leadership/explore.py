"""Exhaustive exploration of the duty: late orders, lost answers, pauses, leases, restores.

`python -m bramleyrill_core.leadership.explore` visits every state that two VMs can reach with a
bounded number of writes, and prints the bounds. Time is not modeled: a lease may expire, the store
may be copied or restored, and a step may happen at any moment, which covers pauses and slow calls
of any length.
"""

import sys
from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta

from attrs import evolve, frozen

from bramleyrill_core.history import StoreRevision
from bramleyrill_core.leadership._duty import DUTY_LEASE, DutyRecord, DutyView, next_record

VMS = ("vm1", "vm2")
MEMBERS = ("m1", "m2")
# Number of successful writes after which none is sent; two let the duty change its holder once.
MAX_WRITES = 2
MAX_RESTORES = 1
# Number of late orders, and of late writes, that may be in flight at a time.
MAX_IN_FLIGHT = 1

NextRecord = Callable[[DutyRecord | None, str, str, StoreRevision], DutyRecord]
Write = tuple[DutyRecord, StoreRevision]


@frozen
class VmState:
    """State of a VM: the record it read, whether that lease has expired, the order it may send.

    `revision` is None before the first read. `unanswered_write` is a record whose write got no
    answer, with the revision it replaces; the VM reads before it continues.
    """

    record: DutyRecord | None = None
    revision: StoreRevision | None = None
    is_expired: bool = False
    order: DutyRecord | None = None
    unanswered_write: Write | None = None

    def may_acquire(self, vm: str) -> bool:
        """Return whether `vm` may write the next record, by the code under test."""
        if self.revision is None:
            return False
        now = DUTY_LEASE if self.is_expired else timedelta()
        return DutyView(self.record, self.revision, timedelta()).may_acquire(vm, now, now)


@frozen
class World:
    """State of the store, the platform, the calls in flight, and both VMs.

    `copy` is what a restore brings back. `late_writes` are writes with the revision that they
    expect. `sent` are all orders ever sent, and `newest_token` is the highest token of an order
    that the platform has executed.
    """

    record: DutyRecord | None = None
    revision: StoreRevision = StoreRevision(1, 0)
    copy: tuple[DutyRecord | None, int] = (None, 0)
    writes: int = 0
    vms: tuple[VmState, ...] = (VmState(),) * len(VMS)
    late_writes: frozenset[Write] = frozenset()
    late_orders: frozenset[DutyRecord] = frozenset()
    sent: frozenset[DutyRecord] = frozenset()
    newest_token: int = 0
    primary: str = ""

    def with_vm(self, index: int, state: VmState) -> "World":
        """Return the world with the state of one VM replaced."""
        return evolve(self, vms=(*self.vms[:index], state, *self.vms[index + 1 :]))

    def with_record(self, record: DutyRecord) -> "World":
        """Return the world after a successful write."""
        revision = evolve(self.revision, number=self.revision.number + 1)
        return evolve(self, record=record, revision=revision, writes=self.writes + 1)


class UnsafeError(Exception):
    """Two orders share a fencing token, or an older order was executed after a newer one."""


def explore(make_record: NextRecord = next_record) -> int:
    """Visit all states and return their number; raise UnsafeError for an unsafe one."""
    start = World()
    visited = {start}
    queue = deque(visited)
    while queue:
        for world in _steps(queue.popleft(), make_record):
            _check(world)
            if world not in visited:
                visited.add(world)
                queue.append(world)
    return len(visited)


def _check(world: World) -> None:
    tokens = [order.fencing_token for order in world.sent]
    if len(tokens) != len(set(tokens)):
        raise UnsafeError(f"one token for two orders: {sorted(world.sent, key=str)}")


def _steps(world: World, make_record: NextRecord) -> Iterator[World]:
    for index, vm in enumerate(VMS):
        state = world.vms[index]
        yield _read(world, index)
        yield world.with_vm(index, evolve(state, is_expired=True))
        if state.unanswered_write is None and state.may_acquire(vm):
            for member in MEMBERS:
                record = make_record(state.record, vm, member, state.revision)
                yield from _write(world, index, record)
        yield from _send(world, index)
    yield from _deliver_late(world)
    yield from _copy_and_restore(world)


def _read(world: World, index: int) -> World:
    """Read the record; it shows whether a write without an answer succeeded."""
    state = world.vms[index]
    is_expired = state.is_expired and state.revision == world.revision
    order = state.order
    if state.unanswered_write is not None:
        record, revision = state.unanswered_write
        if record == world.record and revision.era == world.revision.era:
            order = record
    return world.with_vm(index, VmState(world.record, world.revision, is_expired, order))


def _write(world: World, index: int, record: DutyRecord) -> Iterator[World]:
    """Write the next record: it conflicts, succeeds with or without an answer, or arrives late."""
    state = world.vms[index]
    if record == state.record:
        yield world.with_vm(index, evolve(state, order=record))
        return
    if world.writes >= MAX_WRITES:
        return
    write = (record, state.revision)
    unanswered = world.with_vm(index, evolve(state, unanswered_write=write, order=None))
    if len(world.late_writes) < MAX_IN_FLIGHT:
        yield evolve(unanswered, late_writes=world.late_writes | {write})
    if state.revision.number != world.revision.number:
        yield world.with_vm(index, VmState())
        return
    yield unanswered.with_record(record)
    done = world.with_record(record)
    if state.revision.era != world.revision.era:
        # The answer tells another era than the read, so the VM does not use the record.
        yield done.with_vm(index, VmState())
        return
    yield done.with_vm(index, VmState(record, done.revision, False, record))


def _copy_and_restore(world: World) -> Iterator[World]:
    if world.revision.era > MAX_RESTORES:
        return
    yield evolve(world, copy=(world.record, world.revision.number))
    record, number = world.copy
    yield evolve(world, record=record, revision=StoreRevision(world.revision.era + 1, number))


def _send(world: World, index: int) -> Iterator[World]:
    """Send the order, any number of times; it is executed at once or late."""
    order = world.vms[index].order
    if order is None:
        return
    sent = evolve(world, sent=world.sent | {order})
    yield sent.with_vm(index, evolve(sent.vms[index], order=None))
    yield _execute(sent, order)
    if len(sent.late_orders) < MAX_IN_FLIGHT:
        yield evolve(sent, late_orders=sent.late_orders | {order})


def _deliver_late(world: World) -> Iterator[World]:
    for order in world.late_orders:
        yield _execute(evolve(world, late_orders=world.late_orders - {order}), order)
    for write in world.late_writes:
        delivered = evolve(world, late_writes=world.late_writes - {write})
        record, revision = write
        matches = revision.number == world.revision.number
        yield delivered.with_record(record) if matches else delivered


def _execute(world: World, order: DutyRecord) -> World:
    """Execute an order: the platform rejects old tokens, and a repeated order changes nothing."""
    if order.fencing_token < world.newest_token:
        return world
    if order.fencing_token == world.newest_token and order.member != world.primary:
        raise UnsafeError(f"{order} came after {world.primary} with the same token")
    return evolve(world, newest_token=order.fencing_token, primary=order.member)


def main() -> int:
    """Explore and print the bounds."""
    states = explore()
    print(
        f"{len(VMS)} VMs, {len(MEMBERS)} members, {MAX_WRITES} writes, {MAX_RESTORES} restores, "
        f"{MAX_IN_FLIGHT} late orders and {MAX_IN_FLIGHT} late writes: {states} states, no token "
        "used twice"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
