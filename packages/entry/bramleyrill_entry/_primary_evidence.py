"""What is known of a primary that may have failed: the proofs of all VMs, and its own answer."""

from datetime import timedelta

import gevent
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.placement import holder_candidates
from bramleyrill_core.statements import AnswerCode
from bramleyrill_platform import lines

from bramleyrill_entry._duty_leases import SupervisedService
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._member_status import DIAL_TIMEOUT, STATUS_TIMEOUT
from bramleyrill_entry._permits import PermitKeeper
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._upstream import (
    RefusedByMemberError,
    UpstreamConnection,
    UpstreamError,
)

# Maximum number of other VMs that are asked for the proofs that they know.
MAX_QUERIED_VMS = 12
# The primary itself is asked only if the other VMs do not answer at once, as a dial takes a slot.
PROBE_DELAY = timedelta(milliseconds=100)
# A proof that is younger than this ends the search for one.
FRESH_PROOF_AGE = timedelta(milliseconds=250)


class PrimaryEvidence:
    """Collect the evidence that a primary lives, as a supervisor acts only without any."""

    def __init__(self, state: EntryState, executor: Executor, permits: PermitKeeper) -> None:
        self._state = state
        self._executor = executor
        self._permits = permits

    def silent_for(self, supervised: SupervisedService) -> timedelta:
        """Return the age of the newest proof of the primary's role.

        At most the time since this VM has known the primary: a new one gets time to prove its role.
        """
        now = self._state.now()
        age = self._state.proofs.history_of(supervised.service).age(now)
        known_for = now - supervised.primary_since
        return known_for if age is None else min(age, known_for)

    def collect(
        self, supervised: SupervisedService, primary: MemberEntry
    ) -> tuple[timedelta, bool]:
        """Ask the holder and other VMs for a proof of the primary's role, then the primary itself.

        All are asked at the same time, as each that does not answer takes its whole timeout.
        Return the age of the newest proof, and whether the primary's machine refuses connections.
        """
        service = supervised.service
        vms = [row.entry.id for row in self._state.vms.vms if not row.entry.leaving]
        holder = holder_candidates(self._state.vms, primary)[0]
        queries = [gevent.spawn(self._executor.prove, holder, service)]
        for vm in vms[:MAX_QUERIED_VMS]:
            if vm != holder:
                queries.append(gevent.spawn(self._executor.prove, vm, service, True))
        probe = gevent.spawn_later(
            PROBE_DELAY.total_seconds(), self._probe_primary, supervised, primary
        )
        pending = [*queries, probe]
        while pending and self.silent_for(supervised) >= FRESH_PROOF_AGE:
            gevent.wait(pending, count=1)
            pending = [question for question in pending if not question.ready()]
        probe.kill()
        return self.silent_for(supervised), probe.value is True

    def _probe_primary(self, supervised: SupervisedService, primary: MemberEntry) -> bool:
        """Ask the primary for a proof; return whether its machine refuses connections.

        A primary that has too many connections serves other VMs, so it is not silent.
        """
        clock = self._state.clock
        try:
            connection = UpstreamConnection.dial(primary, DIAL_TIMEOUT, clock)
        except RefusedByMemberError as error:
            if error.answer.code is AnswerCode.TOO_MANY_CONNECTIONS:
                supervised.primary_since = self._state.now()
            return False
        except UpstreamError as error:
            return error.refused
        sent_at = self._state.now()
        try:
            answer = connection.execute(
                lines.INTERNAL_STATEMENT_ID, lines.BEGIN_TEXT, STATUS_TIMEOUT
            )
        except UpstreamError:
            return False
        finally:
            connection.close()
        if (
            answer.succeeded
            and answer.mark is not None
            and self._permits.renewed(primary, connection.opened_at)
            and self._permits.covers(primary, sent_at)
        ):
            self._state.record_proof(
                primary.service, primary.id, answer.mark.term, answer.mark, sent_at
            )
        return False
