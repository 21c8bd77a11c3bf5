"""`bench drain`: restart every VM in turn under load and count interrupted requests."""

import time

import gevent

from bramleyrill_cli._app import bench
from bramleyrill_cli._client import BenchCaller, CallError
from bramleyrill_cli._figures import describe_machine, summarize

CALLER_COUNT = 6
WRITE_INTERVAL_S = 0.01
SETTLE_S = 3.0
# Sent between requests or before a request ran, so the caller can retry on another VM.
SAFE_SQLSTATES = frozenset({"57P01", "NR001", "NR002", "NR003", "NR004", "NR005"})


@bench.command
def drain(*, rounds: int = 2) -> int:
    """Stop and start each VM in turn while callers write, and count interrupted requests.

    A request counts as "cut" if it was sent and its outcome is unknown, or if the connection was
    closed before the response arrived while its VM was not leaving. Prints how long the VMs took to
    stop, and their exit codes.

    Parameters
    ----------
    rounds
        How often each of the three VMs is restarted.
    """
    from bramleyrill_standins.processes import Behaviour, Deployment

    print(describe_machine())
    counts = {"acknowledged": 0, "refused": 0, "cut": 0}
    stop_seconds: list[float] = []
    exit_codes: list[int] = []
    with Deployment(fleets=("kintsugi",), behaviour=Behaviour(latency_ms=0.5)) as deployment:
        _create_table(deployment)
        stopping: list[bool] = []
        leaving: set[int] = set()
        tasks = [
            gevent.spawn(_write, deployment, n, counts, stopping, leaving)
            for n in range(CALLER_COUNT)
        ]
        for _ in range(rounds):
            for proxy in deployment.proxies:
                gevent.sleep(SETTLE_S)
                # A load balancer sends no new callers to a VM that is marked as leaving.
                leaving.add(proxy.port)
                started = time.monotonic()
                proxy.process.terminate()
                while proxy.process.exit_code is None:
                    gevent.sleep(0.02)
                stop_seconds.append(time.monotonic() - started)
                exit_codes.append(proxy.process.exit_code)
                proxy.start()
                gevent.sleep(SETTLE_S)
                leaving.discard(proxy.port)
        stopping.append(True)
        gevent.joinall(tasks, timeout=30)
    summary = summarize(stop_seconds)
    print(
        f"{len(stop_seconds)} stops: p50 {summary.p50:.0f} ms,"
        f" worst {summary.worst:.0f} ms, exit codes {exit_codes}"
    )
    print(", ".join(f"{count} {outcome}" for outcome, count in counts.items()))
    return 1 if counts["cut"] or any(exit_codes) else 0


def _connect(proxy) -> BenchCaller:
    return BenchCaller(proxy.port, "courier@kintsugi", "courier", "records")


def _create_table(deployment) -> None:
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
        except CallError as error:
            safe = error.sqlstate in SAFE_SQLSTATES
            counts["refused" if safe else "cut"] += 1
            if error.sqlstate == "57P01":
                caller = None
        except OSError:
            # A failed attempt to connect, or a close by a leaving VM, does not count as cut.
            counts["cut"] += sent and port not in leaving
            counts["refused"] += not sent or port in leaving
            caller = None
        gevent.sleep(WRITE_INTERVAL_S)
