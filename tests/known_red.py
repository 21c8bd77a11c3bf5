"""nose2 plugin that collects test outcomes and the IDs of failed tests."""

import collections

from nose2.events import Plugin, TestOutcomeEvent

SUBTEST = "subtest"


class Outcomes(Plugin):
    """Count test outcomes and collect the IDs of failed tests and subtests."""

    alwaysOn = True  # noqa: N815 (the name is nose2's)
    configSection = "outcomes"  # noqa: N815

    counts: collections.Counter = collections.Counter()
    failed_ids: set[str] = set()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record one outcome; an unexpected success counts as a failure."""
        if not is_good(event):
            Outcomes.failed_ids.add(event.test.id())
        if event.outcome != SUBTEST:
            Outcomes.counts["skipped" if event.outcome == "skipped" else "run"] += 1


def is_good(event: TestOutcomeEvent) -> bool:
    """Return whether the outcome is not a failure; each subtest has an event of its own."""
    if event.outcome == SUBTEST:
        return event.exc_info is None
    if event.outcome in ("passed", "failed"):
        return event.expected
    return event.outcome == "skipped"
