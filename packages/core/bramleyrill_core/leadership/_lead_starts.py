"""Where the terms of the last appointed members begin, and which logs went another way.

A log with entries of an older term beyond the place where a newer term began holds commits that
were given up with their primary. To appoint its member would bring them back, against every read
that was served in between.
"""

from collections.abc import Iterable
from typing import Any

from attrs import frozen

from bramleyrill_core._values import Mark
from bramleyrill_core.catalog import Address, MemberEntry, read_address

# Leads that a record keeps: the present one, the one before it, and an order that is under way.
MAX_STARTS = 3


@frozen
class LeadStart:
    """The mark that a member had when it was chosen; entries of its own term come after it.

    The address tells the member when it is back under another id.
    """

    member: str
    address: Address
    mark: Mark

    def belongs_to(self, entry: MemberEntry) -> bool:
        """Return whether this is the lead of the member that wrote `entry`."""
        return self.member == entry.id or self.address == entry.address

    def to_value(self) -> dict[str, Any]:
        """Return the start in the form in which it is stored."""
        return {
            "member": self.member,
            "address": list(self.address),
            "term": self.mark.term,
            "position": self.mark.position,
        }

    @classmethod
    def from_value(cls, value: Any) -> "LeadStart | None":
        """Return the start of a stored value, or None if it is malformed."""
        if not isinstance(value, dict):
            return None
        member, term, position = (value.get(name) for name in ("member", "term", "position"))
        address = read_address(value.get("address"))
        if not isinstance(member, str) or address is None:
            return None
        if type(term) is not int or type(position) is not int:
            return None
        return cls(member, address, Mark(term, position))


def starts_up_to(
    starts: tuple[LeadStart, ...], primary: MemberEntry | None
) -> tuple[LeadStart, ...]:
    """Return the starts of the primary's lead and of those before it; `starts` is newest first.

    Newer ones belong to orders that were not carried out. If the primary is not known, the last
    order is taken to have been carried out; if it was never ordered, no start is known.
    """
    if primary is None:
        return starts
    for index, start in enumerate(starts):
        if start.belongs_to(primary):
            return starts[index:]
    return ()


def starts_with(
    starts: tuple[LeadStart, ...], chosen: LeadStart | None, primary: MemberEntry | None
) -> tuple[LeadStart, ...]:
    """Return the starts to store before `chosen` is ordered to follow `primary`.

    Without `chosen` nobody is ordered yet. A repeated order keeps the start that it had.
    """
    if chosen is not None and starts and starts[0].member == chosen.member:
        return starts
    earlier = starts_up_to(starts, primary)
    return earlier if chosen is None else (chosen, *earlier)


def has_diverged(mark: Mark, starts: Iterable[LeadStart]) -> bool:
    """Return whether a log with this mark has entries that were given up when a term began.

    Example: a term began at 1.46, so 1.86 has diverged; 1.46 and 2.50 have not.
    """
    return any(
        mark.term <= start.mark.term and mark.position > start.mark.position for start in starts
    )
