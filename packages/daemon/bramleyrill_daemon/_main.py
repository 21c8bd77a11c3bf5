"""Command line of the daemon."""

import pathlib
import sys

from bramleyrill_base import configure_logging
from cyclopts import App

from bramleyrill_daemon._process import Process
from bramleyrill_daemon._settings import LOG_LEVELS, SettingsError, load_settings

app = App(name="bramleyrilld", help="Serve callers as one entry VM.")


@app.default
def serve(settings: pathlib.Path) -> int:
    """Serve with the settings of one VM until SIGTERM.

    Parameters
    ----------
    settings
        YAML file of the VM's settings; see defaults.yaml for all of them.

    """
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    configure_logging(LOG_LEVELS[loaded.log_level])
    return Process(loaded).run()


def run() -> None:
    """Run the command and exit with its code."""
    sys.exit(app())
