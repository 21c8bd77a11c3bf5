"""Find a change of primary that began and was not finished, on a service that looks healthy.

With synchronous replicas a change starts by fencing them. If its supervisor ends then, and the old
primary is back, that one answers but cannot commit: it waits for replicas that receive nothing. The
duty's record names another member from before the first fence on.
"""

from datetime import timedelta

from bramleyrill_base import log_event
from bramleyrill_core.catalog import MemberEntry

from bramleyrill_entry._duty_leases import DutyLeases, SupervisedService
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._successor_search import SuccessorSearch

# How often the first supervisor of a service reads the duty's record.
RECORD_CHECK_INTERVAL = timedelta(seconds=5)


class UnfinishedChanges:
    """Look for changes of primary that another VM, or an earlier attempt of this one, left."""

    def __init__(self, state: EntryState, leases: DutyLeases, search: SuccessorSearch) -> None:
        self._state = state
        self._leases = leases
        self._search = search

    def is_left(self, supervised: SupervisedService, primary: MemberEntry, index: int) -> bool:
        """Return whether a change should be finished by this VM, the supervisor number `index`.

        That is when the record names another member, the duty is free, and a replica is fenced.
        """
        if not self._search.sync_replicas_of(supervised.service):
            return False
        now = self._state.now()
        if index == 0 and now >= supervised.record_check_at:
            supervised.record_check_at = now + RECORD_CHECK_INTERVAL
            self._leases.read(supervised)
        if not _names_another(supervised, primary) or not self._leases.is_free(supervised):
            return False
        # The known record may be older than the last change.
        if not self._leases.read(supervised) or not _names_another(supervised, primary):
            return False
        if not self._search.has_fenced_replica(supervised.service, primary):
            return False
        log_event("change_unfinished", service=supervised.service, member=primary.id, turn=index)
        return True


def _names_another(supervised: SupervisedService, primary: MemberEntry) -> bool:
    record = supervised.duty.current_record
    return record is not None and record.member != primary.id
