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

EXIT_FAULTY = 1
EXIT_UNREACHABLE = 2
EXIT_CONFLICT = 3


@app.command
def apply(
    file: Path,
    *,
    platform: PlatformUrl,
    base: Annotated[int | None, Parameter(help="Version that the file was made from.")] = None,
) -> int:
    """Check a text and put it in force, if nobody else changed it meanwhile.

    Exits with 1 if the text is faulty, 2 if the platform cannot be reached, and 3 if another
    version is in force than the one the file was made from.

    Parameters
    ----------
    file
        The YAML text.
    platform
        URL of the platform.
    base
        Version that the file was made from, as `show` prints it; without it, the version that
        is accepted when the command starts.
    """
    source = file.read_text("utf-8")
    parsed = parse_text(source)
    if not is_successful(parsed):
        for error in parsed.failure():
            print(f"{file}: {error}")
        return EXIT_FAULTY
    store = PlatformStore(PlatformClient(platform))
    if base is None:
        current = store.get("text", "current")
        if not is_successful(current):
            return _report_unreachable(current.failure().detail)
        base = current.unwrap().version
    offered = offer_text(store, source, str(uuid.uuid4()), base)
    if is_successful(offered):
        print(f"accepted as version {offered.unwrap()}, digest {parsed.unwrap().digest}")
        return 0
    problem = offered.failure()
    if isinstance(problem, VersionConflict):
        return _report_conflict(problem.current, source, base)
    return _report_unreachable(problem.detail)


def _report_unreachable(detail: str) -> int:
    print(f"the platform cannot be reached: {detail}")
    print("nothing is known to have changed; run `bramleyrill show` once it answers, then repeat")
    return EXIT_UNREACHABLE


def _report_conflict(current: StoredObject, source: str, base: int) -> int:
    print(f"conflict: version {current.version} is accepted, your file was made from {base}")
    theirs = decode_value(current.value)[1] if current.value else ""
    for line in difflib.unified_diff(
        theirs.splitlines(),
        source.splitlines(),
        f"version {current.version}",
        "your file",
        "",
        "",
        2,
    ):
        print(line)
    print(f"merge the two, then run `bramleyrill apply FILE --base {current.version}`")
    return EXIT_CONFLICT
