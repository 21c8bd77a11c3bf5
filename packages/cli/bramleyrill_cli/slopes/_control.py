"""Slopes of control: supervision of members, sizes and encoding of probes and heartbeats."""

from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import (
    Core,
    MemberRole,
    MemberStatus,
    TermStart,
    VmId,
    VmIdentity,
    World,
)
from bramleyrill_core.membership import HeartbeatArrived, VmState, VmUpdate
from bramleyrill_core.succession import ProbeAnswered, Span, SpansChanged
from bramleyrill_core.text import parse_text
from bramleyrill_wire import postgres
from bramleyrill_wire.peers import encode, frames

from bramleyrill_cli.slopes._configuration import make_text
from bramleyrill_cli.slopes._measure import Point, measure_memory, measure_time, slopes_by_name

DATABASE_COUNTS = (2, 4, 8, 16, 32)
UPDATE_COUNTS = (1, 2, 4, 8, 16)
FRAME_COUNTS = (1000, 2000, 4000, 8000)
SIMULATED_S = 10
TICKS_PER_S = 20
STATUS_SQL = "SELECT * FROM group_status()"


def _core_holding_all_members(databases: int) -> tuple[Core, ManualClock]:
    """Return the core, and its clock, of a VM that holds all members of `databases` databases."""
    clock = ManualClock()
    world = World(VmIdentity(VmId("vm-0"), "marmara-a", "marmara", "10.0.0.1", 7432), clock)
    world.text = parse_text(make_text(databases), 1).unwrap()
    core = Core(world)
    own_update = VmUpdate(VmId("vm-0"), "marmara-a", "marmara", "10.0.0.1", 7432, VmState.ALIVE, 1)
    core.handle(HeartbeatArrived(VmId("vm-1"), (own_update,)))
    for _ in range(TICKS_PER_S * 5):
        clock.advance(timedelta(seconds=1 / TICKS_PER_S))
        core.tick()
    for database in world.text.databases.values():
        names = tuple(member.name for member in database.members)
        core.handle(SpansChanged(database.id, (Span(1, names),)))
    return core, clock


def _member_status(world: World, member: str) -> MemberStatus:
    spec = world.text.database_of(member)
    name = member.rpartition("/")[2]
    primary = spec.members[0].name
    role = MemberRole.PRIMARY if name == primary else MemberRole.REPLICA
    return MemberStatus(name, 1, 100, role, primary, 1, (TermStart(1, 0),))


@slopes_by_name.register("supervision_us")
def supervision_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time of ticks and answered probes per simulated second, by database held."""
    points = []
    for size in DATABASE_COUNTS:
        core, clock = _core_holding_all_members(size)

        def run(core=core, clock=clock) -> None:
            for _ in range(SIMULATED_S * TICKS_PER_S):
                clock.advance(timedelta(seconds=1 / TICKS_PER_S))
                for effect in core.tick():
                    if type(effect).__name__ == "SendProbe":
                        status = _member_status(core.world, effect.member)
                        now = clock.monotonic()
                        core.handle(ProbeAnswered(effect.member, now, status))

        points.append(Point(size, measure_time(run) / SIMULATED_S))
    return "us/s", "database", points


@slopes_by_name.register("supervision_bytes")
def supervision_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory used for supervised databases, including the text."""
    points = []
    for size in DATABASE_COUNTS:
        points.append(
            Point(size, measure_memory(lambda size=size: _core_holding_all_members(size)))
        )
    return "B", "database", points


@slopes_by_name.register("probe_wire_bytes")
def probe_wire_bytes() -> tuple[str, str, list[Point]]:
    """Measure the bytes of probes and their results, excluding TCP and IP headers."""
    query = len(postgres.query(STATUS_SQL))
    columns = ("member", "term", "position", "role", "leader", "last_term", "history")
    row = (b"records-1", b"12", b"123456789", b"replica", b"records-2", b"12", b"[[1, 0], [12, 9]]")
    answer = (
        len(postgres.row_description([(name, postgres.TEXT_OID) for name in columns]))
        + len(postgres.data_row(row))
        + len(postgres.command_complete("SELECT 1"))
        + len(postgres.ready_for_query(b"I"))
    )
    return "B", "probe", [Point(n, n * (query + answer)) for n in FRAME_COUNTS]


@slopes_by_name.register("heartbeat_wire_bytes")
def heartbeat_wire_bytes() -> tuple[str, str, list[Point]]:
    """Measure the bytes of a heartbeat by the number of updates in it."""
    points = []
    for size in UPDATE_COUNTS:
        update = frames.VmUpdate(
            vm="vm-00001",
            state=1,
            incarnation=1_900_000_000,
            domain="domain-1",
            region="region-1",
            host="10.0.0.1",
            port=7432,
        )
        heartbeat = frames.Heartbeat(vm="vm-00001", updates=[update] * size, text_version=1000)
        points.append(Point(size, len(encode(heartbeat))))
    return "B", "update", points


@slopes_by_name.register("heartbeat_codec_us")
def heartbeat_codec_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time needed to encode heartbeats with 8 updates."""
    update = frames.VmUpdate(
        vm="vm-00001", state=1, incarnation=1, domain="d", region="r", host="10.0.0.1", port=7432
    )
    heartbeat = frames.Heartbeat(vm="vm-00001", updates=[update] * 8, text_version=1000)

    def run(count: int) -> None:
        for _ in range(count):
            encode(heartbeat)

    return "us", "heartbeat", [Point(n, measure_time(lambda n=n: run(n))) for n in FRAME_COUNTS]
