"""Order of the members that may serve a read, by distance and expected wait."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define
from bramleyrill_base import Table

from bramleyrill_core.catalog._model import MemberEntry

# Estimated network round trips.
SAME_DOMAIN_ROUND_TRIP = timedelta(milliseconds=1)
SAME_REGION_ROUND_TRIP = timedelta(milliseconds=4)
OTHER_REGION_ROUND_TRIP = timedelta(milliseconds=42)
# Added to the cost of the primary, whose slots are needed for work that only it can do.
PRIMARY_PENALTY = timedelta(milliseconds=40)
# The weight of a reported wait halves in this time.
WAIT_HALF_LIFE = timedelta(milliseconds=300)
# A member that failed, or may lack the data that a read needs, is tried last for this long.
MIN_AVOIDANCE = timedelta(milliseconds=300)
# Each further failure multiplies the time by 4 and each success halves it, so that a member which
# passes its health check but fails part of its requests stays avoided.
MAX_AVOIDANCE = timedelta(seconds=5)
# A lagging member is tried again after a time that doubles with each consecutive refusal. It then
# serves reads soon after it has caught up, and few reads lose time at it until then.
MAX_STALE_AVOIDANCE = timedelta(seconds=2)


@define(eq=False)
class ReadRow:
    """Last reported wait and recent failures of a member.

    `stale_refusals` counts consecutive refusals because its log lags. Both counts are exponents
    of the next avoidance time.
    """

    wait: timedelta = timedelta()
    reported_at: timedelta = timedelta()
    avoid_until: timedelta = timedelta()
    failures: int = 0
    stale_refusals: int = 0


class ReadPlacement:
    """Waits and failures of members as observed by this VM, and the order for reads."""

    def __init__(self, domain: str, region_by_domain: dict[str, str]) -> None:
        self._domain = domain
        self._region_by_domain = region_by_domain
        self.rows: Table[str, ReadRow] = Table()

    def record_wait(self, member: str, wait: timedelta, now: timedelta) -> None:
        """Record a success, with the wait that a request had or would have had at a member."""
        row = self._row(member)
        row.wait, row.reported_at = wait, now
        row.failures = max(row.failures - 1, 0)
        row.stale_refusals = 0

    def record_failure(self, member: str, now: timedelta) -> None:
        """Record a failure and avoid the member, for longer with each failure."""
        row = self._row(member)
        row.avoid_until = now + min(MIN_AVOIDANCE * 2**row.failures, MAX_AVOIDANCE)
        row.failures = min(row.failures + 2, 8)

    def record_stale(self, member: str, now: timedelta) -> None:
        """Record a refusal because of lag and avoid the member, for longer each time in a row."""
        row = self._row(member)
        row.avoid_until = now + min(MIN_AVOIDANCE * 2**row.stale_refusals, MAX_STALE_AVOIDANCE)
        row.stale_refusals = min(row.stale_refusals + 1, 8)

    def avoid(self, member: str, now: timedelta) -> None:
        """Try a member last for `MIN_AVOIDANCE`."""
        self._row(member).avoid_until = now + MIN_AVOIDANCE

    def round_trip(self, domain: str) -> timedelta:
        """Return the estimated round trip to a failure domain."""
        if domain == self._domain:
            return SAME_DOMAIN_ROUND_TRIP
        region = self._region_by_domain.get(domain)
        if region is not None and region == self._region_by_domain.get(self._domain):
            return SAME_REGION_ROUND_TRIP
        return OTHER_REGION_ROUND_TRIP

    def order(
        self, members: Iterable[MemberEntry], primary: str | None, now: timedelta
    ) -> list[MemberEntry]:
        """Return the members by expected time of a read, with avoided members last."""
        return sorted(members, key=lambda member: self._sort_key(member, primary, now))

    def _sort_key(
        self, member: MemberEntry, primary: str | None, now: timedelta
    ) -> tuple[bool, timedelta, str]:
        """Return the sort key: whether the member is avoided, its expected time, and its id.

        A member that is still warming up costs an extra hundredth of its remaining warm-up.
        """
        cost = self.round_trip(member.domain) + member.warmup_left / 100
        if member.id == primary:
            cost += PRIMARY_PENALTY
        row = self.rows.get(member.id)
        if row is None:
            return False, cost, member.id
        cost += row.wait * 0.5 ** ((now - row.reported_at) / WAIT_HALF_LIFE)
        return now < row.avoid_until, cost, member.id

    def _row(self, member: str) -> ReadRow:
        return self.rows.get(member) or self.rows.add(member, ReadRow())
