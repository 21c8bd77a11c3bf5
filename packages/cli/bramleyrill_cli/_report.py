"""The command `report burn`."""

from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

from bramleyrill_core.burn import (
    BurnRow,
    TeamRow,
    merge_snapshots,
    teams_to_text,
    to_html,
    to_text,
)
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
    objective: Annotated[
        float, Parameter(help="Share to serve within target, for --metrics.")
    ] = 0.99,
    html: Annotated[Path | None, Parameter(help="File to write an HTML page to.")] = None,
) -> int:
    """Report how fast each fleet, service and rank uses up its error budget.

    Merges the counts of the last hour from every VM, or reads the metrics of entry VMs on the
    prepared platform, which cover the time since those started and show the teams too.

    Parameters
    ----------
    platform
        URL of the platform, which lists the VMs.
    key_file
        File with the shared key of the VMs.
    metrics
        Files or URLs of metrics, to use instead of a platform.
    objective
        Share of statements to serve within the target; used with --metrics only, since otherwise
        the configuration text defines it.
    html
        File to write a self-contained HTML page to, instead of printing a table.
    """
    if metrics:
        return _report_metrics(metrics, objective, html)
    if platform is None or key_file is None:
        print("give either --metrics, or both --platform and --key-file")
        return 2
    from bramleyrill_cli._vms import query_vms

    try:
        answers = query_vms(platform, key_file, "burn")
    except PlatformError as error:
        print(f"the platform cannot be reached: {error}")
        return 2
    unanswered = [answer.vm for answer in answers if answer.body is None]
    snapshots = [answer.body for answer in answers if answer.body is not None]
    _output_rows(merge_snapshots(snapshots), len(snapshots), html)
    if unanswered:
        print(f"VMs that did not answer: {', '.join(unanswered)}")
    return 0


def _report_metrics(sources: list[str], objective: float, html: Path | None) -> int:
    from bramleyrill_cli._burn_metrics import MetricsError, burn_rows_from_metrics, read_metrics
    from bramleyrill_cli._team_figures import team_rows_from_metrics

    try:
        texts = [read_metrics(source) for source in sources]
    except MetricsError as error:
        print(f"the metrics cannot be read: {error}")
        return 2
    rows, teams = burn_rows_from_metrics(texts, objective), team_rows_from_metrics(texts)
    _output_rows(rows, len(texts), html, teams)
    return 0


def _output_rows(
    rows: list[BurnRow], vms: int, html: Path | None, teams: Sequence[TeamRow] = ()
) -> None:
    if html is None:
        print("\n".join(part for part in (to_text(rows), teams_to_text(list(teams))) if part))
        return
    html.write_text(to_html(rows, datetime.now(UTC), vms, teams), "utf-8")
    print(f"wrote {html}")
