"""The right to appoint a service's primary: one holder at a time, by conditional update.

The record is written before each order and only then, so an idle duty costs no call. A duty whose
record did not change for a lease is free.
"""

from datetime import timedelta
from typing import Any

from attrs import define, frozen

# The platform does not state its lease; this is longer than any order that it still carries out
# in turn, and short beside the time that a failed supervisor may cost.
DUTY_LEASE = timedelta(seconds=6)


@frozen
class DutyRecord:
    """Value of a duty's object: who holds it, its fencing token and its last order."""

    holder: str
    fencing_token: int
    member: str

    def to_value(self) -> dict[str, Any]:
        """Return the record as the store keeps it."""
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
    """What a VM knows of a duty: its record, the record's revision, and since when."""

    record: DutyRecord | None = None
    revision: int = 0
    seen_at: timedelta | None = None

    def note(self, record: DutyRecord | None, revision: int, now: timedelta) -> None:
        """Take over what the store returned."""
        if self.seen_at is None or revision != self.revision:
            self.record, self.revision, self.seen_at = record, revision, now

    def may_take(self, vm: str, now: timedelta) -> bool:
        """Tell whether `vm` may write the next record."""
        if self.seen_at is None:
            return False
        if self.record is None or self.record.holder == vm:
            return True
        return now - self.seen_at >= DUTY_LEASE


def next_record(record: DutyRecord | None, vm: str, member: str) -> DutyRecord:
    """Return the record under which `vm` orders `member`.

    The fencing token rises with every new order, also of the same holder, so that an earlier order
    that the platform carries out late is refused. The same order keeps its token.
    """
    if record is None:
        return DutyRecord(vm, 1, member)
    if record.holder == vm and record.member == member:
        return record
    return DutyRecord(vm, record.fencing_token + 1, member)
