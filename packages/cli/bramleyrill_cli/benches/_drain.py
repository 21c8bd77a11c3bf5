"""`bench drain`: replace every VM in turn under load, and count what was cut."""

import time

import gevent

from bramleyrill_cli._app import bench
from bramleyrill_cli._client import BenchCaller, CallError
from bramleyrill_cli._figures import machine, summarize

CALLERS = 6
PAUSE_S = 0.01
SETTLE_S = 3.0
# Told between requests or before anything ran: the caller connects elsewhere and loses nothing.
CLEAN_STATES = frozenset({"57P01", "NR001", "NR002", "NR003", "NR004", "NR005"})


@bench.command
def drain(*, rounds: int = 2) -> int:
    """Stop and start each VM in turn while callers write, and count cut requests.

    A request is cut when it was sent and its outcome is unknown, or the connection ended before
    an answer came. Prints the time that each stop took and the exit codes.

    Parameters
    ----------
    rounds
        How often each of the three VMs is replaced.
    """
    from bramleyrill_standins.processes import Behaviour, Deployment

    print(machine())
    counts = {"acknowledged": 0, "refused": 0, "cut": 0}
    stops: list[float] = []
    codes: list[int] = []
    with Deployment(fleets=("kintsugi",), behaviour=Behaviour(latency_ms=0.5)) as deployment:
        _make_table(deployment)
        stopping: list[bool] = []
        leaving: set[int] = set()
        tasks = [
            gevent.spawn(_write, deployment, n, counts, stopping, leaving) for n in range(CALLERS)
        ]
        for _ in range(rounds):
            for proxy in deployment.proxies:
                gevent.sleep(SETTLE_S)
                # The balancer sends no new callers to a VM that is marked as leaving.
                leaving.add(proxy.port)
                started = time.monotonic()
                proxy.process.terminate()
                while proxy.process.exit_code is None:
                    gevent.sleep(0.02)
                stops.append(time.monotonic() - started)
                codes.append(proxy.process.exit_code)
                proxy.start()
                gevent.sleep(SETTLE_S)
                leaving.discard(proxy.port)
        stopping.append(True)
        gevent.joinall(tasks, timeout=30)
    figures = summarize(stops)
    print(
        f"{len(stops)} stops: p50 {figures.p50:.0f} ms, worst {figures.worst:.0f} ms, codes {codes}"
    )
    print(", ".join(f"{count} {what}" for what, count in counts.items()))
    return 1 if counts["cut"] or any(codes) else 0


def _connect(proxy) -> BenchCaller:
    return BenchCaller(proxy.port, "courier@kintsugi", "courier", "records")


def _make_table(deployment) -> None:
    end = time.monotonic() + 30
    while True:
        try:
            _connect(deployment.proxies[0]).query("CREATE TABLE visits (at text)")
            return
        except (CallError, OSError):
            if time.monotonic() > end:
                raise
            gevent.sleep(0.2)


def _write(deployment, number: int, counts: dict, stopping: list, leaving: set) -> None:
    caller, port = None, 0
    while not stopping:
        sent = False
        try:
            if caller is None:
                serving = [proxy for proxy in deployment.proxies if proxy.port not in leaving]
                proxy = serving[number % len(serving)]
                caller, port = _connect(proxy), proxy.port
            sent = True
            caller.query(f"INSERT INTO visits VALUES ('{number}')")
            counts["acknowledged"] += 1
        except CallError as problem:
            clean = problem.sqlstate in CLEAN_STATES
            counts["refused" if clean else "cut"] += 1
            if problem.sqlstate == "57P01":
                caller = None
        except OSError:
            # Only a connection that ended with a request under way cuts something.
            counts["cut"] += sent and port not in leaving
            counts["refused"] += not sent or port in leaving
            caller = None
        gevent.sleep(PAUSE_S)
