"""The command `apply`."""

import difflib
import uuid
from pathlib import Path
from typing import Annotated

from bramleyrill_core.configuration import (
    StoredObject,
    VersionConflict,
    decode_value,
    offer_text,
    parse_text,
)
from bramleyrill_daemon.platform import PlatformClient
from cyclopts import Parameter
from returns.pipeline import is_successful

from bramleyrill_cli._app import app
from bramleyrill_cli._options import PlatformUrl
from bramleyrill_cli._store import PlatformStore

EXIT_INVALID = 1
EXIT_UNREACHABLE = 2
EXIT_CONFLICT = 3


@app.command
def apply(
    file: Path,
    *,
    platform: PlatformUrl,
    base: Annotated[int | None, Parameter(help="Version that the file is based on.")] = None,
) -> int:
    """Check a configuration text and apply it, unless it was changed in the meantime.

    Exits with 1 if the text is invalid or the file cannot be read, 2 if the platform cannot be
    reached, and 3 if the accepted version is not the one that the file is based on.

    Parameters
    ----------
    file
        The YAML text.
    platform
        URL of the platform.
    base
        Version that the file is based on, as printed by `show`; by default, the version that is
        accepted when the command starts.
    """
    try:
        source = file.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: cannot be read: {error}")
        return EXIT_INVALID
    parsed = parse_text(source)
    if not is_successful(parsed):
        for error in parsed.failure():
            print(f"{file}: {error}")
        return EXIT_INVALID
    store = PlatformStore(PlatformClient(platform))
    if base is None:
        current = store.get("text", "current")
        if not is_successful(current):
            return _report_unreachable(current.failure().detail)
        base = current.unwrap().version
    result = offer_text(store, source, str(uuid.uuid4()), base)
    if is_successful(result):
        print(f"accepted as version {result.unwrap()}, digest {parsed.unwrap().digest}")
        return 0
    problem = result.failure()
    if isinstance(problem, VersionConflict):
        return _report_conflict(problem.current, source, base)
    return _report_unreachable(problem.detail)


def _report_unreachable(detail: str) -> int:
    print(f"the platform cannot be reached: {detail}")
    print(
        "the text may not have been accepted; once the platform responds, run `bramleyrill show`"
        " and repeat this command if needed"
    )
    return EXIT_UNREACHABLE


def _report_conflict(current: StoredObject, source: str, base: int) -> int:
    print(f"conflict: version {current.version} is accepted, but your file is based on {base}")
    try:
        current_source = decode_value(current.value)[1]
    except ValueError:
        # It was deleted, or another writer left it.
        current_source = ""
    for line in difflib.unified_diff(
        current_source.splitlines(),
        source.splitlines(),
        f"version {current.version}",
        "your file",
        "",
        "",
        2,
    ):
        print(line)
    print(f"merge both texts, then run `bramleyrill apply FILE --base {current.version}`")
    return EXIT_CONFLICT
