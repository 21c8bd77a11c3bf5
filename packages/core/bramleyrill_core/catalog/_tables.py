"""Members in use, and which one is taken for the primary of each service."""

from datetime import timedelta

from attrs import define
from bramleyrill_base import Table

from bramleyrill_core._values import MemberRole
from bramleyrill_core.catalog._model import MemberEntry, MemberState

# Entries that lapsed while the platform's store was away are back within about 2 s of its return.
LAPSE_GRACE = timedelta(seconds=2.5)


@define(eq=False)
class MemberRow:
    """A member and what is known of it besides its entry.

    `lapsed_at` is when its entry disappeared. `role_revision` is the revision at which it last
    changed its role.
    """

    entry: MemberEntry
    lapsed_at: timedelta | None = None
    role_revision: int = 0

    @property
    def takes_work(self) -> bool:
        """Tell whether new work may be sent to the member."""
        return self.entry.state is MemberState.READY


@define(eq=False)
class PrimaryRow:
    """The member that leads a service, the term that proved it, and when that was learned."""

    member: str
    term: int
    role_revision: int = 0


class MemberTable:
    """Members by id and primaries by service.

    A primary is believed by its own entry until an answer inside a plain transaction proves a
    term; after that only a higher term, or an entry that changed later, replaces it. `revision`
    is the newest revision that any entry had.
    """

    def __init__(self) -> None:
        self.members: Table[str, MemberRow] = Table()
        self.primaries: Table[str, PrimaryRow] = Table()
        self.revision = 0

    def replace_all(self, entries: list[MemberEntry], now: timedelta) -> None:
        """Take over a complete list."""
        listed = {entry.id for entry in entries}
        for entry in entries:
            self.put(entry)
        for row in self.members.rows():
            if row.entry.id not in listed:
                self.lapse(row.entry.id, now)

    def put(self, entry: MemberEntry) -> None:
        """Take over one entry, unless a newer one of the member is known."""
        self.revision = max(self.revision, entry.revision)
        row = self.members.get(entry.id)
        if row is None:
            row = self.members.add(entry.id, MemberRow(entry, role_revision=entry.revision))
        elif entry.revision < row.entry.revision:
            return
        else:
            if entry.role is not row.entry.role or entry.born != row.entry.born:
                row.role_revision = entry.revision
            row.entry = entry
            row.lapsed_at = None
        if entry.role is MemberRole.PRIMARY:
            self._believe(entry.service, entry.id, row.role_revision)

    def lapse(self, member: str, now: timedelta) -> None:
        """Note that a member's entry is gone; a draining one is dropped at once."""
        row = self.members.get(member)
        if row is None:
            return
        if not row.takes_work:
            self.members.remove(member)
        elif row.lapsed_at is None:
            row.lapsed_at = now

    def drop_lapsed(self, now: timedelta) -> list[str]:
        """Drop the members whose entries did not come back; return their ids."""
        gone = [
            row.entry.id
            for row in self.members
            if row.lapsed_at is not None and now - row.lapsed_at >= LAPSE_GRACE
        ]
        for member in gone:
            self.members.remove(member)
        return gone

    def of_service(self, service: str) -> list[MemberRow]:
        """Return the members of a service."""
        return [row for row in self.members if row.entry.service == service]

    def primary_of(self, service: str) -> MemberRow | None:
        """Return the member that is taken for the primary, or None."""
        known = self.primaries.get(service)
        if known is None:
            return None
        return self.members.get(known.member)

    def term_of(self, service: str) -> int:
        """Return the highest proved term of a service, 0 for none."""
        known = self.primaries.get(service)
        return known.term if known else 0

    def prove_primary(self, service: str, member: str, term: int) -> bool:
        """Note that `member` led `term`; tell whether that changed who is the primary."""
        known = self.primaries.get(service)
        if known is not None and term < known.term:
            return False
        changed = known is None or known.member != member
        row = self.members.get(member)
        revision = row.role_revision if row else 0
        earlier = known.role_revision if known else 0
        self.primaries.add(service, PrimaryRow(member, term, max(revision, earlier)))
        return changed

    def _believe(self, service: str, member: str, role_revision: int) -> None:
        known = self.primaries.get(service)
        if known is None:
            self.primaries.add(service, PrimaryRow(member, 0, role_revision))
        elif role_revision > known.role_revision:
            known.role_revision = role_revision
            known.member = member
