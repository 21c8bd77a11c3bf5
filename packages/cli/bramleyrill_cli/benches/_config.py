"""`bench config`: time until a text is in force on every VM, and platform calls needed for it."""

import time

from bramleyrill_cli._app import bench
from bramleyrill_cli._figures import describe_machine, summarize

IN_FORCE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
AT_REST_S = 10.0


@bench.command
def config(*, changes: int = 10, vms: int = 6) -> int:
    """Change the configuration text repeatedly and wait until every VM has it in force.

    Prints the distribution of the time from acceptance until the last VM has it, and the number
    of platform calls by kind: at rest, and in addition for each change, by all VMs together.

    Parameters
    ----------
    changes
        Number of changes.
    vms
        Number of entry VMs.
    """
    from bramleyrill_standins.processes import Deployment

    print(describe_machine())
    with Deployment(proxies=vms, fleets=("kintsugi",)) as deployment:
        # The platform numbers all writes together; two secrets are stored before the text.
        version = 3
        _wait_in_force(deployment, version)
        time.sleep(AT_REST_S / 2)
        calls_at_rest = _calls_during(deployment, lambda: time.sleep(AT_REST_S))
        in_force_times: list[float] = []

        def change() -> None:
            for number in range(changes):
                deployment.text["drain_timeout"] = f"{30 + number}s"
                accepted = deployment.apply()
                started = time.monotonic()
                _wait_in_force(deployment, accepted)
                in_force_times.append(time.monotonic() - started)

        started = time.monotonic()
        calls_with_changes = _calls_during(deployment, change)
        elapsed = time.monotonic() - started
    summary = summarize(in_force_times)
    print(
        f"{changes} changes, {vms} VMs: in force everywhere after p50 {summary.p50:.0f} ms,"
        f" worst {summary.worst:.0f} ms (goal 5000 ms)"
    )
    for kind in sorted({*calls_at_rest, *calls_with_changes}):
        at_rest = calls_at_rest.get(kind, 0) / AT_REST_S
        calls_per_change = (calls_with_changes.get(kind, 0) - at_rest * elapsed) / changes
        print(
            f"  {kind:<12} {at_rest / vms:.3f} calls/s for each VM at rest,"
            f" {calls_per_change:+.1f} by all VMs for each change"
        )
    return 0


def _wait_in_force(deployment, version: int) -> None:
    end = time.monotonic() + IN_FORCE_TIMEOUT_S
    expected_pair = f"version={version} "
    while time.monotonic() < end:
        lines_by_vm = [proxy.log_lines("text_in_force") for proxy in deployment.proxies]
        if all(lines and expected_pair in lines[-1] for lines in lines_by_vm):
            return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"version {version} is not in force everywhere after {IN_FORCE_TIMEOUT_S} s")


def _calls_during(deployment, run) -> dict[str, int]:
    before = deployment.platform.state()["calls"]
    run()
    after = deployment.platform.state()["calls"]
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}
