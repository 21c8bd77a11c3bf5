"""Slopes of the membership protocol by number of VMs."""

from datetime import timedelta

from bramleyrill_core import VmId
from bramleyrill_core.membership import (
    HeartbeatAcked,
    HeartbeatArrived,
    MembershipTables,
    VmState,
    VmUpdate,
)

from bramleyrill_cli.slopes._measure import Point, measure_memory, measure_time, slopes_by_name
from bramleyrill_cli.slopes._worlds import DOMAINS, make_core

VM_COUNTS = (50, 200, 600, 1200, 2400)
# Maximum number of updates in a ping or ack.
UPDATES_PER_HEARTBEAT = 8
HEARTBEAT_COUNT = 2000
TICKS_PER_S = 20
SIMULATED_S = 20


def _make_updates(count: int) -> tuple[VmUpdate, ...]:
    return tuple(
        VmUpdate(
            VmId(f"vm-{number:05d}"),
            DOMAINS[number % 6],
            f"region-{number % 2}",
            f"10.0.{number >> 8}.{number & 255}",
            7432,
            VmState.ALIVE,
            2,
        )
        for number in range(count)
    )


@slopes_by_name.register("heartbeat_us")
def heartbeat_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time needed to handle and answer a heartbeat."""
    points = []
    for size in VM_COUNTS:
        core, _ = make_core(size)
        heartbeat = HeartbeatArrived(VmId("vm-00001"), _make_updates(UPDATES_PER_HEARTBEAT))
        # Each update from the setup is sent a few times; measure the steady state after that.
        while core.world.tables(MembershipTables).transmissions_by_vm:
            core.handle(heartbeat)

        def run(core=core, heartbeat=heartbeat) -> None:
            for _ in range(HEARTBEAT_COUNT):
                core.handle(heartbeat)

        points.append(Point(size, measure_time(run) / HEARTBEAT_COUNT))
    return "us", "VM", points


@slopes_by_name.register("membership_tick_us")
def membership_tick_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time of all systems per simulated second, with pings sent and answered."""
    points = []
    for size in VM_COUNTS:
        core, clock = make_core(size)

        def run(core=core, clock=clock) -> None:
            for _ in range(SIMULATED_S * TICKS_PER_S):
                clock.advance(timedelta(seconds=1 / TICKS_PER_S))
                for effect in core.tick():
                    if type(effect).__name__ == "SendHeartbeat":
                        core.handle(HeartbeatAcked(effect.vm, _make_updates(1)))

        points.append(Point(size, measure_time(run) / SIMULATED_S))
    return "us/s", "VM", points


@slopes_by_name.register("membership_bytes")
def membership_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory used by the membership view."""
    return "B", "VM", [Point(n, measure_memory(lambda n=n: make_core(n))) for n in VM_COUNTS]
