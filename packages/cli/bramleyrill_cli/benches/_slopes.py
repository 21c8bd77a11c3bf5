"""`bench slopes`: marginal cost of sessions, statements, VMs and others, for the capacity page."""

import json
import subprocess
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import attrs
from cyclopts import Parameter

from bramleyrill_cli._app import bench
from bramleyrill_cli._figures import describe_machine
from bramleyrill_cli.slopes import Slope, fill_page, fit_line, slopes_by_name


@bench.command
def slopes(
    *,
    only: Annotated[str, Parameter(help="Run only slopes whose name contains this.")] = "",
    write: Annotated[Path | None, Parameter(help="File to write the results to.")] = None,
    page: Annotated[Path | None, Parameter(help="Capacity page whose tables to update.")] = None,
) -> int:
    """Run the real code of each role at several sizes and fit a line to its cost.

    Each line is fitted to all points but the largest, which is used to check the fit.

    Parameters
    ----------
    only
        Run only slopes whose name contains this.
    write
        JSON file to write machine, date, commit and slopes to; slopes in it that are not run
        this time are kept.
    page
        Capacity page whose tables are updated from that file.
    """
    results: dict[str, Slope] = {}
    for name, measurement in slopes_by_name.by_name.items():
        if only not in name:
            continue
        unit, of, points = measurement()
        slope = results[name] = fit_line(name, unit, of, points)
        print(
            f"{name:<24} {slope.per_unit:>12.4g} {unit} for each {of}, fixed {slope.fixed:.4g},"
            f" largest size off the line by {slope.check_error:.1%}",
            flush=True,
        )
    if write is not None:
        _write(write, results)
        if page is not None:
            page.write_text(
                fill_page(page.read_text("utf-8"), json.loads(write.read_text())), "utf-8"
            )
    return 0


def _write(path: Path, results: dict[str, Slope]) -> None:
    document = json.loads(path.read_text()) if path.exists() else {"slopes": {}}
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    )
    document["machine"] = describe_machine()
    document["date"] = datetime.now(UTC).date().isoformat()
    document["commit"] = commit.stdout.strip()
    for name, slope in results.items():
        document["slopes"][name] = attrs.asdict(slope)
    path.write_text(json.dumps(document, indent=1, sort_keys=True) + "\n")
