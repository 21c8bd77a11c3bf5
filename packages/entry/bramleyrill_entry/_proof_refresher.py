"""Keep the proofs of the primaries' log positions fresh for reads at replicas held by this VM."""

from datetime import timedelta

import gevent
from bramleyrill_core.placement import holder_candidates

from bramleyrill_entry._executor import Executor
from bramleyrill_entry._state import EntryState

PROOF_CHECK_INTERVAL = timedelta(milliseconds=150)
# A proof of at least this age is renewed.
REFRESH_AFTER_AGE = timedelta(milliseconds=350)


class ProofRefresher:
    """Renew the proofs of services that have a member held by this VM."""

    def __init__(self, state: EntryState, executor: Executor) -> None:
        self._state = state
        self._executor = executor
        self._refreshing: set[str] = set()

    def tick(self) -> None:
        """Start to renew the proofs that are too old; one request at a time per service."""
        state = self._state
        now = state.now()
        for row in state.members.members.rows():
            service = row.entry.service
            if service in self._refreshing or row.entry.domain != state.settings.domain:
                continue
            age = state.proofs.history_of(service).age(now)
            if age is not None and age < REFRESH_AFTER_AGE:
                continue
            if holder_candidates(state.vms, row.entry)[0] == state.vm:
                self._refreshing.add(service)
                gevent.spawn(self._refresh, service)

    def _refresh(self, service: str) -> None:
        try:
            primary = self._state.members.primary_of(service)
            if primary is None:
                return
            holder = holder_candidates(self._state.vms, primary.entry)[0]
            self._executor.prove(holder, service)
        finally:
            self._refreshing.discard(service)
