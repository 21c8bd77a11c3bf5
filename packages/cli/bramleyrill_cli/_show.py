"""The command `show`."""

from pathlib import Path
from typing import Annotated, Any

from bramleyrill_core.configuration import decode_value, parse_text
from bramleyrill_daemon.platform import PlatformClient, PlatformError
from cyclopts import Parameter
from returns.pipeline import is_successful

from bramleyrill_cli._app import app
from bramleyrill_cli._options import KeyFile, PlatformUrl
from bramleyrill_cli._store import PlatformStore


@app.command
def show(
    *,
    platform: PlatformUrl,
    key_file: KeyFile | None = None,
    text: Annotated[bool, Parameter(negative="")] = False,
) -> int:
    """Show which configuration text is accepted and which version each VM has in force.

    Exits with 1 if no text has been accepted, or if a VM has another version in force or did not
    answer, and with 2 if the platform cannot be reached.

    Parameters
    ----------
    platform
        URL of the platform.
    key_file
        File with the shared key of the VMs; without it, the VMs are not queried.
    text
        Print only the accepted text.
    """
    current = PlatformStore(PlatformClient(platform)).get("text", "current")
    if not is_successful(current):
        return _report_unreachable(current.failure().detail)
    stored = current.unwrap()
    if not stored.version:
        print("no text has been accepted yet; run `bramleyrill apply FILE`")
        return 1
    try:
        identity, source = decode_value(stored.value)
    except ValueError as error:
        print(f"version {stored.version} of the text cannot be read: {error}")
        return 1
    if text:
        print(source, end="")
        return 0
    parsed = parse_text(source)
    digest = parsed.unwrap().digest if is_successful(parsed) else "not valid for this release"
    print(f"accepted: version {stored.version}, digest {digest}, identity {identity}")
    return _print_vms(platform, key_file, stored.version) if key_file else 0


def _print_vms(platform: str, key_file: Path, accepted_version: int) -> int:
    # Imported here so that commands that query no VM do not load the event loop.
    from bramleyrill_cli._vms import query_vms

    try:
        answers = query_vms(platform, key_file, "status")
    except PlatformError as error:
        return _report_unreachable(error)
    mismatched = 0
    for answer in answers:
        prefix = f"{answer.vm:<20} {answer.domain:<14} {answer.state:<8}"
        try:
            line = _describe_status(answer.body or {})
        except (KeyError, TypeError, ValueError):
            print(f"{prefix} did not answer")
            mismatched += 1
            continue
        print(f"{prefix} {line}")
        mismatched += answer.body["version"] != accepted_version
    print(
        f"{mismatched} VMs have another version or did not answer"
        if mismatched
        else "in force on every VM"
    )
    return 1 if mismatched else 0


def _describe_status(status: dict[str, Any]) -> str:
    """Return the line for a VM's answer; raise KeyError, TypeError or ValueError if malformed."""
    line = f"version {status['version']} for {status['in_force_s']:.0f} s"
    for rejected in status.get("rejected", ()):
        line += f"; cannot apply {rejected}"
    return line


def _report_unreachable(detail: object) -> int:
    print(f"the platform cannot be reached: {detail}")
    return 2
