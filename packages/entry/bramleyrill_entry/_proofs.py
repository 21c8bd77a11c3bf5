"""Keep young proofs of the primaries' log positions where replicas are read through this VM."""

from datetime import timedelta

import gevent
from bramleyrill_core.placement import holder_candidates

from bramleyrill_entry._executor import Executor
from bramleyrill_entry._state import EntryState

PROOF_INTERVAL = timedelta(milliseconds=150)
# Proofs are asked for when the newest is this old.
PROOF_AGE = timedelta(milliseconds=350)


class ProofKeeper:
    """Ask the primaries' holders for proofs, for services with a member held here."""

    def __init__(self, state: EntryState, executor: Executor) -> None:
        self._state = state
        self._executor = executor
        self._asking: set[str] = set()

    def tick(self) -> None:
        """Ask for the proofs that have become old."""
        state = self._state
        now = state.now()
        for row in state.members.members.rows():
            service = row.entry.service
            if service in self._asking or row.entry.domain != state.settings.domain:
                continue
            age = state.proofs.history_of(service).age(now)
            if age is not None and age < PROOF_AGE:
                continue
            if holder_candidates(state.vms, row.entry)[0] == state.vm:
                self._asking.add(service)
                gevent.spawn(self._ask, service)

    def _ask(self, service: str) -> None:
        try:
            primary = self._state.members.primary_of(service)
            if primary is None:
                return
            holder = holder_candidates(self._state.vms, primary.entry)[0]
            self._executor.prove(holder, service)
        finally:
            self._asking.discard(service)
