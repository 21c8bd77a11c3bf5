"""`bench failover`: the gap without writes when a primary is killed, and its parts."""

import re
import tempfile
import time
from datetime import datetime

import gevent
from attrs import define, field

from bramleyrill_cli._app import bench
from bramleyrill_cli._client import BenchCaller, CallError
from bramleyrill_cli._figures import machine, summarize

PARTS = ("detect", "ask", "survey", "fence", "wait", "promote")
WRITERS = 4
PAUSE_S = 0.005
SETTLE_S = 3.0
LIMIT_S = 30.0
LATENCY_MS = 20.0
_PAIR = re.compile(r"(\w+)=([\d.]+)ms")


@define
class Gaps:
    """Gaps in seconds and the parts of each change in milliseconds."""

    seconds: list[float] = field(factory=list)
    parts: list[dict[str, float]] = field(factory=list)


@bench.command
def failover(*, kills: int = 20, latency_ms: float = LATENCY_MS) -> int:
    """Kill the primary again and again and print the gap's distribution and its parts.

    Runs with the platform up and with the platform down for the whole run. The baseline is a
    promotion that needs the platform at the moment of failure: it adds a conditional update to
    the gap, and has no end while the platform is down.

    Parameters
    ----------
    kills
        How many primaries are killed in each of the two runs.
    latency_ms
        One-way latency of every link to a member.
    """
    print(machine())
    print(f"{'platform':<10} {'kills':>5} {'p50 s':>7} {'p95 s':>7} {'p99 s':>7} {'worst s':>8}")
    for outage in (False, True):
        gaps = _run(kills, latency_ms, outage)
        figures = summarize(gaps.seconds)
        values = [figures.p50, figures.p95, figures.p99, figures.worst]
        line = " ".join(f"{value / 1000:>7.2f}" for value in values)
        print(f"{'down' if outage else 'up':<10} {len(gaps.seconds):>5} {line}")
        _print_parts(gaps)
    print("baseline   promotion by the platform: as above plus one call when up, no end when down")
    return 0


def _run(kills: int, latency_ms: float, outage: bool) -> Gaps:
    from bramleyrill_standins.processes import Behaviour, Deployment

    gaps = Gaps()
    behaviour = Behaviour(latency_ms=latency_ms, lag_ms=latency_ms)
    with (
        tempfile.TemporaryDirectory() as journal,
        Deployment(fleets=("kintsugi",), behaviour=behaviour, journal=journal) as deployment,
    ):
        _make_table(deployment)
        if outage:
            deployment.platform.switch(outage="refuse")
        group = next(iter(deployment.groups.values()))
        for _ in range(kills):
            time.sleep(SETTLE_S)
            primary = group.primary()
            gaps.seconds.append(_measure_gap(deployment, group, primary))
            group.restart(primary)
        for proxy in deployment.proxies:
            gaps.parts += map(_read_parts, proxy.log_lines("change_finished"))
    return gaps


def _connect(proxy) -> BenchCaller:
    return BenchCaller(proxy.port, "courier@kintsugi", "courier", "records")


def _make_table(deployment) -> None:
    end = time.monotonic() + LIMIT_S
    while True:
        try:
            _connect(deployment.proxies[0]).query("CREATE TABLE gap (at text)")
            return
        except (CallError, OSError) as problem:
            # An earlier attempt without an answer may have made it.
            if getattr(problem, "sqlstate", "") == "42P07":
                return
            if time.monotonic() > end:
                raise
            gevent.sleep(0.2)


def _measure_gap(deployment, group, primary: str) -> float:
    """Kill the primary and return the longest time between acknowledged writes of all writers."""
    acknowledged: list[float] = [time.monotonic()]
    stopping = []

    def write(proxy) -> None:
        caller = None
        while not stopping:
            try:
                caller = caller or _connect(proxy)
                caller.query(f"INSERT INTO gap VALUES ('{datetime.now().isoformat()}')")
                acknowledged.append(time.monotonic())
            except (OSError, RuntimeError):
                caller = None
            except Exception as problem:
                if not hasattr(problem, "sqlstate"):
                    raise
            gevent.sleep(PAUSE_S)

    writers = [gevent.spawn(write, deployment.proxies[n % 3]) for n in range(WRITERS)]
    gevent.sleep(1.0)
    group.processes[primary].kill()
    killed = time.monotonic()
    while acknowledged[-1] < killed + 0.1 and time.monotonic() < killed + LIMIT_S:
        gevent.sleep(0.02)
    gevent.sleep(0.5)
    stopping.append(True)
    gevent.joinall(writers, timeout=LIMIT_S)
    times = sorted(acknowledged)
    around = [moment for moment in times if moment >= killed - 0.5]
    return max((b - a for a, b in zip(around, around[1:], strict=False)), default=LIMIT_S)


def _read_parts(line: str) -> dict[str, float]:
    return {name: float(value) for name, value in _PAIR.findall(line)}


def _print_parts(gaps: Gaps) -> None:
    for name in PARTS:
        values = [parts[name] / 1000 for parts in gaps.parts if name in parts]
        if values:
            figures = summarize(values)
            print(f"  {name:<10} p50 {figures.p50:>7.0f} ms   worst {figures.worst:>7.0f} ms")
