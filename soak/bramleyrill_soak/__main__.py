"""Run soaks: `python -m bramleyrill_soak --first 1 --count 50`."""

import pathlib
import sys

from cyclopts import App

from bramleyrill_soak._run import SoakReport, soak

app = App(name="bramleyrill-soak", help="Randomized fault soak of the entry processes.")


@app.default
def run(
    first: int = 1,
    count: int = 1,
    duration_s: float = 15.0,
    logs: pathlib.Path | None = None,
    fenced_orders: bool = True,
    sync_replicas: int = 0,
) -> int:
    """Run `count` soaks with seeds from `first` on; each starts faults for `duration_s` seconds.

    If a seed breaks a promise, the logs of its processes are saved in the folder `logs`, if one is
    given, and the exit code is 1. With `--no-fenced-orders` a replaced primary goes on until it is
    demoted, and the processes use permits. With `sync_replicas` that many replicas confirm each
    commit, and no change of primary may lose one.
    """
    failed = []
    for seed in range(first, first + count):
        report = soak(seed, duration_s, fenced_orders=fenced_orders, sync_replicas=sync_replicas)
        _print_report(report)
        if report.violations:
            failed.append(seed)
            _save_logs(report, logs)
    print(
        f"{count - len(failed)} of {count} seeds kept all promises;"
        f" seeds with broken promises: {failed or 'none'}"
    )
    return 1 if failed else 0


def _print_report(report: SoakReport) -> None:
    summary = "; ".join(map(str, report.violations[:5])) or "all promises kept"
    print(
        f"seed {report.seed}: {len(report.faults)} faults, {report.served} operations served, "
        f"{report.commits} commits, {summary}",
        flush=True,
    )
    if report.violations:
        print("  faults: " + ", ".join(report.faults), flush=True)


def _save_logs(report: SoakReport, folder: pathlib.Path | None) -> None:
    if folder is None:
        return
    folder.mkdir(parents=True, exist_ok=True)
    for vm, text in report.logs_by_vm.items():
        (folder / f"seed-{report.seed}-{vm}.log").write_text(text)


if __name__ == "__main__":
    sys.exit(app())
