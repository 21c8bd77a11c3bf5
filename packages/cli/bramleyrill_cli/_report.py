"""The command `report burn`."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

from bramleyrill_core.burn import BurnRow, merge_snapshots, to_html, to_text
from bramleyrill_daemon.platform import PlatformError
from cyclopts import Parameter

from bramleyrill_cli._app import report
from bramleyrill_cli._options import KeyFile, PlatformUrl


@report.command
def burn(
    *,
    platform: PlatformUrl | None = None,
    key_file: KeyFile | None = None,
    metrics: Annotated[
        list[str] | None,
        Parameter(help="File or URL of an entry VM's metrics; may be repeated."),
    ] = None,
    objective: Annotated[float, Parameter(help="Share to serve in target, for --metrics.")] = 0.99,
    html: Annotated[Path | None, Parameter(help="File to write the page to.")] = None,
) -> int:
    """Report how fast each fleet, service and rank uses up its error budget.

    Asks every VM for its counts of the last hour and merges them, or reads the metrics of entry
    VMs of the prepared platform, which count from their start.

    Parameters
    ----------
    platform
        URL of the platform, which lists the VMs.
    key_file
        File with the key that the VMs share.
    metrics
        Files or URLs of metrics, in place of a platform.
    objective
        Share of statements to serve within the target; the platform's text tells it otherwise.
    html
        File to write a self-contained page to, in place of text.
    """
    if metrics:
        return _report_metrics(metrics, objective, html)
    if platform is None or key_file is None:
        print("either --metrics, or --platform and --key-file are needed")
        return 2
    from bramleyrill_cli._vms import ask_vms

    try:
        answers = ask_vms(platform, key_file, "burn")
    except PlatformError as problem:
        print(f"the platform cannot be reached: {problem}")
        return 2
    silent = [answer.vm for answer in answers if answer.body is None]
    snapshots = [answer.body for answer in answers if answer.body is not None]
    _show(merge_snapshots(snapshots), len(snapshots), html)
    if silent:
        print(f"did not answer: {', '.join(silent)}")
    return 0


def _report_metrics(sources: list[str], objective: float, html: Path | None) -> int:
    from bramleyrill_cli._burn_metrics import MetricsError, read_metrics, rows_of_metrics

    try:
        texts = [read_metrics(source) for source in sources]
    except MetricsError as problem:
        print(f"the metrics cannot be read: {problem}")
        return 2
    _show(rows_of_metrics(texts, objective), len(texts), html)
    return 0


def _show(rows: list[BurnRow], vms: int, html: Path | None) -> None:
    if html is None:
        print(to_text(rows))
        return
    html.write_text(to_html(rows, datetime.now(UTC), vms), "utf-8")
    print(f"wrote {html}")
