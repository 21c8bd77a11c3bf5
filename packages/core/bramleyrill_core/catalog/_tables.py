"""Table of the members in use and of the presumed primary of each service."""

from datetime import timedelta

from attrs import define
from bramleyrill_base import Table

from bramleyrill_core._values import MemberRole
from bramleyrill_core.catalog._model import MemberEntry, MemberState

# Entries that lapse while the platform's store is down are back within about 2 s of its return.
LAPSE_GRACE = timedelta(seconds=2.5)


@define(eq=False)
class MemberRow:
    """A member's entry and the observations about it.

    `lapsed_at` is the time at which its entry disappeared from the store, or None. `role_revision`
    is the revision of the entry with which its role or incarnation last changed.
    """

    entry: MemberEntry
    lapsed_at: timedelta | None = None
    role_revision: int = 0

    @property
    def accepts_work(self) -> bool:
        """Return whether new work may be sent to the member."""
        return self.entry.state is MemberState.READY


@define(eq=False)
class PrimaryRow:
    """Presumed primary of a service.

    `term` is the term in which it was proved to lead, 0 if it only claims the role.
    `role_revision` is the newest role revision that was taken into account.
    """

    member: str
    term: int
    role_revision: int = 0


class MemberTable:
    """Members by id and presumed primaries by service.

    A member that claims the primary role in its entry is presumed to be the primary until an answer
    inside a plain transaction proves a term. After that, only a proof of at least the same term or
    an entry with a later change of role replaces it. `revision` is the newest revision of any
    entry.
    """

    def __init__(self) -> None:
        self.members: Table[str, MemberRow] = Table()
        self.primaries: Table[str, PrimaryRow] = Table()
        self.revision = 0

    def replace_all(self, entries: list[MemberEntry], now: timedelta) -> None:
        """Replace all entries by a complete list; members that it lacks lapse."""
        listed = {entry.id for entry in entries}
        for entry in entries:
            self.put(entry)
        for row in self.members.rows():
            if row.entry.id not in listed:
                self.lapse(row.entry.id, now)

    def put(self, entry: MemberEntry) -> None:
        """Add or update the entry of a member, unless a newer one is known."""
        self.revision = max(self.revision, entry.revision)
        row = self.members.get(entry.id)
        if row is None:
            row = self.members.add(entry.id, MemberRow(entry, role_revision=entry.revision))
        elif entry.revision < row.entry.revision:
            return
        else:
            if entry.role is not row.entry.role or entry.incarnation != row.entry.incarnation:
                row.role_revision = entry.revision
            row.entry = entry
            row.lapsed_at = None
        if entry.role is MemberRole.PRIMARY:
            self._record_claimed_primary(entry.service, entry.id, row.role_revision)

    def lapse(self, member: str, now: timedelta) -> None:
        """Record that a member's entry disappeared; a draining member is dropped at once."""
        row = self.members.get(member)
        if row is None:
            return
        if not row.accepts_work:
            self.members.remove(member)
        elif row.lapsed_at is None:
            row.lapsed_at = now

    def drop_lapsed(self, now: timedelta) -> list[str]:
        """Drop the members whose entries did not return within LAPSE_GRACE; return their ids."""
        dropped = [
            row.entry.id
            for row in self.members
            if row.lapsed_at is not None and now - row.lapsed_at >= LAPSE_GRACE
        ]
        for member in dropped:
            self.members.remove(member)
        return dropped

    def members_of_service(self, service: str) -> list[MemberRow]:
        """Return the members of a service."""
        return [row for row in self.members if row.entry.service == service]

    def primary_of(self, service: str) -> MemberRow | None:
        """Return the presumed primary of a service, or None."""
        primary = self.primaries.get(service)
        if primary is None:
            return None
        return self.members.get(primary.member)

    def term_of(self, service: str) -> int:
        """Return the highest proved term of a service, or 0 without a proof."""
        primary = self.primaries.get(service)
        return primary.term if primary else 0

    def record_primary_proof(self, service: str, member: str, term: int) -> bool:
        """Record that `member` led `term`; return whether the presumed primary changed."""
        primary = self.primaries.get(service)
        if primary is not None and term < primary.term:
            return False
        changed = primary is None or primary.member != member
        row = self.members.get(member)
        revision = row.role_revision if row else 0
        earlier_revision = primary.role_revision if primary else 0
        self.primaries.add(service, PrimaryRow(member, term, max(revision, earlier_revision)))
        return changed

    def _record_claimed_primary(self, service: str, member: str, role_revision: int) -> None:
        primary = self.primaries.get(service)
        if primary is None:
            self.primaries.add(service, PrimaryRow(member, 0, role_revision))
        elif role_revision > primary.role_revision:
            primary.role_revision = role_revision
            primary.member = member
