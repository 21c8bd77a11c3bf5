"""Leases of the duties to appoint primaries: records in the store, taken by conditional update."""

from datetime import timedelta

from attrs import define
from bramleyrill_base import log_event
from bramleyrill_core.leadership import (
    DUTY_LEASE,
    KIND_DUTIES,
    DutyRecord,
    DutyView,
    next_record,
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
    order a change of primary; `duty_written_at` is the time at which this VM sent its last record.
    `member` is the known primary, or empty, and `primary_since` the time when it became known or
    last showed that it lives without a proof of its role. `highest_term` is the highest term that
    a member reported. `in_progress` is True while a check runs. `index` is this VM's position among
    the supervisors, or None if it is not one of them; it is cached until `index_valid_until`.
    """

    service: str
    duty: DutyView
    primary_since: timedelta
    member: str = ""
    in_progress: bool = False
    index: int | None = None
    index_valid_until: timedelta = timedelta()
    highest_term: int = 0
    duty_written_at: timedelta = timedelta.min


class DutyLeases:
    """Read and write the records of the duties; failures are logged and reported as results."""

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self._state = state
        self._store = store

    def acquire(self, supervised: SupervisedService, member: str) -> DutyRecord | None:
        """Write the record of the next order and return it; the duty must have been read.

        Return None if another VM holds the duty or the record cannot be written.
        """
        if not self.may_acquire(supervised):
            return None
        now = self._state.now()
        record = next_record(
            supervised.duty.record, self._state.vm, member, supervised.duty.revision
        )
        if record == supervised.duty.record:
            if self.holds(supervised):
                return record
            record = renewed_record(record)
        try:
            stored = self._write(supervised, record)
        except ConflictError:
            log_event("duty_lost", service=supervised.service)
            return None
        except StoreError as error:
            log_event("duty_not_written", service=supervised.service, reason=error)
            return None
        log_event(
            "duty_acquired",
            service=supervised.service,
            member=member,
            token=record.fencing_token,
            written=stored.position,
            read_revision=supervised.duty.revision,
        )
        supervised.duty = DutyView(record, stored.revision, now)
        supervised.duty_written_at = now
        return record

    def may_acquire(self, supervised: SupervisedService) -> bool:
        """Return whether no other VM holds the duty, by what was read last."""
        duty = supervised.duty
        if duty.may_acquire(self._state.vm, self._state.now()):
            return True
        holder = duty.record.holder if duty.record is not None else "malformed"
        log_event("duty_held", service=supervised.service, holder=holder)
        return False

    def read(self, supervised: SupervisedService) -> bool:
        """Update the view of the service's duty; return False if the store does not answer."""
        now = self._state.now()
        try:
            stored = self._store.get(KIND_DUTIES, supervised.service)
        except NotFoundError:
            supervised.duty = DutyView(None, 0, now)
            return True
        except StoreError as error:
            log_event("duty_not_read", service=supervised.service, reason=error)
            return False
        supervised.duty.update(DutyRecord.from_value(stored.value), stored.revision, now)
        return True

    def _write(self, supervised: SupervisedService, record: DutyRecord) -> StoredObject:
        """Write the record; if the answer is lost, read it back to see whether it was written."""
        value = record.to_value()
        try:
            if supervised.duty.record is None and supervised.duty.revision == 0:
                return self._store.create(KIND_DUTIES, supervised.service, value)
            return self._store.replace(
                KIND_DUTIES, supervised.service, value, supervised.duty.revision
            )
        except UnansweredError:
            stored = self._store.get(KIND_DUTIES, supervised.service)
            if stored.value != value:
                raise
            return stored

    def holds(self, supervised: SupervisedService) -> bool:
        """Return whether no other VM can have acquired the duty since this VM wrote its record."""
        return self._state.now() - supervised.duty_written_at < DUTY_LEASE
