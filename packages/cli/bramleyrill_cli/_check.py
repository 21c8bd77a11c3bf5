"""The command `check`."""

from pathlib import Path

from bramleyrill_core.text import parse_text
from returns.pipeline import is_successful

from bramleyrill_cli._app import app


@app.command
def check(file: Path) -> int:
    """Report every error in a configuration text, with line, column and how to fix it.

    Exits with 1 if the text is invalid, and 2 if the file cannot be read.

    Parameters
    ----------
    file
        The YAML text.
    """
    try:
        source = file.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: cannot be read: {error}")
        return 2
    parsed = parse_text(source)
    if not is_successful(parsed):
        for error in parsed.failure():
            print(f"{file}: {error}")
        print(f"{len(parsed.failure())} errors; the text was only checked, not applied")
        return 1
    text = parsed.unwrap()
    services = sum(len(fleet.services) for fleet in text.fleets.values())
    print(
        f"{file}: ok, {len(text.fleets)} fleets, {services} services,"
        f" {len(text.databases)} databases, digest {text.digest}"
    )
    return 0
