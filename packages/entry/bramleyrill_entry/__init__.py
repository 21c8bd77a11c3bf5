"""The proxy process on the users' prepared platform: a gevent shell around the core."""


def main() -> None:
    """Run the process with the settings file that the environment names."""
    from bramleyrill_entry._listen import open_listeners
    from bramleyrill_entry._settings import SettingsError, settings_from_environment

    try:
        settings = settings_from_environment()
        listeners = open_listeners(settings)
    except (SettingsError, OSError) as error:
        from bramleyrill_entry._output import end_with_error

        end_with_error("start_failed", error)
    # Sockets of the HTTP library must yield, so the patch comes before its import. Only they are
    # patched: patching everything takes a third of the time to start. Addresses are numeric.
    from gevent import monkey

    monkey.patch_socket(dns=False)
    from bramleyrill_entry._process import run

    run(settings, listeners)
