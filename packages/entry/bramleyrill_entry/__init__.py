"""The proxy process on the users' prepared platform: gevent I/O around the core."""

import gc
import signal


def hold_hangups() -> list[int]:
    """Record each SIGHUP in the returned list, until another handler is set.

    The platform may send one as soon as the process exists, and the default action would end it.
    """
    received: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _frame: received.append(number))
    return received


def main() -> None:
    """Run the process with the settings file named by the environment."""
    hangups = hold_hangups()
    # Imports create many objects that stay, so collections during the start find nothing.
    gc.disable()
    from bramleyrill_entry._listen import open_listeners
    from bramleyrill_entry._settings import SettingsError, settings_from_environment

    try:
        settings = settings_from_environment()
        listeners = open_listeners(settings)
    except (SettingsError, OSError) as error:
        from bramleyrill_entry._output import end_with_error

        end_with_error("start_failed", error)
    # The HTTP library needs cooperative sockets, so patch them before its import. Patching
    # everything would take a third of the start time. DNS is left out: addresses are numeric.
    from gevent import monkey

    monkey.patch_socket(dns=False)
    from bramleyrill_entry._process import run

    run(settings, listeners, hangups)
