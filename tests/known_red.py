"""Plugin of nose2 that collects the outcome of each test by its id."""

import collections

from nose2.events import Plugin, TestOutcomeEvent

SUBTEST = "subtest"


class Outcomes(Plugin):
    """Count outcomes and keep the ids of failed tests and sub-tests."""

    alwaysOn = True  # noqa: N815 (the name is nose2's)
    configSection = "outcomes"  # noqa: N815

    counts: collections.Counter = collections.Counter()
    failed_ids: set[str] = set()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record one outcome; an unexpected success counts as failed."""
        if not is_good(event):
            Outcomes.failed_ids.add(event.test.id())
        if event.outcome != SUBTEST:
            Outcomes.counts["skipped" if event.outcome == "skipped" else "run"] += 1


def is_good(event: TestOutcomeEvent) -> bool:
    """Tell whether the outcome is as it should be; sub-tests have one event each."""
    if event.outcome == SUBTEST:
        return event.exc_info is None
    if event.outcome in ("passed", "failed"):
        return event.expected
    return event.outcome == "skipped"
