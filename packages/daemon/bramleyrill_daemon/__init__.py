"""The proxy process: a gevent shell around the decision core."""


def main() -> None:
    """Run the daemon."""
    # Blocking calls of libraries must yield to other greenlets, so patch before any other import.
    from gevent import monkey

    monkey.patch_all()
    from bramleyrill_daemon._main import run

    run()
