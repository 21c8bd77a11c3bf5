"""Slopes of sessions, statements, tokens and keys in the core."""

from bramleyrill_core import Core, Mark, TermStart
from bramleyrill_core.routing import record_primary, route
from bramleyrill_core.sessions import (
    TokenKey,
    TokenKeysChanged,
    classify,
    issue_token,
    open_session,
    record_primary_answer,
    verify_token,
)

from bramleyrill_cli.slopes._measure import Point, measure_memory, measure_time, slopes_by_name
from bramleyrill_cli.slopes._worlds import world_of

COUNTS = (1000, 2000, 4000, 8000)
SESSIONS = (1000, 2000, 4000, 6000)
KEYS = (10, 100, 1000, 2000)
DATABASE = "kintsugi/onarim-defteri/records"
MEMBER = f"{DATABASE}/records-1"
HISTORY = (TermStart(1, 0), TermStart(4, 1000))
SQL = "INSERT INTO curing (piece, stage) VALUES (17, 'lacquer')"


def _world():
    core, _ = world_of(9)
    core.handle(TokenKeysChanged(keys=(TokenKey("k1", b"0" * 32),), signing="k1"))
    record_primary(core.world, DATABASE, 4, MEMBER)
    return core.world


def _open(world, number: int):
    return open_session(world, number, "kintsugi", "onarim-defteri", "records", "restorer")


@slopes_by_name.register("session_core_bytes")
def session_core_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory of a session's row with a mark."""
    points = []
    for size in SESSIONS:
        world = _world()

        def build(world=world, size=size) -> list:
            rows = [_open(world, number) for number in range(size)]
            for row in rows:
                row.mark = Mark(4, 2000 + row.id)
            return rows

        points.append(Point(size, measure_memory(build)))
    return "B", "session", points


@slopes_by_name.register("statement_core_us")
def statement_core_us() -> tuple[str, str, list[Point]]:
    """Measure a write in the core: classify, route, note the answer, issue the token."""
    world = _world()
    session = _open(world, 1)

    def run(count: int) -> None:
        for position in range(count):
            statement = classify(SQL)
            route(world, session, statement.kind, False)
            mark = Mark(4, 2000 + position)
            record_primary_answer(world, session, mark, HISTORY, True)
            issue_token(world, session.database, mark)

    return "us", "statement", [Point(n, measure_time(lambda n=n: run(n))) for n in COUNTS]


@slopes_by_name.register("classify_new_us")
def classify_new_us() -> tuple[str, str, list[Point]]:
    """Measure the classification of statements whose text was never seen."""
    serial = iter(range(10**9))

    def run(count: int) -> None:
        for _ in range(count):
            classify(f"SELECT stage AS s{next(serial)} FROM curing WHERE piece = $1")

    return "us", "statement", [Point(n, measure_time(lambda n=n: run(n))) for n in COUNTS]


@slopes_by_name.register("token_us")
def token_us() -> tuple[str, str, list[Point]]:
    """Measure the issue and check of a token."""
    world = _world()

    def run(count: int) -> None:
        for position in range(count):
            token = issue_token(world, DATABASE, Mark(4, position))
            verify_token(world, token, DATABASE).unwrap()

    return "us", "token", [Point(n, measure_time(lambda n=n: run(n))) for n in COUNTS]


@slopes_by_name.register("token_key_bytes")
def token_key_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory of a token key that is still accepted."""
    points = []
    for size in KEYS:
        world = _world()

        def build(world=world, size=size) -> None:
            keys = tuple(TokenKey(f"k{n}", n.to_bytes(4, "big") * 8) for n in range(size))
            replaced = TokenKeysChanged(keys=keys, signing="k0")
            Core(world).handle(replaced)

        points.append(Point(size, measure_memory(build)))
    return "B", "key", points
