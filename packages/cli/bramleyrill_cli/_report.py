"""The command `report burn`."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

from bramleyrill_core.burn import rows_of, to_html, to_text
from bramleyrill_daemon.platform import PlatformError
from cyclopts import Parameter

from bramleyrill_cli._app import report
from bramleyrill_cli._options import KeyFile, PlatformUrl


@report.command
def burn(
    *,
    platform: PlatformUrl,
    key_file: KeyFile,
    html: Annotated[Path | None, Parameter(help="File to write the page to.")] = None,
) -> int:
    """Report how fast each fleet, service and rank uses up its error budget.

    Asks every VM for its counts of the last hour and merges them.

    Parameters
    ----------
    platform
        URL of the platform, which lists the VMs.
    key_file
        File with the key that the VMs share.
    html
        File to write a self-contained page to, in place of text.
    """
    from bramleyrill_cli._vms import ask_vms

    try:
        answers = ask_vms(platform, key_file, "burn")
    except PlatformError as problem:
        print(f"the platform cannot be reached: {problem}")
        return 2
    silent = [answer.vm for answer in answers if answer.body is None]
    snapshots = [answer.body for answer in answers if answer.body is not None]
    rows = rows_of(snapshots)
    if html is None:
        print(to_text(rows))
    else:
        html.write_text(to_html(rows, datetime.now(UTC), len(snapshots)), "utf-8")
        print(f"wrote {html}")
    if silent:
        print(f"did not answer: {', '.join(silent)}")
    return 0
