"""The duty to appoint a service's primary: a lease held by one VM, taken by conditional update.

The record is written only before an order, so an idle duty costs no calls. A duty is free for
others once its record has not changed for the length of the lease.
"""

from datetime import timedelta
from typing import Any

from attrs import define, evolve, frozen

# Kind of the objects in the store that hold the duties' records, by service.
KIND_DUTIES = "bramleyrill-duties"
# The platform does not document its lease. This is longer than the platform takes to execute an
# order in sequence, and short compared with the outage that a failed supervisor may cause.
DUTY_LEASE = timedelta(seconds=6)


@frozen
class DutyRecord:
    """Value of a duty's object in the store.

    `member` is the member that the last order appoints, and `fencing_token` that order's token.
    """

    holder: str
    fencing_token: int
    member: str

    def to_value(self) -> dict[str, Any]:
        """Return the record in the form in which it is stored."""
        return {"holder": self.holder, "token": self.fencing_token, "member": self.member}

    @classmethod
    def from_value(cls, value: Any) -> "DutyRecord | None":
        """Return the record of a stored value, or None if it is malformed."""
        if not isinstance(value, dict):
            return None
        holder, token, member = (value.get(name) for name in ("holder", "token", "member"))
        if not isinstance(holder, str) or not isinstance(token, int) or not isinstance(member, str):
            return None
        return cls(holder, token, member)


@define
class DutyView:
    """A VM's view of a duty: the record, its revision, and when this VM first saw that revision.

    `seen_at` is None until the store has been read. A revision above 0 without a record is that of
    a malformed one.
    """

    record: DutyRecord | None = None
    revision: int = 0
    seen_at: timedelta | None = None

    def update(self, record: DutyRecord | None, revision: int, now: timedelta) -> None:
        """Store what was read; `seen_at` changes only with the revision."""
        if self.seen_at is None or revision != self.revision:
            self.record, self.revision, self.seen_at = record, revision, now

    def may_acquire(self, vm: str, now: timedelta) -> bool:
        """Return whether `vm` may write the next record."""
        if self.seen_at is None:
            return False
        if self.record is None and not self.revision:
            return True
        if self.record is not None and self.record.holder == vm:
            return True
        return now - self.seen_at >= DUTY_LEASE


def pending_member(record: DutyRecord | None, primary: str) -> str:
    """Return the member of an order that may still take effect, or an empty string.

    Until such an order is answered, another member must not be ordered: a platform that does not
    check the tokens could execute them in either order.
    """
    if record is None or record.member == primary:
        return ""
    return record.member


def renewed_record(record: DutyRecord) -> DutyRecord:
    """Return the record to write to hold the duty for another lease with the same order."""
    return evolve(record, fencing_token=record.fencing_token + 1)


def next_record(
    record: DutyRecord | None, vm: str, member: str, malformed_revision: int = 0
) -> DutyRecord:
    """Return the record to write before `vm` orders the appointment of `member`.

    The fencing token increases with every new order, even from the same holder, so that the
    platform rejects an earlier order that arrives late. A repeated order keeps its token. Without a
    record it starts at 1, or above the revision of a malformed one: each token was written with a
    revision of its own, so none is higher.
    """
    if record is None:
        return DutyRecord(vm, malformed_revision + 1, member)
    if record.holder == vm and record.member == member:
        return record
    return DutyRecord(vm, record.fencing_token + 1, member)
