"""Exhaustive exploration of the duty: late orders, lost answers, pauses and lapsed leases.

`python -m bramleyrill_core.leadership.explore` visits every state that two VMs can reach with a
bounded number of records and prints the bounds. Time is left out: a lease may lapse and a step may
come at any moment, which covers pauses and slow calls of every length.
"""

import sys
from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta

from attrs import evolve, frozen

from bramleyrill_core.leadership._duty import DUTY_LEASE, DutyRecord, DutyView, next_record

VMS = ("vm1", "vm2")
MEMBERS = ("m1", "m2")
# Records that are written before a path ends, so that the duty changes hands once.
MOST_RECORDS = 2
# Orders and writes that are on their way at one time.
MOST_IN_FLIGHT = 1

NextRecord = Callable[[DutyRecord | None, str, str], DutyRecord]


@frozen
class VmState:
    """What a VM knows: the record it read, whether its lease lapsed, the order it may send.

    `wrote` is a record whose write got no answer; the VM reads back before it goes on.
    """

    record: DutyRecord | None = None
    revision: int = -1
    lapsed: bool = False
    order: DutyRecord | None = None
    wrote: DutyRecord | None = None

    def may_take(self, vm: str) -> bool:
        """Ask the rule of the product."""
        if self.revision < 0:
            return False
        now = DUTY_LEASE if self.lapsed else timedelta()
        return DutyView(self.record, self.revision, timedelta()).may_take(vm, now)


@frozen
class World:
    """The store, the platform, the calls on their way, and both VMs.

    `late_writes` have the revision that they ask for. `sent` are all orders ever sent, and
    `newest` is the highest token that the platform has carried out.
    """

    record: DutyRecord | None = None
    revision: int = 0
    vms: tuple[VmState, ...] = (VmState(),) * len(VMS)
    late_writes: frozenset[tuple[DutyRecord, int]] = frozenset()
    late_orders: frozenset[DutyRecord] = frozenset()
    sent: frozenset[DutyRecord] = frozenset()
    newest: int = 0
    primary: str = ""

    def with_vm(self, index: int, state: VmState) -> "World":
        """Return the world with one VM changed."""
        return evolve(self, vms=(*self.vms[:index], state, *self.vms[index + 1 :]))


class UnsafeError(Exception):
    """Two orders share a fencing token, or an older order was carried out after a newer one."""


def explore(next_of: NextRecord = next_record) -> int:
    """Visit all states; return how many there are, or raise UnsafeError."""
    start = World()
    seen = {start}
    waiting = deque(seen)
    while waiting:
        for world in _steps(waiting.popleft(), next_of):
            _check(world)
            if world not in seen:
                seen.add(world)
                waiting.append(world)
    return len(seen)


def _check(world: World) -> None:
    tokens = [order.fencing_token for order in world.sent]
    if len(tokens) != len(set(tokens)):
        raise UnsafeError(f"one token for two orders: {sorted(world.sent, key=str)}")


def _steps(world: World, next_of: NextRecord) -> Iterator[World]:
    for index, vm in enumerate(VMS):
        yield _read(world, index)
        yield world.with_vm(index, evolve(world.vms[index], lapsed=True))
        if world.vms[index].wrote is None and world.vms[index].may_take(vm):
            for member in MEMBERS:
                yield from _write(world, index, next_of(world.vms[index].record, vm, member))
        yield from _send(world, index)
    yield from _carry_out_late(world)


def _read(world: World, index: int) -> World:
    """Read the record; a write without an answer succeeded if it is the one."""
    state = world.vms[index]
    lapsed = state.lapsed and state.revision == world.revision
    order = state.order
    if state.wrote is not None and state.wrote == world.record:
        order = state.wrote
    return world.with_vm(index, VmState(world.record, world.revision, lapsed, order))


def _write(world: World, index: int, record: DutyRecord) -> Iterator[World]:
    """Write the next record: refused, answered, done without an answer, or done late."""
    state = world.vms[index]
    if record == state.record:
        yield world.with_vm(index, evolve(state, order=record))
        return
    if record.fencing_token > MOST_RECORDS:
        return
    silent = world.with_vm(index, evolve(state, wrote=record, order=None))
    if len(world.late_writes) < MOST_IN_FLIGHT:
        yield evolve(silent, late_writes=world.late_writes | {(record, state.revision)})
    if state.revision != world.revision:
        yield world.with_vm(index, VmState())
        return
    revision = world.revision + 1
    yield evolve(silent, record=record, revision=revision)
    done = world.with_vm(index, VmState(record, revision, False, record))
    yield evolve(done, record=record, revision=revision)


def _send(world: World, index: int) -> Iterator[World]:
    """Send the order, again and again; it is carried out at once or late."""
    order = world.vms[index].order
    if order is None:
        return
    sent = evolve(world, sent=world.sent | {order})
    yield sent.with_vm(index, evolve(sent.vms[index], order=None))
    yield _carry_out(sent, order)
    if len(sent.late_orders) < MOST_IN_FLIGHT:
        yield evolve(sent, late_orders=sent.late_orders | {order})


def _carry_out_late(world: World) -> Iterator[World]:
    for order in world.late_orders:
        yield _carry_out(evolve(world, late_orders=world.late_orders - {order}), order)
    for record, revision in world.late_writes:
        left = evolve(world, late_writes=world.late_writes - {(record, revision)})
        if revision == world.revision:
            yield evolve(left, record=record, revision=revision + 1)
        else:
            yield left


def _carry_out(world: World, order: DutyRecord) -> World:
    """The platform refuses tokens below the newest; the same order again changes nothing."""
    if order.fencing_token < world.newest:
        return world
    if order.fencing_token == world.newest and order.member != world.primary:
        raise UnsafeError(f"{order} came after {world.primary} with the same token")
    return evolve(world, newest=order.fencing_token, primary=order.member)


def main() -> int:
    """Explore and print the bounds."""
    states = explore()
    print(
        f"{len(VMS)} VMs, {len(MEMBERS)} members, {MOST_RECORDS} records, {MOST_IN_FLIGHT} late "
        f"orders and {MOST_IN_FLIGHT} late writes: {states} states, no token used twice"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
