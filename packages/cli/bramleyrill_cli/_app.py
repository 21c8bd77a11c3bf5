"""The cyclopts application with which the commands are registered."""

import sys

import cyclopts
from absl import logging
from bramleyrill_base import configure_logging

app = cyclopts.App(
    name="bramleyrill",
    help="Check, apply and show the configuration text; report, replay traces, run benchmarks.",
)
bench = cyclopts.App(name="bench", help="Run benchmarks, each compared with a baseline of its own.")
report = cyclopts.App(name="report", help="Print reports about the running system.")
app.command(bench)
app.command(report)


def main() -> None:
    """Run the command given on the command line and exit with the code that it returns."""
    # Importing the command modules registers their commands.
    from bramleyrill_cli import _commands  # noqa: F401

    configure_logging(logging.WARNING)
    sys.exit(app(result_action="return_value") or 0)
