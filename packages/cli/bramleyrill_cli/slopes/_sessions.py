"""Slopes of the core: sessions, statements, tokens and token keys."""

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
from bramleyrill_cli.slopes._worlds import make_core

OPERATION_COUNTS = (1000, 2000, 4000, 8000)
SESSION_COUNTS = (1000, 2000, 4000, 6000)
KEY_COUNTS = (10, 100, 1000, 2000)
DATABASE = "kintsugi/onarim-defteri/records"
MEMBER = f"{DATABASE}/records-1"
HISTORY = (TermStart(1, 0), TermStart(4, 1000))
SQL = "INSERT INTO curing (piece, stage) VALUES (17, 'lacquer')"


def _make_world():
    core, _ = make_core(9)
    core.handle(TokenKeysChanged(keys=(TokenKey("k1", b"0" * 32),), signing="k1"))
    record_primary(core.world, DATABASE, 4, MEMBER)
    return core.world


def _open_session(world, number: int):
    return open_session(world, number, "kintsugi", "onarim-defteri", "records", "restorer")


@slopes_by_name.register("session_core_bytes")
def session_core_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory used by the row of a session that has a mark."""
    points = []
    for size in SESSION_COUNTS:
        world = _make_world()

        def build(world=world, size=size) -> list:
            rows = [_open_session(world, number) for number in range(size)]
            for row in rows:
                row.mark = Mark(4, 2000 + row.id)
            return rows

        points.append(Point(size, measure_memory(build)))
    return "B", "session", points


@slopes_by_name.register("statement_core_us")
def statement_core_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time of a write: classify, route, record the answer, issue the token."""
    world = _make_world()
    session = _open_session(world, 1)

    def run(count: int) -> None:
        for position in range(count):
            statement = classify(SQL)
            route(world, session, statement.kind, False)
            mark = Mark(4, 2000 + position)
            record_primary_answer(world, session, mark, HISTORY, True)
            issue_token(world, session.database, mark)

    return "us", "statement", [Point(n, measure_time(lambda n=n: run(n))) for n in OPERATION_COUNTS]


@slopes_by_name.register("classify_new_us")
def classify_new_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time needed to classify statements that are not cached."""
    serial_numbers = iter(range(10**9))

    def run(count: int) -> None:
        for _ in range(count):
            classify(f"SELECT stage AS s{next(serial_numbers)} FROM curing WHERE piece = $1")

    return "us", "statement", [Point(n, measure_time(lambda n=n: run(n))) for n in OPERATION_COUNTS]


@slopes_by_name.register("token_us")
def token_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time needed to issue and verify a token."""
    world = _make_world()

    def run(count: int) -> None:
        for position in range(count):
            token = issue_token(world, DATABASE, Mark(4, position))
            verify_token(world, token, DATABASE).unwrap()

    return "us", "token", [Point(n, measure_time(lambda n=n: run(n))) for n in OPERATION_COUNTS]


@slopes_by_name.register("token_key_bytes")
def token_key_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory used by an accepted token key."""
    points = []
    for size in KEY_COUNTS:
        world = _make_world()

        def build(world=world, size=size) -> None:
            keys = tuple(TokenKey(f"k{n}", n.to_bytes(4, "big") * 8) for n in range(size))
            message = TokenKeysChanged(keys=keys, signing="k0")
            Core(world).handle(message)

        points.append(Point(size, measure_memory(build)))
    return "B", "key", points
