"""`bench failover`: how long writes are unavailable after a primary is killed, by phase."""

import re
import tempfile
import time
from datetime import datetime

import gevent
from attrs import define, field

from bramleyrill_cli._app import bench
from bramleyrill_cli._client import BenchCaller, CallError
from bramleyrill_cli._figures import describe_machine, summarize

PHASES = ("detect", "ask", "survey", "fence", "wait", "promote")
WRITER_COUNT = 4
WRITE_INTERVAL_S = 0.005
SETTLE_S = 3.0
TIMEOUT_S = 30.0
LINK_LATENCY_MS = 20.0
_PAIR = re.compile(r"(\w+)=([\d.]+)ms")


@define
class Gaps:
    """Gaps in seconds, and the duration of each phase of each failover in milliseconds."""

    seconds: list[float] = field(factory=list)
    phases: list[dict[str, float]] = field(factory=list)


@bench.command
def failover(*, kills: int = 20, latency_ms: float = LINK_LATENCY_MS) -> int:
    """Kill the primary repeatedly and print the distribution of the gap in writes and its phases.

    Runs once with the platform up and once with the platform down throughout. The baseline is a
    promotion that needs the platform at the moment of failure: it adds a conditional update to
    the gap, and does not finish while the platform is down.

    Parameters
    ----------
    kills
        Number of primaries to kill in each of the two runs.
    latency_ms
        One-way latency of every link to a member, in milliseconds.
    """
    print(describe_machine())
    print(f"{'platform':<10} {'kills':>5} {'p50 s':>7} {'p95 s':>7} {'p99 s':>7} {'worst s':>8}")
    for outage in (False, True):
        gaps = _run(kills, latency_ms, outage)
        summary = summarize(gaps.seconds)
        values = [summary.p50, summary.p95, summary.p99, summary.worst]
        line = " ".join(f"{value / 1000:>7.2f}" for value in values)
        print(f"{'down' if outage else 'up':<10} {len(gaps.seconds):>5} {line}")
        _print_phases(gaps)
    print(
        "baseline   promotion by the platform: as above plus one platform call when up,"
        " unbounded when down"
    )
    return 0


def _run(kills: int, latency_ms: float, outage: bool) -> Gaps:
    from bramleyrill_standins.processes import Behaviour, Deployment

    gaps = Gaps()
    behaviour = Behaviour(latency_ms=latency_ms, lag_ms=latency_ms)
    with (
        tempfile.TemporaryDirectory() as journal,
        Deployment(fleets=("kintsugi",), behaviour=behaviour, journal=journal) as deployment,
    ):
        _create_table(deployment)
        if outage:
            deployment.platform.switch(outage="refuse")
        group = next(iter(deployment.groups.values()))
        for _ in range(kills):
            time.sleep(SETTLE_S)
            primary = group.primary()
            gaps.seconds.append(_measure_gap(deployment, group, primary))
            group.restart(primary)
        for proxy in deployment.proxies:
            gaps.phases += map(_parse_phases, proxy.log_lines("change_finished"))
    return gaps


def _connect(proxy) -> BenchCaller:
    return BenchCaller(proxy.port, "courier@kintsugi", "courier", "records")


def _create_table(deployment) -> None:
    end = time.monotonic() + TIMEOUT_S
    while True:
        try:
            _connect(deployment.proxies[0]).query("CREATE TABLE gap (at text)")
            return
        except (CallError, OSError) as error:
            # An earlier attempt without a response may have created it.
            if getattr(error, "sqlstate", "") == "42P07":
                return
            if time.monotonic() > end:
                raise
            gevent.sleep(0.2)


def _measure_gap(deployment, group, primary: str) -> float:
    """Kill the primary; return the longest time, in s, without an acknowledged write at any VM."""
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
            except Exception as error:
                if not hasattr(error, "sqlstate"):
                    raise
            gevent.sleep(WRITE_INTERVAL_S)

    writers = [gevent.spawn(write, deployment.proxies[n % 3]) for n in range(WRITER_COUNT)]
    gevent.sleep(1.0)
    group.processes[primary].kill()
    killed_at = time.monotonic()
    while acknowledged[-1] < killed_at + 0.1 and time.monotonic() < killed_at + TIMEOUT_S:
        gevent.sleep(0.02)
    gevent.sleep(0.5)
    stopping.append(True)
    gevent.joinall(writers, timeout=TIMEOUT_S)
    times = sorted(acknowledged)
    during_failover = [written_at for written_at in times if written_at >= killed_at - 0.5]
    return max(
        (b - a for a, b in zip(during_failover, during_failover[1:], strict=False)),
        default=TIMEOUT_S,
    )


def _parse_phases(line: str) -> dict[str, float]:
    return {name: float(value) for name, value in _PAIR.findall(line)}


def _print_phases(gaps: Gaps) -> None:
    for name in PHASES:
        values = [phases[name] / 1000 for phases in gaps.phases if name in phases]
        if values:
            summary = summarize(values)
            print(f"  {name:<10} p50 {summary.p50:>7.0f} ms   worst {summary.worst:>7.0f} ms")
