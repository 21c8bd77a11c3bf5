"""`bench path`: throughput, latency and processor time beside a direct connection."""

import time
from collections.abc import Callable

import gevent
from attrs import frozen

from bramleyrill_cli._app import bench
from bramleyrill_cli._client import BenchCaller
from bramleyrill_cli._figures import Latencies, machine, processor_seconds, summarize

CALLER_COUNTS = (1, 10, 100)
STATEMENT = "SELECT 1"
# Wide enough that the members do not bound the run, which is about the proxies.
LIMITS = {"connections": 400, "slots": 32}
WARM_UP_S = 1.0


@frozen
class PathResult:
    """One run: callers, statements a second, latencies, processor microseconds a statement."""

    way: str
    callers: int
    per_second: float
    latencies: Latencies
    proxy_us: float


@bench.command
def path(*, seconds: float = 4.0) -> int:
    """Compare a direct connection with the way through one proxy and through two.

    Prints throughput, latency percentiles and the processor time of the proxies for each
    statement, at 1, 10 and 100 callers, and the ratios to the direct connection.

    Parameters
    ----------
    seconds
        Length of each run.
    """
    from bramleyrill_standins.processes import Deployment

    print(machine())
    with Deployment(databases=1, proxies=3, fleets=("kintsugi",), limits=LIMITS) as deployment:
        ways = _ways(deployment)
        print(
            f"{'way':<12} {'callers':>7} {'stmt/s':>9} {'p50 ms':>8} {'p99 ms':>8} {'proxy us':>9}"
        )
        direct: dict[int, PathResult] = {}
        for way, (connect, pids) in ways.items():
            for callers in CALLER_COUNTS:
                result = _run(way, connect, pids, callers, seconds)
                direct.setdefault(callers, result)
                _print(result, direct[callers])
    return 0


def _ways(deployment) -> dict[str, tuple[Callable[[], BenchCaller], list[int]]]:
    key, group = next(iter(deployment.groups.items()))
    fleet, service, database = key.split("/")
    primary = group.primary()
    password = deployment.passwords[f"{fleet}/{service}"]
    by_domain = {proxy.location.domain: proxy for proxy in deployment.proxies}
    members = deployment.text["fleets"][fleet]["services"][service]["databases"][database][
        "members"
    ]
    holder = by_domain[members[primary]["domain"]]
    other = next(proxy for proxy in deployment.proxies if proxy is not holder)
    user = f"restorer@{fleet}"

    def through(proxy) -> Callable[[], BenchCaller]:
        return lambda: BenchCaller(proxy.port, user, "restorer", database)

    direct = lambda: BenchCaller(group.ports[primary], "proxy", password, database)  # noqa: E731
    pids = [proxy.process.pid for proxy in (holder, other)]
    return {
        "direct": (direct, []),
        "one proxy": (through(holder), pids[:1]),
        "two proxies": (through(other), pids),
    }


def _run(
    way: str,
    connect: Callable[[], BenchCaller],
    pids: list[int],
    callers: int,
    seconds: float,
) -> PathResult:
    connections = [connect() for _ in range(callers)]
    latencies: list[float] = []
    counting = [False]
    end = time.monotonic() + WARM_UP_S + seconds

    def call(connection: BenchCaller) -> None:
        while time.monotonic() < end:
            latency = connection.query(STATEMENT)
            if counting[0]:
                latencies.append(latency)

    tasks = [gevent.spawn(call, connection) for connection in connections]
    gevent.sleep(WARM_UP_S)
    before = sum(map(processor_seconds, pids))
    counting[0] = True
    gevent.joinall(tasks, raise_error=True)
    used = sum(map(processor_seconds, pids)) - before
    for connection in connections:
        connection.close()
    count = len(latencies)
    return PathResult(
        way, callers, count / seconds, summarize(latencies), used / max(count, 1) * 1e6
    )


def _print(result: PathResult, direct: PathResult) -> None:
    latencies = result.latencies
    line = (
        f"{result.way:<12} {result.callers:>7} {result.per_second:>9.0f}"
        f" {latencies.p50:>8.3f} {latencies.p99:>8.3f} {result.proxy_us:>9.1f}"
    )
    if result is not direct:
        line += (
            f"   {result.per_second / direct.per_second:.2f} of direct throughput,"
            f" {latencies.p50 / direct.latencies.p50:.1f} direct medians"
        )
        if result.proxy_us:
            line += f", a core carries {1e6 / result.proxy_us:.0f}/s"
    print(line)
