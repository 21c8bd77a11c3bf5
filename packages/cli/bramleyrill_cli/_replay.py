"""The command `replay`."""

from pathlib import Path

from bramleyrill_cli._app import app


@app.command
def replay(*files: Path) -> int:
    """Replay recorded traces through the decision core and compare with their stated outcomes.

    Parameters
    ----------
    files
        Trace files; docs/traces.md describes their format.
    """
    from bramleyrill_core.trace import replay as replay_traces

    if not files:
        print("name at least one trace file")
        return 2
    failed = 0
    for result in replay_traces(files):
        print(result)
        failed += not result.passed
    return 1 if failed else 0
