"""Proofs of a primary's log position, and the position a read of a stated age needs."""

from collections import deque
from datetime import timedelta

from attrs import frozen

from bramleyrill_core._values import Mark

# The read leaves for the member after the position was chosen.
STALENESS_MARGIN = timedelta(milliseconds=60)
# The largest staleness that a configuration is expected to allow, with room.
KEPT = timedelta(seconds=6)
# Proofs closer together than this tell no more than one of them.
SPACING = timedelta(milliseconds=20)


@frozen
class Proof:
    """A log position that holds every commit acknowledged before `proved_at`.

    `proved_at` is a time of this VM's clock at or before the request was sent whose answer
    proved that its member was the primary.
    """

    mark: Mark
    proved_at: timedelta


class ProofHistory:
    """Proofs of one service, oldest first."""

    def __init__(self) -> None:
        self._proofs: deque[Proof] = deque()
        self.newest: Proof | None = None

    def note(self, mark: Mark, proved_at: timedelta) -> None:
        """Add a proof; one that is older than the newest, or of an earlier log, tells nothing."""
        newest = self.newest
        if newest is not None and (proved_at <= newest.proved_at or mark < newest.mark):
            return
        self.newest = Proof(mark, proved_at)
        if not self._proofs or proved_at - self._proofs[-1].proved_at >= SPACING:
            self._proofs.append(self.newest)
        while self._proofs[0].proved_at < proved_at - KEPT:
            self._proofs.popleft()

    def floor(self, now: timedelta, max_staleness: timedelta) -> Mark | None:
        """Return the lowest position that a read of `max_staleness` may rest on, or None.

        The oldest proof that is young enough is taken: it asks least of a lagging replica.
        """
        oldest = now - max_staleness + STALENESS_MARGIN
        for proof in self._proofs:
            if proof.proved_at >= oldest:
                return proof.mark
        if self.newest is not None and self.newest.proved_at >= oldest:
            return self.newest.mark
        return None

    def age(self, now: timedelta) -> timedelta | None:
        """Return the age of the newest proof, or None without one."""
        return None if self.newest is None else now - self.newest.proved_at


class ProofTable:
    """Proof histories by service."""

    def __init__(self) -> None:
        self.by_service: dict[str, ProofHistory] = {}

    def of(self, service: str) -> ProofHistory:
        """Return the history of a service, made on first use."""
        found = self.by_service.get(service)
        if found is None:
            found = self.by_service[service] = ProofHistory()
        return found

    def note_remote(self, service: str, mark: Mark, asked_at: timedelta, age: timedelta) -> None:
        """Add a proof of another VM, which was `age` old when that VM answered.

        The answer was made after `asked_at`, so the proof is no older than that plus its age;
        the time the answer spent on the network does not count.
        """
        self.of(service).note(mark, asked_at - age)
