"""Replay the trace files named on the command line."""

import sys

from bramleyrill_core.trace._replay import replay


def main(paths: list[str]) -> int:
    """Replay the files and print one line for each; return 1 if any of them failed, else 0."""
    results = replay(paths)
    for result in results:
        print(result)
    return 0 if all(result.passed for result in results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
