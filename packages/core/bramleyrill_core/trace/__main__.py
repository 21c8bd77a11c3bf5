"""Replay the trace files named on the command line."""

import sys

from bramleyrill_core.trace._replay import replay


def main(paths: list[str]) -> int:
    """Print one line for each file; return 1 if any outcome was missed."""
    results = replay(paths)
    for result in results:
        print(result)
    return 0 if all(result.passed for result in results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
