"""The command `replay`."""

from pathlib import Path

from bramleyrill_cli._app import app


@app.command
def replay(*files: Path) -> int:
    """Replay recorded traces through the core and compare the results with the expected ones.

    Parameters
    ----------
    files
        Trace files, in the format described in docs/traces.md.
    """
    from bramleyrill_core.trace import replay as replay_traces

    if not files:
        print("no trace file was given")
        return 2
    failed = 0
    for result in replay_traces(files):
        print(result)
        failed += not result.passed
    return 1 if failed else 0
