"""Keep the duty's record of which replicas of a service may have commits that nobody else has.

Only services with synchronous replicas have one. VMs that have all been restarted learn from it who
must be heard before a primary is appointed.
"""

from datetime import timedelta

import gevent
from bramleyrill_core.catalog import MemberEntry, ReplicaProcess

from bramleyrill_entry._duty_leases import DutyLeases, SupervisedService
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._successor_search import SuccessorSearch

# Pause between two attempts to write a record that has changed.
WRITE_INTERVAL = timedelta(seconds=1)
# How often replicas without an entry are asked whether they live, so that their silence has a
# beginning before the primary fails.
ASK_INTERVAL = timedelta(seconds=1)


class ReplicaRoster:
    """Follow the replicas of a service while its primary is well."""

    def __init__(
        self, state: EntryState, leases: DutyLeases, search: SuccessorSearch, may_confirm: bool
    ) -> None:
        """`may_confirm` is whether a first record may name the primary without asking it."""
        self._state = state
        self._leases = leases
        self._search = search
        self._may_confirm = may_confirm

    def replicas_to_store(self, service: str) -> tuple[ReplicaProcess, ...] | None:
        """Return the replicas for the record, or None if the service has no synchronous ones."""
        if not self._search.sync_replicas_of(service):
            return None
        return tuple(self._state.members.replicas_of(service, self._state.now()))

    def keep(self, supervised: SupervisedService, primary: MemberEntry, index: int) -> None:
        """Ask the replicas that are gone; as the first supervisor, store the present ones."""
        if not self._search.sync_replicas_of(supervised.service):
            return
        now = self._state.now()
        if now >= supervised.losses_check_at:
            supervised.losses_check_at = now + ASK_INTERVAL
            gevent.spawn(self._search.settle_losses, supervised, primary)
        if index == 0 and now >= supervised.roster_at and self._has_changed(supervised):
            supervised.roster_at = now + WRITE_INTERVAL
            self._store(supervised, primary)

    def _store(self, supervised: SupervisedService, primary: MemberEntry) -> None:
        """Write the replicas, with those that this VM learns of only from the present record."""
        if not self._leases.read(supervised) or not self._has_changed(supervised):
            return
        replicas = self.replicas_to_store(supervised.service) or ()
        self._leases.store_replicas(supervised, primary.id, replicas, self._may_confirm)

    def _has_changed(self, supervised: SupervisedService) -> bool:
        record = supervised.duty.current_record
        return record is None or record.replicas != self.replicas_to_store(supervised.service)
