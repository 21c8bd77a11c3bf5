"""Run all tests with nose2 and pass over exactly the tests listed in KNOWN-RED.txt."""

import pathlib
import sys

from nose2 import discover

from tests.known_red import Outcomes

ROOT = pathlib.Path(__file__).resolve().parent.parent


def read_known_red() -> dict[str, str]:
    """Return the listed test ids, each with its whole entry."""
    entries = {}
    for line in (ROOT / "KNOWN-RED.txt").read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            entries[line.split("|")[0].strip()] = line
    return entries


def main() -> int:
    """Run the tests and return the exit code."""
    arguments = ["nose2", "-s", str(ROOT), "-t", str(ROOT), *sys.argv[1:]]
    discover(argv=arguments, exit=False, plugins=["tests.known_red"])
    listed = read_known_red()
    failed = Outcomes.failed_ids
    unexpected = failed - listed.keys()
    for test_id in sorted(failed & listed.keys()):
        print(f"known red, passed over: {listed[test_id]}")
    for test_id in sorted(listed.keys() - failed):
        print(f"listed in KNOWN-RED.txt but not failing: {test_id}")
    for test_id in sorted(unexpected):
        print(f"failed: {test_id}")
    run = Outcomes.counts["run"]
    passed = run - len(failed)
    sys.stderr.flush()
    print(f"{passed} passed, {len(unexpected)} failed, {Outcomes.counts['skipped']} skipped")
    return 1 if unexpected or run == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
