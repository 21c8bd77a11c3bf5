"""Table of the members in use and of the presumed primary of each service."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, evolve
from bramleyrill_base import Table

from bramleyrill_core._values import MemberRole
from bramleyrill_core.catalog._lost_replicas import (
    UNKNOWN_REPLICA,
    LostReplica,
    LostReplicas,
    ReplicaProcess,
)
from bramleyrill_core.catalog._model import MemberEntry, MemberState
from bramleyrill_core.history import StoreRevision

# Entries that lapse while the platform's store is down are back within about 2 s of its return,
# and members write again what a restored store has lost.
LAPSE_GRACE = timedelta(seconds=2.5)
# Members that left are remembered up to this number, since a restored store may list them again.
MAX_DEPARTED = 1000


@define(eq=False)
class MemberRow:
    """A member's entry and the observations about it.

    `lapsed_at` is the time at which its entry disappeared from the store, or None. `role_revision`
    is the revision of the entry with which its role or incarnation last changed. `restored` is the
    entry that a restored store listed at `restored_at`, as long as it may be older than `entry`.
    """

    entry: MemberEntry
    lapsed_at: timedelta | None = None
    role_revision: StoreRevision = StoreRevision()
    restored: MemberEntry | None = None
    restored_at: timedelta = timedelta()

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
    role_revision: StoreRevision = StoreRevision()


class MemberTable:
    """Members by id and presumed primaries by service.

    A member that claims the primary role in its entry is presumed to be the primary until an answer
    inside a plain transaction proves a term. After that, only a proof of at least the same term or
    an entry with a later change of role replaces it. `revision` is the newest revision of any
    entry.

    A restored store lists entries from its copy until the members have written theirs again. An
    entry that may be from the copy therefore does not replace a known one for LAPSE_GRACE, and a
    member that was seen to leave does not come back with it.

    A replica that is gone may be the only one with some acknowledged commits, so it stays in
    `lost`. One that starts again under its id holds nothing of before, so its earlier process is
    lost. What was lost before the first list of the members is not known, unless a record of the
    store tells it (`remember_replicas`).
    """

    def __init__(self) -> None:
        self.members: Table[str, MemberRow] = Table()
        self.primaries: Table[str, PrimaryRow] = Table()
        self.revision = StoreRevision()
        self._departed_incarnations_by_id: dict[str, int] = {}
        self.lost = LostReplicas()
        self._recorded_services: set[str] = set()
        self._first_listed_at: timedelta | None = None
        self._proved_lead_by_service: dict[str, tuple[str, int]] = {}

    def replace_all(self, entries: list[MemberEntry], now: timedelta) -> None:
        """Replace all entries by a complete list; members that it lacks lapse."""
        if self._first_listed_at is None:
            self._first_listed_at = now
        listed = {entry.id for entry in entries}
        earlier = self.revision
        for entry in entries:
            self._put_listed(entry, earlier, now)
        for row in self.members.rows():
            if row.entry.id not in listed:
                self.lapse(row.entry.id, now)

    def put(self, entry: MemberEntry, now: timedelta = timedelta()) -> None:
        """Add or update the entry of a member, unless a newer one is known."""
        self._put(entry, entry.revision, now)

    def settle_restored(self, now: timedelta) -> list[str]:
        """Use the restored entries that were not written again in time; return their ids."""
        due = [
            row.restored
            for row in self.members
            if row.restored is not None and now - row.restored_at >= LAPSE_GRACE
        ]
        for entry in due:
            self.put(entry, now)
        return [entry.id for entry in due]

    def restored_count(self) -> int:
        """Return the number of members whose restored entry is not used yet."""
        return sum(row.restored is not None for row in self.members)

    def _put_listed(self, entry: MemberEntry, earlier: StoreRevision, now: timedelta) -> None:
        """Put an entry of a listing; `earlier` is the table's revision before the listing."""
        row = self.members.get(entry.id)
        if row is None:
            self._put(entry, _revision_of_role(entry, earlier), now)
        elif _may_be_older(entry, row):
            self.revision = max(self.revision, entry.revision)
            row.lapsed_at = None
            if row.restored is None or row.restored.revision < entry.revision:
                row.restored, row.restored_at = entry, now
        else:
            self.put(entry, now)

    def _put(self, entry: MemberEntry, role_revision: StoreRevision, now: timedelta) -> None:
        self.revision = max(self.revision, entry.revision)
        if self._has_departed(entry):
            return
        row = self.members.get(entry.id)
        if row is None:
            row = self.members.add(entry.id, MemberRow(entry, role_revision=role_revision))
        elif entry.revision < row.entry.revision:
            return
        else:
            if entry.role is not row.entry.role or entry.incarnation != row.entry.incarnation:
                row.role_revision = role_revision
            if entry.incarnation != row.entry.incarnation:
                self._record_lost(row.entry, now, has_ended=True)
            row.entry = _keep_draining(entry, row.entry)
            row.lapsed_at = row.restored = None
        self.lost.take_entry(entry, now)
        if entry.role is MemberRole.PRIMARY:
            self._record_claimed_primary(entry.service, entry.id, row.role_revision)

    def lapse(self, member: str, now: timedelta) -> None:
        """Record that a member's entry disappeared; a draining member is dropped at once."""
        row = self.members.get(member)
        if row is None:
            return
        if not row.accepts_work:
            self.members.remove(member)
            self._record_departure(row.entry)
            self._record_lost(row.entry, now)
            self._forget_gone_primary(row.entry)
        elif row.lapsed_at is None:
            row.lapsed_at = now

    def drop_lapsed(self, now: timedelta) -> list[str]:
        """Drop the members whose entries did not return within LAPSE_GRACE; return their ids."""
        dropped = [
            row
            for row in self.members
            if row.lapsed_at is not None and now - row.lapsed_at >= LAPSE_GRACE
        ]
        for row in dropped:
            self.members.remove(row.entry.id)
            self._record_lost(row.entry, row.lapsed_at)
            self._forget_gone_primary(row.entry)
        return [row.entry.id for row in dropped]

    def lost_replicas_of(self, service: str, now: timedelta) -> list[LostReplica]:
        """Return the replicas of a service that are gone and may have commits that no other has.

        For a while after the first list of the members, UNKNOWN_REPLICA is one of them, unless a
        record told which replicas there were.
        """
        lost = self.lost.of_service(service, now)
        unknown = LostReplica(UNKNOWN_REPLICA, service, self._first_listed_at or now)
        if self._first_listed_at is None or service in self._recorded_services:
            return lost
        if unknown.counts(now):
            lost.append(evolve(unknown, quiet_since=unknown.heard_at))
        return lost

    def remember_replicas(
        self, service: str, replicas: Iterable[ReplicaProcess], now: timedelta
    ) -> None:
        """Record which replicas a service had, by a record of the store; those not listed are lost.

        The presumed primary is none of them.
        """
        self._recorded_services.add(service)
        primary = self.primaries.get(service)
        listed = [row.entry for row in self.members_of_service(service)]
        processes = {(entry.id, entry.incarnation) for entry in listed}
        ids, addresses = {entry.id for entry in listed}, {entry.address for entry in listed}
        for replica in replicas:
            is_primary = primary is not None and primary.member == replica.id
            if is_primary or (replica.id, replica.incarnation) in processes:
                continue
            has_ended = replica.id in ids or replica.address in addresses
            self.lost.remember(replica.entry(service), now, has_ended)

    def replicas_of(self, service: str, now: timedelta) -> list[ReplicaProcess]:
        """Return the replicas of a service that may have commits that nobody else has, by id."""
        primary = self.primaries.get(service)
        listed = [row.entry for row in self.members_of_service(service)]
        lost = [lost.entry for lost in self.lost.of_service(service, now)]
        replicas = {
            ReplicaProcess.of(entry)
            for entry in (*listed, *lost)
            if primary is None or entry.id != primary.member
        }
        return sorted(replicas, key=lambda replica: (replica.id, replica.incarnation))

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

    def proved_term_of(self, service: str, member: str) -> int:
        """Return the term in which a member was last seen to lead, 0 if another one was.

        Unlike `term_of` it does not rise when another member is appointed.
        """
        leader, term = self._proved_lead_by_service.get(service, ("", 0))
        return term if leader == member else 0

    def record_appointment(self, service: str, member: str) -> bool:
        """Record that `member` is to lead the next term; return whether that is news."""
        return self._record_lead(service, member, self.term_of(service) + 1)

    def record_primary_proof(self, service: str, member: str, term: int) -> bool:
        """Record that `member` led `term`; return whether the presumed primary changed."""
        if term >= self._proved_lead_by_service.get(service, ("", 0))[1]:
            self._proved_lead_by_service[service] = (member, term)
        return self._record_lead(service, member, term)

    def _record_lead(self, service: str, member: str, term: int) -> bool:
        primary = self.primaries.get(service)
        if primary is not None and term < primary.term:
            return False
        changed = primary is None or primary.member != member
        row = self.members.get(member)
        if changed and row is None and self._leads_in(service, term):
            # A proof of a member that is gone, told by another VM: the same process may have
            # returned under another id, and leads on in its term.
            return False
        revision = row.role_revision if row else StoreRevision()
        earlier_revision = primary.role_revision if primary else StoreRevision()
        self.primaries.add(service, PrimaryRow(member, term, max(revision, earlier_revision)))
        return changed

    def _leads_in(self, service: str, term: int) -> bool:
        """Return whether a member that is known is presumed to lead a service in a term."""
        primary = self.primaries.get(service)
        return (
            primary is not None
            and primary.term == term
            and self.members.get(primary.member) is not None
        )

    def _record_lost(self, entry: MemberEntry, now: timedelta, has_ended: bool = False) -> None:
        if entry.role is MemberRole.REPLICA:
            self.lost.record(entry, now, has_ended)

    def _forget_gone_primary(self, gone: MemberEntry) -> None:
        """Presume another member that says that it leads, or was proved to, in place of one gone.

        A member that starts again may claim for a moment that it leads. The VMs that get no proofs
        believe its entry, which nothing corrects once the member is gone.
        """
        primary = self.primaries.get(gone.service)
        if primary is None or primary.member != gone.id:
            return
        proved, _ = self._proved_lead_by_service.get(gone.service, ("", 0))
        leaders = [
            row
            for row in self.members_of_service(gone.service)
            if row.entry.role is MemberRole.PRIMARY or row.entry.id == proved
        ]
        if leaders:
            newest = max(leaders, key=lambda row: (row.entry.id == proved, row.role_revision))
            primary.member = newest.entry.id

    def _record_departure(self, entry: MemberEntry) -> None:
        departed = self._departed_incarnations_by_id
        departed[entry.id] = entry.incarnation
        if len(departed) > MAX_DEPARTED:
            del departed[next(iter(departed))]

    def _has_departed(self, entry: MemberEntry) -> bool:
        """Return whether a member that is not known now left in this incarnation."""
        return (
            entry.incarnation != 0
            and self.members.get(entry.id) is None
            and entry.state is MemberState.READY
            and self._departed_incarnations_by_id.get(entry.id) == entry.incarnation
        )

    def _record_claimed_primary(
        self, service: str, member: str, role_revision: StoreRevision
    ) -> None:
        primary = self.primaries.get(service)
        if primary is None:
            self.primaries.add(service, PrimaryRow(member, 0, role_revision))
        elif role_revision > primary.role_revision:
            primary.role_revision = role_revision
            primary.member = member


def _may_be_older(entry: MemberEntry, row: MemberRow) -> bool:
    """Return whether a listed entry may be from the copy, and older than the known one.

    The copy holds only revisions that the earlier era had given out before. An entry that changed
    after the restore was first listed was written in the new era.
    """
    known = row.entry.revision
    if entry.revision.era <= known.era or entry.revision.number >= known.number:
        return False
    restored = row.restored
    if restored is None or restored.revision.era < entry.revision.era:
        return True
    return entry.revision == restored.revision


def _revision_of_role(entry: MemberEntry, earlier: StoreRevision) -> StoreRevision:
    """Return the revision that orders the role of a member that was not known.

    What a restored store lists below the `earlier` revision may be from its copy, so that it is no
    newer than what was learned before the restore.
    """
    if entry.revision.era > earlier.era and entry.revision.number < earlier.number:
        return StoreRevision(earlier.era, entry.revision.number)
    return entry.revision


def _keep_draining(entry: MemberEntry, known: MemberEntry) -> MemberEntry:
    """Return the entry to use; across a restore, no incarnation returns from draining."""
    if (
        known.state is MemberState.DRAINING
        and entry.incarnation == known.incarnation != 0
        and entry.revision.era > known.revision.era
    ):
        return evolve(entry, state=MemberState.DRAINING)
    return entry
