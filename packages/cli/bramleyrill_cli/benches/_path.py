"""`bench path`: throughput, latency and CPU time, compared with a direct connection."""

import time
from collections.abc import Callable

import gevent
from attrs import frozen

from bramleyrill_cli._app import bench
from bramleyrill_cli._client import BenchCaller
from bramleyrill_cli._figures import Latencies, cpu_seconds, describe_machine, summarize

CALLER_COUNTS = (1, 10, 100)
STATEMENT = "SELECT 1"
# Large enough that the proxies, not the members, are the bottleneck.
LIMITS = {"connections": 400, "slots": 32}
WARM_UP_S = 1.0


@frozen
class PathResult:
    """Result of one run; `proxy_us` is the proxies' CPU time per statement, in microseconds."""

    topology: str
    callers: int
    per_second: float
    latencies: Latencies
    proxy_us: float


@bench.command
def path(*, seconds: float = 4.0) -> int:
    """Compare a direct connection with connections through one and two proxies.

    Prints throughput, latency percentiles and the proxies' CPU time for each statement, at 1, 10
    and 100 callers, and the ratios to the direct connection.

    Parameters
    ----------
    seconds
        Duration of each run, in seconds.
    """
    from bramleyrill_standins.processes import Deployment

    print(describe_machine())
    with Deployment(databases=1, proxies=3, fleets=("kintsugi",), limits=LIMITS) as deployment:
        topologies = _topologies(deployment)
        print(
            f"{'path':<12} {'callers':>7} {'stmt/s':>9} {'p50 ms':>8} {'p99 ms':>8} {'proxy us':>9}"
        )
        direct: dict[int, PathResult] = {}
        for topology, (connect, pids) in topologies.items():
            for callers in CALLER_COUNTS:
                result = _run(topology, connect, pids, callers, seconds)
                direct.setdefault(callers, result)
                _print_result(result, direct[callers])
    return 0


def _topologies(deployment) -> dict[str, tuple[Callable[[], BenchCaller], list[int]]]:
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
    topology: str,
    connect: Callable[[], BenchCaller],
    pids: list[int],
    callers: int,
    seconds: float,
) -> PathResult:
    connections = [connect() for _ in range(callers)]
    latencies: list[float] = []
    is_measuring = [False]
    end = time.monotonic() + WARM_UP_S + seconds

    def run_statements(connection: BenchCaller) -> None:
        while time.monotonic() < end:
            latency = connection.query(STATEMENT)
            if is_measuring[0]:
                latencies.append(latency)

    greenlets = [gevent.spawn(run_statements, connection) for connection in connections]
    gevent.sleep(WARM_UP_S)
    cpu_before = sum(map(cpu_seconds, pids))
    is_measuring[0] = True
    gevent.joinall(greenlets, raise_error=True)
    cpu_used = sum(map(cpu_seconds, pids)) - cpu_before
    for connection in connections:
        connection.close()
    count = len(latencies)
    return PathResult(
        topology, callers, count / seconds, summarize(latencies), cpu_used / max(count, 1) * 1e6
    )


def _print_result(result: PathResult, direct: PathResult) -> None:
    latencies = result.latencies
    line = (
        f"{result.topology:<12} {result.callers:>7} {result.per_second:>9.0f}"
        f" {latencies.p50:>8.3f} {latencies.p99:>8.3f} {result.proxy_us:>9.1f}"
    )
    if result is not direct:
        line += (
            f"   {result.per_second / direct.per_second:.2f} of direct throughput,"
            f" {latencies.p50 / direct.latencies.p50:.1f} times the direct median"
        )
        if result.proxy_us:
            line += f", one core handles {1e6 / result.proxy_us:.0f}/s"
    print(line)
