"""The duty to appoint a service's primary: a lease held by one VM, taken by conditional update.

The record is written only before an order, so an idle duty costs no calls. A duty is free for
others once its record has not changed for the length of the lease.

A restored store has lost records: their tokens would be given out again, and their leases would
look free. So a token adds the era of the store, times 2**32, to the revision that its record
replaced, which the store gives out once an era: tokens rise also across a restore, unless it takes
2**32 revisions away. And only a record that was written in the present era tells who holds the
duty. Without one the duty is free once the era has lasted for the length of a lease, as every lease
of an earlier era has run out by then.
"""

from datetime import timedelta
from typing import Any

from attrs import Factory, define, evolve, field, frozen

from bramleyrill_core.catalog import ReplicaProcess
from bramleyrill_core.history import NO_ERA, StoreRevision
from bramleyrill_core.leadership._lead_starts import MAX_STARTS, LeadStart

# Kind of the objects in the store that hold the duties' records, by service.
KIND_DUTIES = "bramleyrill-duties"
# The platform does not document its lease. This is longer than the platform takes to execute an
# order in sequence, and short compared with the outage that a failed supervisor may cause.
DUTY_LEASE = timedelta(seconds=6)
# What one era adds to a fencing token.
TOKENS_PER_ERA = 2**32
# Beyond this a number is not exact in JSON.
MAX_TOKEN = 2**53
# Holder of a record that confirms the primary and leaves the duty free for all.
NO_HOLDER = ""
# Member of a record whose holder is choosing one, and has ordered none yet.
NO_MEMBER = ""


@frozen
class DutyRecord:
    """Value of a duty's object in the store.

    `member` is the member that the last order appoints, and `fencing_token` that order's token. A
    record with NO_HOLDER belongs to no order: it confirms that `member` is the primary. One with
    NO_MEMBER is written before the replicas are fenced, to choose among them. `era` is the era of
    the store in which the record was made. Builds that do not write it read it off the token, which
    tells it only while revisions are below 2**32. `starts` tells where the terms of the last
    appointed members begin, newest first. `replicas` are those that may have commits that nobody
    else has, or None if the record does not tell. Builds that write neither leave them so.
    """

    holder: str
    fencing_token: int
    member: str
    era: int = field(
        default=Factory(lambda self: self.fencing_token // TOKENS_PER_ERA, takes_self=True)
    )
    starts: tuple[LeadStart, ...] = ()
    replicas: tuple[ReplicaProcess, ...] | None = None

    def to_value(self) -> dict[str, Any]:
        """Return the record in the form in which it is stored."""
        value = {
            "holder": self.holder,
            "token": self.fencing_token,
            "member": self.member,
            "era": self.era,
            "starts": [start.to_value() for start in self.starts],
        }
        if self.replicas is not None:
            value["replicas"] = [replica.to_value() for replica in self.replicas]
        return value

    @classmethod
    def from_value(cls, value: Any) -> "DutyRecord | None":
        """Return the record of a stored value, or None if it is malformed."""
        if not isinstance(value, dict):
            return None
        holder, token, member = (value.get(name) for name in ("holder", "token", "member"))
        if not isinstance(holder, str) or not isinstance(token, int) or not isinstance(member, str):
            return None
        if not 0 <= token <= MAX_TOKEN:
            return None
        if "era" not in value:
            return cls(holder, token, member)
        era = value["era"]
        if type(era) is not int or era < NO_ERA:
            return None
        starts = _read_starts(value.get("starts"))
        return cls(holder, token, member, era, starts, _read_replicas(value.get("replicas")))


def _read_starts(value: Any) -> tuple[LeadStart, ...]:
    """Return the starts of a stored list; one that is malformed hides the older ones."""
    starts: list[LeadStart] = []
    for item in value[:MAX_STARTS] if isinstance(value, list) else []:
        start = LeadStart.from_value(item)
        if start is None:
            break
        starts.append(start)
    return tuple(starts)


def _read_replicas(value: Any) -> tuple[ReplicaProcess, ...] | None:
    """Return the replicas of a stored list; None if one is malformed, as any of them may count."""
    if not isinstance(value, list):
        return None
    replicas = [ReplicaProcess.from_value(item) for item in value]
    return None if None in replicas else tuple(replicas)


@define
class DutyView:
    """A VM's view of a duty: the record, its revision, and when this VM first saw that revision.

    `seen_at` is None until the store has been read. `revision` has the era of the answer, and its
    number is 0 if there is no record; a number above 0 without a record is that of a malformed one.
    """

    record: DutyRecord | None = None
    revision: StoreRevision = StoreRevision()
    seen_at: timedelta | None = None

    def update(self, record: DutyRecord | None, revision: StoreRevision, now: timedelta) -> None:
        """Store what was read; `seen_at` changes only with the revision."""
        if self.seen_at is None or revision != self.revision:
            self.record, self.revision, self.seen_at = record, revision, now

    @property
    def current_record(self) -> DutyRecord | None:
        """Return the record if it was written in the era in which it was read, else None."""
        if self.record is None or self.record.era != self.revision.era:
            return None
        return self.record

    def may_acquire(self, vm: str, now: timedelta, era_known_for: timedelta) -> bool:
        """Return whether `vm` may write the next record.

        `era_known_for` is for how long the era of the store has lasted at least.
        """
        if self.seen_at is None:
            return False
        current = self.current_record
        if current is not None and current.holder in (vm, NO_HOLDER):
            return True
        if current is None and self.revision.era != NO_ERA and era_known_for < DUTY_LEASE:
            return False
        return self._is_expired() or now - self.seen_at >= DUTY_LEASE

    def _is_expired(self) -> bool:
        """Return whether there is no record, or one that nobody renews in this era."""
        if self.record is None:
            return not self.revision.number
        # A build without eras writes records of NO_ERA in every era.
        return self.record.era not in (NO_ERA, self.revision.era)


def pending_member(view: DutyView, primary: str) -> str:
    """Return the member of an order that may still take effect, or an empty string.

    Until such an order is answered, another member must not be ordered: a platform that does not
    check the tokens could execute them in either order.
    """
    record = view.current_record
    if record is None or record.member == primary:
        return ""
    return record.member


def renewed_record(record: DutyRecord, revision: StoreRevision) -> DutyRecord:
    """Return the record to write to hold the duty for another lease with the same order."""
    return evolve(record, fencing_token=_next_token(record, revision), era=revision.era)


def record_with_replicas(
    record: DutyRecord | None,
    vm: str,
    primary: str,
    replicas: tuple[ReplicaProcess, ...],
    revision: StoreRevision,
) -> DutyRecord:
    """Return the record to write at `revision` to store the replicas, which orders nothing.

    `vm` is the holder of the duty, or NO_HOLDER. The member of an order that may still take effect
    stays. Without a record of this era `primary` is confirmed.
    """
    token = _next_token(record, revision)
    if record is None or record.era != revision.era:
        return DutyRecord(vm, token, primary, revision.era, (), replicas)
    return evolve(record, holder=vm, fencing_token=token, replicas=replicas)


def next_record(
    record: DutyRecord | None,
    vm: str,
    member: str,
    revision: StoreRevision,
    starts: tuple[LeadStart, ...] = (),
    replicas: tuple[ReplicaProcess, ...] | None = None,
) -> DutyRecord:
    """Return the record to write at `revision` before `vm` orders the appointment of `member`.

    The fencing token increases with every new order, even from the same holder, so that the
    platform rejects an earlier order that arrives late. A repeated order keeps its token and the
    start of its lead. The record may only be used if it was written in the era of `revision`.
    """
    if (
        record is not None
        and record.era == revision.era
        and (record.holder, record.member) == (vm, member)
    ):
        return record
    token = _next_token(record, revision)
    return DutyRecord(vm, token, member, revision.era, starts[:MAX_STARTS], replicas)


def _next_token(record: DutyRecord | None, revision: StoreRevision) -> int:
    """Return a token above all earlier ones; only one record can replace that revision in its era.

    The token of the record counts too, since a build without eras counts up from it.
    """
    token = revision.era * TOKENS_PER_ERA + revision.number + 1
    return token if record is None else max(token, record.fencing_token + 1)
