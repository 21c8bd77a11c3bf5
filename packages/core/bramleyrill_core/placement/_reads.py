"""Order of the members that may serve a read: the nearest that does not keep it waiting."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define
from bramleyrill_base import Table

from bramleyrill_core.catalog._model import MemberEntry

# Estimates of the way there and back.
SAME_DOMAIN = timedelta(milliseconds=1)
SAME_REGION = timedelta(milliseconds=4)
OTHER_REGION = timedelta(milliseconds=42)
# The primary's slots are needed for what only it can do.
PRIMARY_PENALTY = timedelta(milliseconds=40)
# A wait that was reported this long ago counts half.
WAIT_HALF_LIFE = timedelta(milliseconds=300)
# A member that failed once, or is not sure to have what a read needs, is asked last this long.
AVOID_FOR = timedelta(milliseconds=300)
# Each further failure doubles the time, each success halves it: a member that answers its health
# check and fails part of its work keeps failing in between.
LONGEST_AVOID = timedelta(seconds=5)
# A member that lags is tried again after a while that doubles with each refusal in a row, so that
# it serves soon after it caught up and few reads lose time at it until then.
LONGEST_STALE = timedelta(seconds=2)


@define(eq=False)
class ReadRow:
    """The wait that a member last reported, its failures, and until when it is avoided.

    `stale` counts its refusals in a row for a log that lags.
    """

    wait: timedelta = timedelta()
    noted_at: timedelta = timedelta()
    avoid_until: timedelta = timedelta()
    failures: int = 0
    stale: int = 0


class ReadPlacement:
    """What this VM knows of the members' queues; rows are made on first use."""

    def __init__(self, domain: str, region_by_domain: dict[str, str]) -> None:
        self._domain = domain
        self._region_by_domain = region_by_domain
        self.rows: Table[str, ReadRow] = Table()

    def record_wait(self, member: str, wait: timedelta, now: timedelta) -> None:
        """Note the wait that a request had, or would have had, at a member."""
        row = self._row(member)
        row.wait, row.noted_at = wait, now
        row.failures = max(row.failures - 1, 0)
        row.stale = 0

    def record_failure(self, member: str, now: timedelta) -> None:
        """Ask a member last for a while that grows with its failures."""
        row = self._row(member)
        row.avoid_until = now + min(AVOID_FOR * 2**row.failures, LONGEST_AVOID)
        row.failures = min(row.failures + 2, 8)

    def record_stale(self, member: str, now: timedelta) -> None:
        """Ask a member last whose log lags, for longer each time in a row."""
        row = self._row(member)
        row.avoid_until = now + min(AVOID_FOR * 2**row.stale, LONGEST_STALE)
        row.stale = min(row.stale + 1, 8)

    def avoid(self, member: str, now: timedelta) -> None:
        """Ask a member last for a moment."""
        self._row(member).avoid_until = now + AVOID_FOR

    def round_trip(self, domain: str) -> timedelta:
        """Return the estimated way to a failure domain and back."""
        if domain == self._domain:
            return SAME_DOMAIN
        region = self._region_by_domain.get(domain)
        if region is not None and region == self._region_by_domain.get(self._domain):
            return SAME_REGION
        return OTHER_REGION

    def order(
        self, members: Iterable[MemberEntry], primary: str | None, now: timedelta
    ) -> list[MemberEntry]:
        """Return the members by expected time of a read, avoided ones last."""
        return sorted(members, key=lambda member: self._cost(member, primary, now))

    def _cost(
        self, member: MemberEntry, primary: str | None, now: timedelta
    ) -> tuple[bool, timedelta, str]:
        cost = self.round_trip(member.domain) + member.warming / 100
        if member.id == primary:
            cost += PRIMARY_PENALTY
        row = self.rows.get(member.id)
        if row is None:
            return False, cost, member.id
        cost += row.wait * 0.5 ** ((now - row.noted_at) / WAIT_HALF_LIFE)
        return now < row.avoid_until, cost, member.id

    def _row(self, member: str) -> ReadRow:
        return self.rows.get(member) or self.rows.add(member, ReadRow())
