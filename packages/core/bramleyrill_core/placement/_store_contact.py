"""Whether this VM hears the store, judged by checks that the store answers or does not."""

from datetime import timedelta

from attrs import define

# While all is well, an answer of the store is at most this old.
CHECK_INTERVAL = timedelta(milliseconds=600)
# The second check after one that failed tells a lost answer from a lost store.
RETRY_INTERVAL = timedelta(milliseconds=100)
# VMs that have lost the store and do not watch it for others check it less often: when the store
# itself is down, all of them do.
IDLE_CHECK_INTERVAL = timedelta(seconds=4)
FAILURES_UNTIL_LOST = 2
# A path that comes and goes would move the watches back and forth.
ANSWERS_UNTIL_REGAINED = 3


@define
class StoreContact:
    """The outcome of the last checks; `lost` is whether this VM counts as one without the store."""

    lost: bool = False
    failures: int = 0
    answers: int = 0

    def record(self, answered: bool) -> bool:
        """Record a check; return whether `lost` changed."""
        self.failures = 0 if answered else self.failures + 1
        self.answers = self.answers + 1 if answered else 0
        if not self.lost and self.failures >= FAILURES_UNTIL_LOST:
            self.lost = True
            return True
        if self.lost and self.answers >= ANSWERS_UNTIL_REGAINED:
            self.lost = False
            return True
        return False

    def next_check(self, is_watcher: bool) -> timedelta:
        """Return the pause before the next check."""
        if self.lost and not is_watcher and not self.answers:
            return IDLE_CHECK_INTERVAL
        return RETRY_INTERVAL if self.failures == 1 else CHECK_INTERVAL
