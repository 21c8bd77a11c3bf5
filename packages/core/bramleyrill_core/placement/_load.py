"""What a VM knows of the load of each member, with the age and source of each figure.

Everything comes with answers and pings that are sent anyway. A figure is therefore always a little
old, and the work that this VM has sent since is added to it.
"""

from datetime import timedelta
from enum import Enum, auto

from attrs import define, field
from bramleyrill_base import Table

from bramleyrill_core.placement._failures import FailureRate
from bramleyrill_core.placement._stamp import LoadStamp

# Assumed until a holder has measured the run of a statement.
ASSUMED_SERVICE_S = 0.03
# A stamp older than this says nothing, and the member counts as unknown.
MAX_STAMP_AGE = timedelta(seconds=10)
# A measured service time loses half its weight against the assumed one in this time. A member that
# gets no work because it was slow would otherwise be thought slow forever.
SERVICE_HALF_LIFE_S = 10.0


# An answer is missing after this many usual runs and the time for the way to any region.
OVERDUE_RUNS = 2.0
OVERDUE_MARGIN_S = 0.05


class LoadSource(Enum):
    """How a figure came to this VM: with an answer, with a peer's ping, or not at all."""

    NONE = auto()
    ANSWER = auto()
    GOSSIP = auto()


class StampFault(Enum):
    """Why a stamp was not used."""

    MALFORMED = auto()
    FROM_THE_FUTURE = auto()
    TOO_OLD = auto()
    UNKNOWN_MEMBER = auto()


@define(eq=False)
class MemberLoad:
    """Known load of a member, what this VM's own requests met there, and the share given to it.

    `stamp` was taken at `taken_at`. `sent_since` counts the requests that this VM has sent after it
    and `unanswered` holds when those in progress were sent, the oldest first; `unanswered_reads`
    are those of them that should take no longer than a usual run. `wait` is the last wait in the
    holder's queue that an answer told, at `wait_at`. `share` is the part of this VM's
    reads of the service that the member gets since `share_changed_at`, and `limit` the part that it
    may get as of `limit_set_at`.
    """

    stamp: LoadStamp | None = None
    taken_at: timedelta = timedelta()
    source: LoadSource = LoadSource.NONE
    sent_since: int = 0
    unanswered: dict[int, timedelta] = field(factory=dict, repr=False)
    unanswered_reads: dict[int, timedelta] = field(factory=dict, repr=False)
    wait: timedelta = timedelta()
    wait_at: timedelta = timedelta()
    rate: FailureRate = field(factory=FailureRate)
    share: float = 0.0
    share_changed_at: timedelta = timedelta()
    limit: float | None = None
    limit_set_at: timedelta = timedelta()

    def age(self, now: timedelta) -> timedelta | None:
        """Return the age of the stamp; None if the load is unknown."""
        if self.stamp is None or now - self.taken_at > MAX_STAMP_AGE:
            return None
        return max(now - self.taken_at, timedelta())

    @property
    def arrivals_per_s(self) -> float:
        """Return the last told rate of arrivals at the member, 0 if it is unknown."""
        return self.stamp.arrivals_per_s if self.stamp is not None else 0.0

    def expected_service_s(self, now: timedelta) -> float:
        """Return the expected run of a statement, nearer to the assumed one the older it is."""
        if self.stamp is None or not self.stamp.service_time:
            return ASSUMED_SERVICE_S
        weight = 0.5 ** ((now - self.taken_at).total_seconds() / SERVICE_HALF_LIFE_S)
        measured_s = self.stamp.service_time.total_seconds()
        return ASSUMED_SERVICE_S + weight * (measured_s - ASSUMED_SERVICE_S)

    def expected_backlog(self, slots: int, now: timedelta, service_s: float) -> float:
        """Return how many statements are expected to run or wait at the member now.

        The newest of the stamp and the told wait counts. While all slots are in use, the backlog
        changes by what arrives and what the member can serve; it does not fall below what the
        arrivals keep busy.
        """
        stamp = self.stamp if self.age(now) is not None else None
        arrivals = stamp.arrivals_per_s if stamp is not None else 0.0
        backlog = float(stamp.in_flight + stamp.queued) if stamp is not None else 0.0
        seen_at, sent = self.taken_at, self.sent_since
        if self.wait_at > seen_at:
            told = slots - 1 + self.wait.total_seconds() * slots / service_s
            backlog = told if self.wait else min(backlog, slots - 1)
            seen_at, sent = self.wait_at, len(self.unanswered)
        drift = arrivals - slots / service_s if backlog >= slots else 0.0
        backlog += drift * (now - seen_at).total_seconds()
        return max(backlog, min(arrivals * service_s, slots), 0.0) + sent

    def observation_age(self, now: timedelta) -> timedelta:
        """Return how old the newest observation of the queue is; a missing answer is one."""
        if self.overdue_s(now):
            return timedelta()
        return now - max(self.taken_at, self.wait_at)

    def expected_wait_s(self, slots: int, now: timedelta, service_s: float) -> float:
        """Return the wait in seconds that a request sent now is expected to have.

        It is at least what this VM's oldest unanswered request has waited beyond a usual run.
        """
        ahead = self.expected_backlog(slots, now, service_s) - slots + 1
        expected_s = max(ahead, 0.0) * service_s / max(slots, 1)
        return max(expected_s, self.overdue_s(now))

    def overdue_s(self, now: timedelta) -> float:
        """Return for how long the answer to a read is overdue, in seconds.

        Writes and transactions may wait for locks while the member has room.
        """
        oldest = next(iter(self.unanswered_reads.values()), None)
        if oldest is None:
            return 0.0
        usual_s = OVERDUE_RUNS * self.expected_service_s(now) + OVERDUE_MARGIN_S
        return max((now - oldest).total_seconds() - usual_s, 0.0)


class LoadTable:
    """Known loads by member id."""

    def __init__(self) -> None:
        self.by_member: Table[str, MemberLoad] = Table()

    def load_of(self, member: str) -> MemberLoad:
        """Return the row of a member, created if needed."""
        return self.by_member.get(member) or self.by_member.add(member, MemberLoad())

    def hear(
        self,
        member: str,
        stamp: LoadStamp,
        age: timedelta,
        source: LoadSource,
        now: timedelta,
    ) -> StampFault | None:
        """Take over a stamp that was taken `age` ago unless a newer one is known.

        Return why it can't be used, or None.
        """
        if age < timedelta():
            return StampFault.FROM_THE_FUTURE
        if age > MAX_STAMP_AGE:
            return StampFault.TOO_OLD
        row = self.load_of(member)
        taken_at = now - age
        if row.stamp is not None and taken_at <= row.taken_at:
            return None
        row.stamp, row.taken_at, row.source = stamp, taken_at, source
        row.sent_since = 0
        return None
