"""Slopes of a real proxy process: memory per session, CPU time per statement, idle cost."""

import functools
import time

import gevent
import gevent.pool

from bramleyrill_cli._client import BenchCaller
from bramleyrill_cli._figures import cpu_seconds, resident_bytes
from bramleyrill_cli.slopes._measure import Point, slopes_by_name

SESSION_COUNTS = (1000, 2000, 3000, 4000, 5000, 6000)
STATEMENTS_PER_S = (200, 400, 800, 1600)
RUN_S = 4.0
CALLER_COUNT = 8
MAX_CONCURRENT_CONNECTS = 16
STATEMENT = "SELECT 1"
# An idle proxy uses only a few kernel clock ticks of CPU time per second, too few to measure in
# a short run.
IDLE_S = 15.0
IDLE_SETTLE_S = 8.0
# Databases per service, and fleets. No fleets means all of them, which doubles the number of
# databases of the entry before.
INSTALLATIONS = ((1, ("kintsugi",)), (2, ("kintsugi",)), (3, ("kintsugi",)), (3, ()))
LIMITS = {"connections": 400, "slots": 32}


def _start_deployment():
    from bramleyrill_standins.processes import Deployment

    return Deployment(databases=1, proxies=3, fleets=("kintsugi",), limits=LIMITS)


def _connect(proxy) -> BenchCaller:
    return BenchCaller(proxy.port, "restorer@kintsugi", "restorer", "records")


@slopes_by_name.register("idle_session_bytes")
def idle_session_bytes() -> tuple[str, str, list[Point]]:
    """Measure the resident memory of a proxy by number of idle sessions."""
    points = []
    with _start_deployment() as deployment:
        proxy = deployment.proxies[0]
        _wait_until_ready(proxy)
        callers: list[BenchCaller] = []
        for size in SESSION_COUNTS:
            pool = gevent.pool.Pool(MAX_CONCURRENT_CONNECTS)
            missing = size - len(callers)
            callers += pool.map(lambda _: _connect(proxy), range(missing))
            callers[-1].query(STATEMENT)
            time.sleep(1.0)
            points.append(Point(size, float(resident_bytes(proxy.process.pid))))
        for caller in callers:
            caller.close()
    return "B", "session", points


@slopes_by_name.register("front_statement_us")
def front_statement_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time of a proxy that holds the member itself, by statement rate."""
    with _start_deployment() as deployment:
        holder, _ = _holder_and_other(deployment)
        points = _measure_rates(holder, [holder.process.pid])
    return "us/s", "statement/s", points


@slopes_by_name.register("forwarded_statement_us")
def forwarded_statement_us() -> tuple[str, str, list[Point]]:
    """Measure the total CPU time of two proxies, one of which forwards statements to the other."""
    with _start_deployment() as deployment:
        holder, other = _holder_and_other(deployment)
        points = _measure_rates(other, [holder.process.pid, other.process.pid])
    return "us/s", "statement/s", points


def _holder_and_other(deployment):
    group = next(iter(deployment.groups.values()))
    fleet = deployment.text["fleets"]["kintsugi"]
    members = fleet["services"]["onarim-defteri"]["databases"]["records"]["members"]
    domain = members[group.primary()]["domain"]
    holder = next(proxy for proxy in deployment.proxies if proxy.location.domain == domain)
    other = next(proxy for proxy in deployment.proxies if proxy is not holder)
    _wait_until_ready(holder)
    _wait_until_ready(other)
    return holder, other


def _wait_until_ready(proxy) -> None:
    """Wait until the proxy serves statements, and a few more seconds for its start to finish."""
    end = time.monotonic() + 30.0
    while True:
        try:
            caller = _connect(proxy)
            caller.query(STATEMENT)
            caller.close()
            time.sleep(3.0)
            return
        except Exception:
            if time.monotonic() > end:
                raise
            time.sleep(0.2)


def _measure_rates(proxy, pids: list[int]) -> list[Point]:
    callers = [_connect(proxy) for _ in range(CALLER_COUNT)]
    points = []
    for rate in STATEMENTS_PER_S:
        points.append(Point(*_run_at_rate(callers, rate, pids)))
    for caller in callers:
        caller.close()
    return points


def _run_at_rate(callers: list[BenchCaller], rate: int, pids: list[int]) -> tuple[float, float]:
    """Run statements at `rate` per second; return the rate reached and CPU us per second."""
    interval_s = len(callers) / rate
    completed = [0]
    started = time.monotonic()

    def run_statements(caller: BenchCaller, offset: float) -> None:
        due_at = started + offset
        while due_at < started + RUN_S:
            gevent.sleep(max(0.0, due_at - time.monotonic()))
            caller.query(STATEMENT)
            completed[0] += 1
            due_at += interval_s

    cpu_before = sum(map(cpu_seconds, pids))
    greenlets = [
        gevent.spawn(run_statements, caller, interval_s * number / len(callers))
        for number, caller in enumerate(callers)
    ]
    gevent.joinall(greenlets, raise_error=True)
    elapsed = time.monotonic() - started
    cpu_used = sum(map(cpu_seconds, pids)) - cpu_before
    return completed[0] / elapsed, cpu_used / elapsed * 1e6


@slopes_by_name.register("control_process_us")
def control_process_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time of an idle proxy that holds all members of its databases."""
    return "us/s", "database", [_measure_idle_process(*size)[0] for size in INSTALLATIONS]


@slopes_by_name.register("control_process_bytes")
def control_process_bytes() -> tuple[str, str, list[Point]]:
    """Measure the resident memory of an idle proxy that holds all members of its databases."""
    return "B", "database", [_measure_idle_process(*size)[1] for size in INSTALLATIONS]


@functools.cache
def _measure_idle_process(databases: int, fleets: tuple[str, ...]) -> tuple[Point, Point]:
    from bramleyrill_standins.processes import Deployment

    with Deployment(databases=databases, proxies=1, fleets=fleets, one_process=True) as deployment:
        time.sleep(IDLE_SETTLE_S)
        pid = deployment.proxies[0].process.pid
        cpu_before = cpu_seconds(pid)
        time.sleep(IDLE_S)
        cpu_used = (cpu_seconds(pid) - cpu_before) / IDLE_S * 1e6
        size = len(deployment.groups)
        return Point(size, cpu_used), Point(size, float(resident_bytes(pid)))
