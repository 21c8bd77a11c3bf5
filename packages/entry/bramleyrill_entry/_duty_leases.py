"""Leases of the duties to appoint primaries: records in the store, taken by conditional update."""

from datetime import timedelta
from typing import Any

from attrs import define, field
from bramleyrill_base import log_event
from bramleyrill_core import Mark
from bramleyrill_core.catalog import ReplicaProcess
from bramleyrill_core.history import NO_ERA
from bramleyrill_core.leadership import (
    DUTY_LEASE,
    KIND_DUTIES,
    NO_HOLDER,
    DutyRecord,
    DutyView,
    LeadStart,
    next_record,
    record_with_replicas,
    renewed_record,
)
from bramleyrill_platform import (
    ConflictError,
    NotFoundError,
    StoreClient,
    StoredObject,
    StoreError,
    UnansweredError,
)

from bramleyrill_entry._state import EntryState


@define(eq=False)
class SupervisedService:
    """Supervision state of one service.

    `duty` is this VM's view of the service's duty: a lease in the store, whose holder alone may
    order a change of primary. `duty_written_at` is the time at which this VM sent its last record,
    or None, and `is_acquiring` is True while it writes one.

    `member` is the known primary, or empty, and `primary_since` the time when it became known or
    last showed that it lives without a proof of its role. `highest_term` is the highest term that
    a member reported. `in_progress` is True while a check runs. `index` is this VM's position among
    the supervisors, or None if it is not one of them; it is cached until `index_valid_until`.

    After a restore of the store, `free_in_era` is the era in which all other VMs said that they do
    not hold the duty, and `inquiry_at` the time of the next attempt to ask them. `confirmed_era` is
    the era in which the duty is known to have a record, and `confirm_at` the time of the next
    attempt to write one.

    While the service has no successor that is known to be safe, `leaderless_at` is the time of the
    next announcement of that. `record_check_at` is the time of the next look for a change of
    primary that was left unfinished.

    `marks_by_member` has the marks of the members that answered the last poll. `diverged_since` is
    the time since which only members whose logs went another way are left, or None.
    `losses_check_at` is the time of the next look for replicas whose entries are gone, and
    `roster_at` that of the next attempt to store which replicas there are.
    """

    service: str
    duty: DutyView
    primary_since: timedelta
    member: str = ""
    in_progress: bool = False
    index: int | None = None
    index_valid_until: timedelta = timedelta()
    highest_term: int = 0
    duty_written_at: timedelta | None = None
    confirmed_era: int = NO_ERA
    confirm_at: timedelta = timedelta.min
    free_in_era: int = NO_ERA
    inquiry_at: timedelta = timedelta.min
    is_acquiring: bool = False
    leaderless_at: timedelta = timedelta.min
    record_check_at: timedelta = timedelta.min
    marks_by_member: dict[str, Mark] = field(factory=dict)
    diverged_since: timedelta | None = None
    losses_check_at: timedelta = timedelta.min
    roster_at: timedelta = timedelta.min

    @property
    def starts(self) -> tuple[LeadStart, ...]:
        """Return where the terms of the last appointed members begin, by the duty's record."""
        record = self.duty.current_record
        return record.starts if record is not None else ()


class DutyLeases:
    """Read and write the records of the duties; failures are logged and reported as results."""

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        self._acquired_by_service: dict[str, SupervisedService] = {}

    def may_hold(self, service: str) -> bool:
        """Return whether this VM holds a service's duty, or is about to."""
        supervised = self._acquired_by_service.get(service)
        return supervised is not None and (supervised.is_acquiring or self.holds(supervised))

    def acquire(
        self,
        supervised: SupervisedService,
        member: str,
        starts: tuple[LeadStart, ...] = (),
        replicas: tuple[ReplicaProcess, ...] | None = None,
    ) -> DutyRecord | None:
        """Write the record of the next order and return it; the duty must have been read.

        `starts` and `replicas` are stored with a new record. Return None if another VM holds the
        duty or the record cannot be written.
        """
        if not self.may_acquire(supervised):
            return None
        now = self._state.now()
        duty = supervised.duty
        record = next_record(duty.record, self._state.vm, member, duty.revision, starts, replicas)
        if record == duty.record:
            if self.holds(supervised):
                return record
            record = renewed_record(record, duty.revision)
        self._acquired_by_service[supervised.service] = supervised
        supervised.is_acquiring = True
        try:
            stored = self._write(supervised, record)
        except ConflictError:
            log_event("duty_lost", service=supervised.service)
            return None
        except StoreError as error:
            log_event("duty_not_written", service=supervised.service, reason=error)
            return None
        finally:
            supervised.is_acquiring = False
        log_event(
            "duty_acquired",
            service=supervised.service,
            member=member,
            token=record.fencing_token,
            written=stored.position,
            read_revision=supervised.duty.revision,
        )
        supervised.duty = DutyView(record, stored.position, now)
        supervised.duty_written_at = now
        return record

    def confirm(self, supervised: SupervisedService, member: str) -> bool:
        """Write a record without a holder that names the primary; the duty must have been read.

        Return whether the duty has a record of this era then.
        """
        duty = supervised.duty
        if duty.current_record is not None:
            return True
        if not self.may_acquire(supervised):
            return False
        record = next_record(duty.record, NO_HOLDER, member, duty.revision, supervised.starts)
        try:
            stored = self._write(supervised, record)
        except StoreError as error:
            log_event("primary_not_confirmed", service=supervised.service, reason=error)
            return False
        supervised.duty = DutyView(record, stored.position, self._state.now())
        log_event(
            "primary_confirmed",
            service=supervised.service,
            member=member,
            written=stored.position,
        )
        return True

    def store_replicas(
        self,
        supervised: SupervisedService,
        primary: str,
        replicas: tuple[ReplicaProcess, ...],
        may_confirm: bool,
    ) -> None:
        """Write which replicas the service has, unless another VM holds the duty.

        The duty must have been read. With `may_confirm` the first record of an era, which names the
        primary, may be written.
        """
        duty = supervised.duty
        current = duty.current_record
        if current is None and not may_confirm:
            return
        if not self.is_free(supervised):
            return
        is_holder = current is not None and current.holder == self._state.vm
        holder = self._state.vm if is_holder and self.holds(supervised) else NO_HOLDER
        record = record_with_replicas(duty.record, holder, primary, replicas, duty.revision)
        now = self._state.now()
        try:
            stored = self._write(supervised, record)
        except StoreError as error:
            log_event("replicas_not_recorded", service=supervised.service, reason=error)
            return
        supervised.duty = DutyView(record, stored.position, now)
        if holder != NO_HOLDER:
            supervised.duty_written_at = now
        log_event(
            "replicas_recorded",
            service=supervised.service,
            replicas=",".join(replica.id for replica in replicas) or "-",
            written=stored.position,
        )

    def may_acquire(self, supervised: SupervisedService) -> bool:
        """Return whether no other VM holds the duty, by what was read last; log it if one does."""
        if self.is_free(supervised):
            return True
        duty = supervised.duty
        current = duty.current_record
        log_event(
            "duty_held",
            service=supervised.service,
            holder=current.holder if current is not None else "unknown",
            revision=duty.revision,
            era_known_for=self._era_known_for(supervised),
        )
        return False

    def is_free(self, supervised: SupervisedService) -> bool:
        """Return whether no other VM holds the duty, by what was read last."""
        duty = supervised.duty
        # A lease outlasts a restore, as the other VMs wait for its length in the new era.
        if duty.seen_at is not None and duty.current_record is None and self.holds(supervised):
            return True
        era_known_for = self._era_known_for(supervised)
        return duty.may_acquire(self._state.vm, self._state.now(), era_known_for)

    def may_take_duties(self, supervised: SupervisedService) -> bool:
        """Return whether a duty without a record of this era would be free for this VM."""
        if self._state.history.era == NO_ERA or self._era_known_for(supervised) >= DUTY_LEASE:
            return True
        return self.holds(supervised)

    def _era_known_for(self, supervised: SupervisedService) -> timedelta:
        """Return for how long the era has lasted; a duty that is free in it counts as old."""
        history = self._state.history
        if supervised.free_in_era == history.era:
            return max(history.known_for(), DUTY_LEASE)
        return history.known_for()

    def read(self, supervised: SupervisedService) -> bool:
        """Update the view of the service's duty; return False if the store does not answer."""
        now = self._state.now()
        try:
            stored = self._store.get(KIND_DUTIES, supervised.service)
        except NotFoundError as error:
            supervised.duty.update(None, error.revision, now)
            return True
        except StoreError as error:
            log_event("duty_not_read", service=supervised.service, reason=error)
            return False
        supervised.duty.update(DutyRecord.from_value(stored.value), stored.position, now)
        current = supervised.duty.current_record
        if current is not None and current.replicas is not None:
            members = self._state.members
            members.remember_replicas(supervised.service, current.replicas, now)
        return True

    def _write(self, supervised: SupervisedService, record: DutyRecord) -> StoredObject:
        """Write the record; if the answer is lost, read it back to see whether it was written."""
        value = record.to_value()
        revision = supervised.duty.revision
        try:
            stored = self._put(supervised, value)
        except UnansweredError:
            stored = self._store.get(KIND_DUTIES, supervised.service)
            if stored.value != value or stored.era != revision.era:
                raise
        if stored.era != revision.era:
            # The revision that was read is of another history, so the condition proves nothing.
            raise StoreError("the store was restored since the duty was read")
        return stored

    def _put(self, supervised: SupervisedService, value: Any) -> StoredObject:
        duty = supervised.duty
        if duty.record is None and duty.revision.number == 0:
            return self._store.create(KIND_DUTIES, supervised.service, value)
        return self._store.replace(KIND_DUTIES, supervised.service, value, duty.revision.number)

    def holds(self, supervised: SupervisedService) -> bool:
        """Return whether no other VM can have acquired the duty since this VM wrote its record."""
        written_at = supervised.duty_written_at
        return written_at is not None and self._state.now() - written_at < DUTY_LEASE
