"""Cores with a given number of VMs, for the slopes."""

from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import Core, VmId, VmIdentity, World
from bramleyrill_core.membership import HeartbeatArrived, ListedVm, VmsListed, VmState, VmUpdate
from bramleyrill_core.text import example_source, parse_text

DOMAINS = tuple(f"domain-{number}" for number in range(6))


def make_listed_vms(count: int) -> tuple[ListedVm, ...]:
    """Return `count` VMs distributed over the six domains and two regions of the target."""
    return tuple(
        ListedVm(
            VmId(f"vm-{number:05d}"),
            DOMAINS[number % 6],
            f"region-{number % 2}",
            f"10.0.{number >> 8}.{number & 255}",
            7432,
        )
        for number in range(count)
    )


def make_core(vms: int, source: str | None = None) -> tuple[Core, ManualClock]:
    """Return the core, and its clock, of a VM that knows `vms` live VMs."""
    clock = ManualClock()
    world = World(VmIdentity(VmId("vm-00000"), DOMAINS[0], "region-0", "10.0.0.0", 7432), clock)
    world.text = parse_text(source or example_source(), 1).unwrap()
    core = Core(world)
    listed = make_listed_vms(vms)
    core.handle(VmsListed(listed))
    core.tick()
    updates = tuple(
        VmUpdate(vm.id, vm.domain, vm.region, vm.host, vm.port, VmState.ALIVE, 1) for vm in listed
    )
    core.handle(HeartbeatArrived(listed[1].id, updates))
    clock.advance(timedelta(seconds=5))
    return core, clock
