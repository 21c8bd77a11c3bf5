"""The operator command."""


def main() -> None:
    """Run the command line."""
    raise SystemExit("not built yet")
