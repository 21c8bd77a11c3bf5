"""The proxy process: a gevent shell around the decision core."""


def main() -> None:
    """Run the daemon."""
    raise SystemExit("not built yet")
