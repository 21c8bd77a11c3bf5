"""Slopes of control: probes of supervised members, frames of heartbeats and probes."""

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

from bramleyrill_cli.slopes._configuration import text_of
from bramleyrill_cli.slopes._measure import Point, measure_memory, measure_time, slopes_by_name

DATABASES = (2, 4, 8, 16, 32)
UPDATES = (1, 2, 4, 8, 16)
PROBES = (1000, 2000, 4000, 8000)
SECONDS = 10
TICKS_A_SECOND = 20
STATUS_SQL = "SELECT * FROM group_status()"


def _holder_of_everything(databases: int) -> tuple[Core, ManualClock]:
    """Return the core of a VM that holds every member of `databases` databases."""
    clock = ManualClock()
    world = World(VmIdentity(VmId("vm-0"), "marmara-a", "marmara", "10.0.0.1", 7432), clock)
    world.text = parse_text(text_of(databases), 1).unwrap()
    core = Core(world)
    alive = VmUpdate(VmId("vm-0"), "marmara-a", "marmara", "10.0.0.1", 7432, VmState.ALIVE, 1)
    core.handle(HeartbeatArrived(VmId("vm-1"), (alive,)))
    for _ in range(TICKS_A_SECOND * 5):
        clock.advance(timedelta(seconds=1 / TICKS_A_SECOND))
        core.tick()
    for database in world.text.databases.values():
        names = tuple(member.name for member in database.members)
        core.handle(SpansChanged(database.id, (Span(1, names),)))
    return core, clock


def _status(world: World, member: str) -> MemberStatus:
    spec = world.text.database_of(member)
    name = member.rpartition("/")[2]
    leader = spec.members[0].name
    role = MemberRole.PRIMARY if name == leader else MemberRole.REPLICA
    return MemberStatus(name, 1, 100, role, leader, 1, (TermStart(1, 0),))


@slopes_by_name.register("supervision_us")
def supervision_us() -> tuple[str, str, list[Point]]:
    """Measure a second of ticks and answered probes of a VM that holds whole databases."""
    points = []
    for size in DATABASES:
        core, clock = _holder_of_everything(size)

        def run(core=core, clock=clock) -> None:
            for _ in range(SECONDS * TICKS_A_SECOND):
                clock.advance(timedelta(seconds=1 / TICKS_A_SECOND))
                for effect in core.tick():
                    if type(effect).__name__ == "SendProbe":
                        status = _status(core.world, effect.member)
                        now = clock.monotonic()
                        core.handle(ProbeAnswered(effect.member, now, status))

        points.append(Point(size, measure_time(run) / SECONDS))
    return "us/s", "database", points


@slopes_by_name.register("supervision_bytes")
def supervision_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory of supervised databases, the text included."""
    points = []
    for size in DATABASES:
        points.append(Point(size, measure_memory(lambda size=size: _holder_of_everything(size))))
    return "B", "database", points


@slopes_by_name.register("probe_wire_bytes")
def probe_wire_bytes() -> tuple[str, str, list[Point]]:
    """Measure the bytes of probes and their answers, without those of TCP."""
    query = len(postgres.query(STATUS_SQL))
    columns = ("member", "term", "position", "role", "leader", "last_term", "history")
    row = (b"records-1", b"12", b"123456789", b"replica", b"records-2", b"12", b"[[1, 0], [12, 9]]")
    answer = (
        len(postgres.row_description([(name, postgres.TEXT_OID) for name in columns]))
        + len(postgres.data_row(row))
        + len(postgres.command_complete("SELECT 1"))
        + len(postgres.ready_for_query(b"I"))
    )
    return "B", "probe", [Point(n, n * (query + answer)) for n in PROBES]


@slopes_by_name.register("heartbeat_wire_bytes")
def heartbeat_wire_bytes() -> tuple[str, str, list[Point]]:
    """Measure the bytes of a heartbeat by the updates that it carries."""
    points = []
    for size in UPDATES:
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
    """Measure the encoding of heartbeats of 8 updates."""
    update = frames.VmUpdate(
        vm="vm-00001", state=1, incarnation=1, domain="d", region="r", host="10.0.0.1", port=7432
    )
    heartbeat = frames.Heartbeat(vm="vm-00001", updates=[update] * 8, text_version=1000)

    def run(count: int) -> None:
        for _ in range(count):
            encode(heartbeat)

    return "us", "heartbeat", [Point(n, measure_time(lambda n=n: run(n))) for n in PROBES]
