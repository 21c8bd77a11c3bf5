"""Order of the members that may serve a read, from distance and what is known of their load.

This answers the load of many VMs that choose at the same moment by knowledge that is a little old.
"""

import random
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from enum import Enum, auto

from attrs import define
from bramleyrill_base import Table

from bramleyrill_core.catalog._model import MemberEntry
from bramleyrill_core.placement._load import (
    ASSUMED_SERVICE_S,
    MAX_STAMP_AGE,
    LoadSource,
    LoadTable,
    MemberLoad,
    StampFault,
)
from bramleyrill_core.placement._policies import Candidate, Choice, read_policies
from bramleyrill_core.placement._stamp import LoadStamp

# Estimated network round trips.
SAME_DOMAIN_ROUND_TRIP = timedelta(milliseconds=1)
SAME_REGION_ROUND_TRIP = timedelta(milliseconds=4)
OTHER_REGION_ROUND_TRIP = timedelta(milliseconds=42)
# A member that failed, or may lack the data that a read needs, is tried last for this long.
MIN_AVOIDANCE = timedelta(milliseconds=300)
# With `last_wait` each further failure multiplies the time by 4 and each success halves it. The
# other policies avoid a member for this time at a failure rate of 1, and in proportion below.
MAX_AVOIDANCE = timedelta(seconds=5)
# A lagging member is tried again after a time that doubles with each consecutive refusal. It then
# serves reads soon after it has caught up, and few reads lose time at it until then.
MAX_STALE_AVOIDANCE = timedelta(seconds=2)
DEFAULT_READ_POLICY = "shares"
# The policy of earlier versions, which judges a member by single failures.
LAST_WAIT_POLICY = "last_wait"


# A member with a lower limit than this is called full.
FULL_LIMIT = 0.9
# A member is called failing below this trust, and slow above this multiple of the assumed run.
FAILING_TRUST = 0.9
SLOW_SERVICE_S = 3 * ASSUMED_SERVICE_S


class Standing(Enum):
    """Why a member gets the share of reads that it gets."""

    UNKNOWN = auto()
    NORMAL = auto()
    FULL = auto()
    SLOW = auto()
    FAILING = auto()
    LAGGING = auto()
    UNREACHABLE = auto()


class Placed(Enum):
    """What became of a read at a member: chosen first, tried again there, or passed by."""

    CHOSEN = auto()
    REPEATED = auto()
    AVOIDED = auto()


@define(eq=False)
class ReadRow:
    """Avoidance of a member.

    `stale_refusals` counts consecutive refusals because its log lags. Both counts are exponents
    of the next avoidance time.
    """

    avoid_until: timedelta = timedelta()
    failures: int = 0
    stale_refusals: int = 0


class ReadPlacement:
    """Waits and failures of members as observed by this VM, and the order for reads.

    Example:

        placement = ReadPlacement("north-a", {"north-a": "north"})
        placement.record_wait("m1", timedelta(milliseconds=20), clock.monotonic())
        placement.order(members, "m2", clock.monotonic())
    """

    def __init__(
        self,
        domain: str,
        region_by_domain: dict[str, str],
        policy: str = DEFAULT_READ_POLICY,
        source: random.Random | None = None,
    ) -> None:
        self._domain = domain
        self._region_by_domain = region_by_domain
        self._policy = read_policies.get(policy)
        self._by_single_failures = policy == LAST_WAIT_POLICY
        self._random = source or random.Random()
        self._sent = 0
        # Number of VMs that choose at the same time.
        self.choosers = 1
        self.counts: Counter[tuple[str, Placed]] = Counter()
        self.loads = LoadTable()
        self.rows: Table[str, ReadRow] = Table()

    def record_sent(self, member: str, now: timedelta, is_read: bool = True) -> int:
        """Count a request to a member, which adds to its known load; return its number."""
        self._sent += 1
        load = self.loads.load_of(member)
        load.sent_since += 1
        load.unanswered[self._sent] = now
        if is_read:
            load.unanswered_reads[self._sent] = now
        return self._sent

    def record_ended(self, member: str, number: int) -> None:
        """Count the end of the request with this number."""
        load = self.loads.load_of(member)
        load.unanswered.pop(number, None)
        load.unanswered_reads.pop(number, None)
        load.sent_since = max(load.sent_since - 1, 0)

    def record_stamp(
        self, member: str, stamp: LoadStamp, age: timedelta, source: LoadSource, now: timedelta
    ) -> StampFault | None:
        """Take over a stamp of a member's load; return why it can't be used, or None."""
        return self.loads.hear(member, stamp, age, source, now)

    def record_wait(self, member: str, wait: timedelta, now: timedelta) -> None:
        """Record a success, with the wait that a request had or would have had at a member."""
        row, load = self._row(member), self.loads.load_of(member)
        load.wait, load.wait_at = wait, now
        load.rate.record(False, now)
        row.failures = max(row.failures - 1, 0)
        row.stale_refusals = 0

    def record_failure(self, member: str, now: timedelta) -> None:
        """Record that a member or the path to it failed, and avoid it, longer at a higher rate."""
        row, rate = self._row(member), self.loads.load_of(member).rate
        rate.record(True, now)
        if self._by_single_failures:
            self._avoid_by_single_failures(row, now)
            return
        longest = (MAX_AVOIDANCE - MIN_AVOIDANCE) * rate.lower_bound(now)
        row.avoid_until = max(row.avoid_until, now + MIN_AVOIDANCE + longest)

    def record_failed_read(self, member: str, now: timedelta) -> None:
        """Record that a member answered a read with an error, which lowers its share of reads."""
        self.loads.load_of(member).rate.record(True, now)
        if self._by_single_failures:
            self._avoid_by_single_failures(self._row(member), now)

    def _avoid_by_single_failures(self, row: ReadRow, now: timedelta) -> None:
        row.avoid_until = now + min(MIN_AVOIDANCE * 2**row.failures, MAX_AVOIDANCE)
        row.failures = min(row.failures + 2, 8)

    def record_stale(self, member: str, now: timedelta) -> None:
        """Record a refusal because of lag and avoid the member, for longer each time in a row."""
        row = self._row(member)
        avoided_for = min(MIN_AVOIDANCE * 2**row.stale_refusals, MAX_STALE_AVOIDANCE)
        row.avoid_until = max(row.avoid_until, now + avoided_for)
        row.stale_refusals = min(row.stale_refusals + 1, 8)

    def avoid(self, member: str, now: timedelta) -> None:
        """Try a member last for `MIN_AVOIDANCE`."""
        row = self._row(member)
        row.avoid_until = max(row.avoid_until, now + MIN_AVOIDANCE)

    def round_trip(self, domain: str) -> timedelta:
        """Return the estimated round trip to a failure domain."""
        if domain == self._domain:
            return SAME_DOMAIN_ROUND_TRIP
        region = self._region_by_domain.get(domain)
        if region is not None and region == self._region_by_domain.get(self._domain):
            return SAME_REGION_ROUND_TRIP
        return OTHER_REGION_ROUND_TRIP

    def order(
        self,
        members: Iterable[MemberEntry],
        primary: str | None,
        now: timedelta,
        key: str = "",
        statements: float = 1.0,
    ) -> list[MemberEntry]:
        """Return the members in the order in which a read tries them, with avoided members last.

        `key` is the team of the read, whose reads stay on few members. `statements` is how many
        statements are expected to follow one after the other, each with a round trip.
        """
        candidates = [self._candidate(member, primary, now, statements) for member in members]
        if not candidates:
            return []
        choice = Choice(now, self._random, key, self.choosers)
        ordered = sorted(self._policy(candidates, choice), key=lambda item: item.avoided)
        self.counts[ordered[0].member.id, Placed.CHOSEN] += 1
        for item in candidates:
            if item.avoided:
                self.counts[item.member.id, Placed.AVOIDED] += 1
        return [item.member for item in ordered]

    def standing(self, member: str, now: timedelta) -> Standing:
        """Return why a member gets the share of reads that it gets."""
        row, load = self._row(member), self.loads.load_of(member)
        if now < row.avoid_until:
            return Standing.LAGGING if row.stale_refusals else Standing.UNREACHABLE
        if load.rate.trust(now) < FAILING_TRUST:
            return Standing.FAILING
        if load.age(now) is None and now - load.wait_at > MAX_STAMP_AGE:
            return Standing.UNKNOWN
        if load.expected_service_s(now) > SLOW_SERVICE_S:
            return Standing.SLOW
        return Standing.FULL if _is_full(load) else Standing.NORMAL

    def forget(self, member: str) -> None:
        """Remove what is known of a member that is gone."""
        self.loads.by_member.remove(member)
        self.rows.remove(member)
        for placed in Placed:
            self.counts.pop((member, placed), None)

    def _candidate(
        self, member: MemberEntry, primary: str | None, now: timedelta, statements: float
    ) -> Candidate:
        """Return a member with its fixed cost.

        A member that is still warming up costs an extra hundredth of its remaining warm-up.
        """
        distance = self.round_trip(member.domain) * statements + member.warmup_left / 100
        load = self.loads.load_of(member.id)
        return Candidate(
            member,
            distance.total_seconds(),
            load,
            is_primary=member.id == primary,
            avoided=self._is_avoided(member.id, now),
        )

    def _is_avoided(self, member: str, now: timedelta) -> bool:
        row = self.rows.get(member)
        return row is not None and now < row.avoid_until

    def _row(self, member: str) -> ReadRow:
        return self.rows.get(member) or self.rows.add(member, ReadRow())


def _is_full(load: MemberLoad) -> bool:
    return load.limit is not None and load.share > 0 and load.limit < FULL_LIMIT
