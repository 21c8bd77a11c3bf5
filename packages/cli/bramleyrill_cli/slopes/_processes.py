"""Slopes of a real proxy process: resident memory by session, processor time by statement."""

import functools
import time

import gevent
import gevent.pool

from bramleyrill_cli._client import BenchCaller
from bramleyrill_cli._figures import processor_seconds, resident_bytes
from bramleyrill_cli.slopes._measure import Point, slopes_by_name

SESSIONS = (1000, 2000, 3000, 4000, 5000, 6000)
RATES = (200, 400, 800, 1600)
SECONDS = 4.0
CALLERS = 8
CONNECTING = 16
STATEMENT = "SELECT 1"
# A second of an idle proxy takes a few ticks of the kernel's clock of processor time only.
IDLE_S = 15.0
IDLE_SETTLE_S = 8.0
# Databases of each service, and the fleets; all fleets together double the last one.
INSTALLATIONS = ((1, ("kintsugi",)), (2, ("kintsugi",)), (3, ("kintsugi",)), (3, ()))
LIMITS = {"connections": 400, "slots": 32}


def _deployment():
    from bramleyrill_standins.processes import Deployment

    return Deployment(databases=1, proxies=3, fleets=("kintsugi",), limits=LIMITS)


def _connect(proxy) -> BenchCaller:
    return BenchCaller(proxy.port, "restorer@kintsugi", "restorer", "records")


@slopes_by_name.register("idle_session_bytes")
def idle_session_bytes() -> tuple[str, str, list[Point]]:
    """Measure the resident memory of a proxy by idle sessions that have read once."""
    points = []
    with _deployment() as deployment:
        proxy = deployment.proxies[0]
        _settle(proxy)
        callers: list[BenchCaller] = []
        for size in SESSIONS:
            pool = gevent.pool.Pool(CONNECTING)
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
    """Measure the processor time of a proxy that holds the member itself, by statements/s."""
    with _deployment() as deployment:
        holder, _ = _holder_and_other(deployment)
        points = _rates(holder, [holder.process.pid])
    return "us/s", "statement/s", points


@slopes_by_name.register("forwarded_statement_us")
def forwarded_statement_us() -> tuple[str, str, list[Point]]:
    """Measure the processor time of both proxies together where one forwards to the other."""
    with _deployment() as deployment:
        holder, other = _holder_and_other(deployment)
        points = _rates(other, [holder.process.pid, other.process.pid])
    return "us/s", "statement/s", points


def _holder_and_other(deployment):
    group = next(iter(deployment.groups.values()))
    fleet = deployment.text["fleets"]["kintsugi"]
    members = fleet["services"]["onarim-defteri"]["databases"]["records"]["members"]
    domain = members[group.primary()]["domain"]
    holder = next(proxy for proxy in deployment.proxies if proxy.location.domain == domain)
    other = next(proxy for proxy in deployment.proxies if proxy is not holder)
    _settle(holder)
    _settle(other)
    return holder, other


def _settle(proxy) -> None:
    """Wait until the proxy serves, and let its start be over."""
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


def _rates(proxy, pids: list[int]) -> list[Point]:
    callers = [_connect(proxy) for _ in range(CALLERS)]
    points = []
    for rate in RATES:
        points.append(Point(*_run_at(callers, rate, pids)))
    for caller in callers:
        caller.close()
    return points


def _run_at(callers: list[BenchCaller], rate: int, pids: list[int]) -> tuple[float, float]:
    """Return statements a second and processor microseconds a second at a paced rate."""
    pause = len(callers) / rate
    done = [0]
    started = time.monotonic()

    def call(caller: BenchCaller, offset: float) -> None:
        due = started + offset
        while due < started + SECONDS:
            gevent.sleep(max(0.0, due - time.monotonic()))
            caller.query(STATEMENT)
            done[0] += 1
            due += pause

    before = sum(map(processor_seconds, pids))
    tasks = [
        gevent.spawn(call, caller, pause * number / len(callers))
        for number, caller in enumerate(callers)
    ]
    gevent.joinall(tasks, raise_error=True)
    elapsed = time.monotonic() - started
    used = sum(map(processor_seconds, pids)) - before
    return done[0] / elapsed, used / elapsed * 1e6


@slopes_by_name.register("control_process_us")
def control_process_us() -> tuple[str, str, list[Point]]:
    """Measure the processor time of an idle proxy that holds all members of its databases."""
    return "us/s", "database", [_idle_process(*size)[0] for size in INSTALLATIONS]


@slopes_by_name.register("control_process_bytes")
def control_process_bytes() -> tuple[str, str, list[Point]]:
    """Measure the resident memory of an idle proxy that holds all members of its databases."""
    return "B", "database", [_idle_process(*size)[1] for size in INSTALLATIONS]


@functools.cache
def _idle_process(databases: int, fleets: tuple[str, ...]) -> tuple[Point, Point]:
    from bramleyrill_standins.processes import Deployment

    with Deployment(databases=databases, proxies=1, fleets=fleets, one_process=True) as deployment:
        time.sleep(IDLE_SETTLE_S)
        pid = deployment.proxies[0].process.pid
        before = processor_seconds(pid)
        time.sleep(IDLE_S)
        used = (processor_seconds(pid) - before) / IDLE_S * 1e6
        size = len(deployment.groups)
        return Point(size, used), Point(size, float(resident_bytes(pid)))
