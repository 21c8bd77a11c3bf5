"""Confirm the primary of a service in the duty's record, once an era of the store.

Where members do not notice that they were replaced, VMs take permits only from a record of the
present era, and a restore may have taken the last one away.
"""

from datetime import timedelta

import gevent
from bramleyrill_core.catalog import MemberEntry

from bramleyrill_entry._duty_inquiry import DutyInquiry
from bramleyrill_entry._duty_leases import DutyLeases, SupervisedService
from bramleyrill_entry._member_status import ask_status
from bramleyrill_entry._state import EntryState

# Pause between two attempts to confirm the primary of an era.
CONFIRMATION_INTERVAL = timedelta(seconds=1)


class PrimaryConfirmation:
    """Write a record that names the primary if an era has none yet."""

    def __init__(self, state: EntryState, leases: DutyLeases, inquiry: DutyInquiry) -> None:
        self._state = state
        self._leases = leases
        self._inquiry = inquiry

    def confirm(self, supervised: SupervisedService, primary: MemberEntry) -> None:
        """Make sure that the duty has a record of this era, unless that is not certain yet."""
        now = self._state.now()
        if supervised.confirmed_era == self._state.history.era or now < supervised.confirm_at:
            return
        supervised.confirm_at = now + CONFIRMATION_INTERVAL
        if not self._leases.read(supervised):
            return
        if supervised.duty.current_record is None:
            if self._state.history.changes:
                # In the first era callers come later than the end of a lease, and asking would
                # make every VM dial all others at its start.
                self._inquiry.ask(supervised)
            if not self._leases.may_take_duties(supervised) or not self._is_leader(primary):
                return
        if self._leases.confirm(supervised, primary.id):
            supervised.confirmed_era = supervised.duty.revision.era

    def _is_leader(self, primary: MemberEntry) -> bool:
        """Return whether the primary and another member agree with this VM that it leads."""
        clock = self._state.clock
        rows = self._state.members.members_of_service(primary.service)
        others = [row.entry for row in rows if row.entry.id != primary.id]
        queries = [gevent.spawn(ask_status, member, clock) for member in (primary, *others)]
        gevent.joinall(queries)
        own, *reports = (query.value for query in queries)
        known = [report for report in reports if report is not None]
        if own is None or not own.is_primary or (others and not known):
            return False
        if own.term < self._state.members.term_of(primary.service):
            return False
        return all(
            not report.is_primary and max(report.term, report.fenced_term) <= own.term
            for report in known
        )
