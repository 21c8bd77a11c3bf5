"""The proxy process on the users' prepared platform: a gevent shell around the core."""


def main() -> None:
    """Run the process with the settings file that the environment names."""
    # Blocking calls of libraries must yield, so the patch comes before any other import.
    from gevent import monkey

    monkey.patch_all()
    from bramleyrill_entry._process import run

    run()
