"""The application that the commands register with."""

import sys

import cyclopts
from absl import logging
from bramleyrill_base import configure_logging

app = cyclopts.App(
    name="bramleyrill",
    help="Check, apply and read back the text; report, replay and measure.",
)
bench = cyclopts.App(name="bench", help="Measure the product against its own baselines.")
report = cyclopts.App(name="report", help="Print reports on the running system.")
app.command(bench)
app.command(report)


def main() -> None:
    """Run the command line; commands return their exit code."""
    # Importing the modules registers their commands.
    from bramleyrill_cli import _commands  # noqa: F401

    configure_logging(logging.WARNING)
    sys.exit(app(result_action="return_value") or 0)
