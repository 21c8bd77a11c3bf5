"""`bench config`: the time until a text is in force everywhere, and the platform calls it costs."""

import time

from bramleyrill_cli._app import bench
from bramleyrill_cli._figures import machine, summarize

LIMIT_S = 20.0
POLL_S = 0.02
QUIET_S = 10.0


@bench.command
def config(*, changes: int = 10, vms: int = 6) -> int:
    """Change the text again and again and wait until every VM has it in force.

    Prints the distribution of the time from acceptance to the last VM, and the platform calls of
    the whole fleet by kind: at rest, and in addition for each change.

    Parameters
    ----------
    changes
        How many changes are made.
    vms
        How many entry VMs run.
    """
    from bramleyrill_standins.processes import Deployment

    print(machine())
    with Deployment(proxies=vms, fleets=("kintsugi",)) as deployment:
        version = 3
        _wait_in_force(deployment, version)
        time.sleep(QUIET_S / 2)
        quiet = _calls_during(deployment, lambda: time.sleep(QUIET_S))
        times: list[float] = []

        def change() -> None:
            for number in range(changes):
                deployment.text["drain_timeout"] = f"{30 + number}s"
                accepted = deployment.apply()
                started = time.monotonic()
                _wait_in_force(deployment, accepted)
                times.append(time.monotonic() - started)

        started = time.monotonic()
        busy = _calls_during(deployment, change)
        elapsed = time.monotonic() - started
    figures = summarize(times)
    print(
        f"{changes} changes, {vms} VMs: in force everywhere after p50 {figures.p50:.0f} ms,"
        f" worst {figures.worst:.0f} ms (goal 5000 ms)"
    )
    for kind in sorted({*quiet, *busy}):
        at_rest = quiet.get(kind, 0) / QUIET_S
        extra = (busy.get(kind, 0) - at_rest * elapsed) / changes
        print(
            f"  {kind:<12} {at_rest / vms:.3f} calls/s for each VM at rest, {extra:+.1f} a change"
        )
    return 0


def _wait_in_force(deployment, version: int) -> None:
    end = time.monotonic() + LIMIT_S
    wanted = f"version={version} "
    while time.monotonic() < end:
        lines = [proxy.log_lines("text_in_force") for proxy in deployment.proxies]
        if all(found and wanted in found[-1] for found in lines):
            return
        time.sleep(POLL_S)
    raise TimeoutError(f"version {version} is not in force everywhere after {LIMIT_S} s")


def _calls_during(deployment, run) -> dict[str, int]:
    before = deployment.platform.state()["calls"]
    run()
    after = deployment.platform.state()["calls"]
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}
