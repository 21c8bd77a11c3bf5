"""Plugin of nose2 that collects the outcome of each test by its id."""

import collections

from nose2.events import Plugin, TestOutcomeEvent


class Outcomes(Plugin):
    """Count outcomes and keep the ids of failed tests."""

    alwaysOn = True  # noqa: N815 (the name is nose2's)
    configSection = "outcomes"  # noqa: N815

    counts: collections.Counter = collections.Counter()
    failed_ids: set[str] = set()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record one outcome; an unexpected success counts as failed."""
        ok = event.expected and event.outcome in ("passed", "skipped")
        if event.outcome == "failed" and event.expected:
            ok = True
        Outcomes.counts["skipped" if event.outcome == "skipped" else "run"] += 1
        if not ok:
            Outcomes.failed_ids.add(event.test.id())
