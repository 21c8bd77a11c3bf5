"""Evidence of a VM that a member still leads, where the member itself may not notice that it lost.

On such a platform a replaced primary goes on answering while it is cut off from its successor. A VM
therefore uses a primary only under a permit, and a supervisor orders a successor only when every
permit has expired. Two kinds of evidence start a permit:

- the duty's record, read from the store, names no other member. A supervisor writes it before the
  order;
- every replica answered that it is not fenced. A supervisor fences the successor before the order.
  This carries the permit while the store cannot be reached.

The supervisor makes both kinds impossible and then waits for the length of a permit, so it does not
matter which kind a VM uses, nor whether the VMs agree on it.
"""

from collections.abc import Collection, Mapping
from datetime import timedelta

from attrs import define, field, frozen

from bramleyrill_core._values import Mark
from bramleyrill_core.permits._permit import EXPIRY_MARGIN, LONGEST_PERMIT

# With fewer replicas this VM may not know all members, and an unknown one may be the successor.
MIN_REPLICAS = 2


@frozen
class StatusReport:
    """A member's own view: whether it leads, its term, and the position of its log's last entry.

    `fenced_term` is the term with which it was fenced, or 0; a fenced replica receives nothing.
    """

    is_primary: bool
    term: int
    mark: Mark
    fenced_term: int = 0


@define(eq=False)
class LeadEvidence:
    """Evidence for the primary of one service; all times are when a question was sent.

    `ordered_member` is the member that the duty's record names, empty if there is no record, and
    `record_read_at` is None until the record was read. `unfenced_at` has the replicas that were not
    fenced, for `member`.
    """

    ordered_member: str = ""
    record_read_at: timedelta | None = None
    member: str = ""
    unfenced_at: dict[str, timedelta] = field(factory=dict)

    def record_order(self, ordered_member: str, read_at: timedelta) -> None:
        """Store what the duty's record says; ignore an answer that is older than a known one."""
        if self.record_read_at is None or read_at >= self.record_read_at:
            self.ordered_member, self.record_read_at = ordered_member, read_at

    def record_reports(
        self, member: str, term: int, reports: Mapping[str, StatusReport], asked_at: timedelta
    ) -> None:
        """Store which replicas of the primary `member`, which leads `term`, were not fenced.

        A replica that is fenced for a term, or follows one, above that of `member` shows that a
        successor is about to lead or does so.
        """
        if member != self.member:
            self.member = member
            self.unfenced_at = {}
        for replica, report in reports.items():
            if term and not report.is_primary and max(report.term, report.fenced_term) <= term:
                self.unfenced_at[replica] = asked_at
            else:
                self.unfenced_at.pop(replica, None)

    def start(self, member: str, replicas: Collection[str]) -> timedelta | None:
        """Return the latest time at which no successor of `member` can have been ordered."""
        starts = [self._start_by_record(member), self._start_by_replicas(member, replicas)]
        return max((start for start in starts if start is not None), default=None)

    def covers(
        self,
        member: str,
        replicas: Collection[str],
        at: timedelta,
        since: timedelta = timedelta.min,
    ) -> bool:
        """Return whether a permit that started at `since` or later lets `member` lead at `at`."""
        start = self.start(member, replicas)
        if start is None or start < since:
            return False
        return at < start + LONGEST_PERMIT - EXPIRY_MARGIN

    def _start_by_record(self, member: str) -> timedelta | None:
        if self.ordered_member not in ("", member):
            return None
        return self.record_read_at

    def _start_by_replicas(self, member: str, replicas: Collection[str]) -> timedelta | None:
        if member != self.member or len(replicas) < MIN_REPLICAS:
            return None
        if not all(replica in self.unfenced_at for replica in replicas):
            return None
        return min(self.unfenced_at[replica] for replica in replicas)
