"""Slopes of membership by number of VMs."""

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
from bramleyrill_cli.slopes._worlds import DOMAINS, world_of

SIZES = (50, 200, 600, 1200, 2400)
# Each ping and each ack carries at most 8 updates.
UPDATES = 8
HEARTBEATS = 2000
TICKS_A_SECOND = 20
SECONDS = 20


def _updates(count: int) -> tuple[VmUpdate, ...]:
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
    """Measure the processor time of a heartbeat that arrives and is answered."""
    points = []
    for size in SIZES:
        core, _ = world_of(size)
        heartbeat = HeartbeatArrived(VmId("vm-00001"), _updates(UPDATES))
        # News of the start is sent a few times each; the slope is that of the steady state.
        while core.world.tables(MembershipTables).transmissions_by_vm:
            core.handle(heartbeat)

        def run(core=core, heartbeat=heartbeat) -> None:
            for _ in range(HEARTBEATS):
                core.handle(heartbeat)

        points.append(Point(size, measure_time(run) / HEARTBEATS))
    return "us", "VM", points


@slopes_by_name.register("membership_tick_us")
def membership_tick_us() -> tuple[str, str, list[Point]]:
    """Measure the processor time of all systems in one second, with pings sent and answered."""
    points = []
    for size in SIZES:
        core, clock = world_of(size)

        def run(core=core, clock=clock) -> None:
            for _ in range(SECONDS * TICKS_A_SECOND):
                clock.advance(timedelta(seconds=1 / TICKS_A_SECOND))
                for effect in core.tick():
                    if type(effect).__name__ == "SendHeartbeat":
                        core.handle(HeartbeatAcked(effect.vm, _updates(1)))

        points.append(Point(size, measure_time(run) / SECONDS))
    return "us/s", "VM", points


@slopes_by_name.register("membership_bytes")
def membership_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory of the view."""
    return "B", "VM", [Point(n, measure_memory(lambda n=n: world_of(n))) for n in SIZES]
