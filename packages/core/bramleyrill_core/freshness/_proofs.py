"""Proofs of a primary's log position, and the position that a read of bounded staleness needs."""

from collections import deque
from datetime import timedelta

from attrs import frozen

from bramleyrill_core._values import Mark

# Covers the time between choosing the position and sending the read to the member.
STALENESS_MARGIN = timedelta(milliseconds=60)
# Longer than the largest staleness that a configuration is expected to allow.
HISTORY_LENGTH = timedelta(seconds=6)
# Bounds the number of stored proofs; a closer one adds nearly no information.
MIN_PROOF_SPACING = timedelta(milliseconds=20)


@frozen
class Proof:
    """A log position that includes every commit acknowledged before `proved_at`.

    `member` was the primary that gave it. `proved_at` is a time on this VM's clock, no later than
    the sending of the request whose answer proved that.
    """

    mark: Mark
    proved_at: timedelta
    member: str = ""


class ProofHistory:
    """Recent proofs of one service, oldest first."""

    def __init__(self) -> None:
        self._proofs: deque[Proof] = deque()
        self.newest: Proof | None = None

    def record(self, mark: Mark, proved_at: timedelta, member: str = "") -> None:
        """Add a proof; ignore it if it is no newer than the newest one or its mark is lower."""
        newest = self.newest
        if newest is not None and (proved_at <= newest.proved_at or mark < newest.mark):
            return
        self.newest = Proof(mark, proved_at, member)
        if not self._proofs or proved_at - self._proofs[-1].proved_at >= MIN_PROOF_SPACING:
            self._proofs.append(self.newest)
        while self._proofs[0].proved_at < proved_at - HISTORY_LENGTH:
            self._proofs.popleft()

    def required_mark(self, now: timedelta, max_staleness: timedelta) -> Mark | None:
        """Return the lowest mark that satisfies a read of `max_staleness`, or None without one.

        It is the mark of the oldest proof that is recent enough, which a lagging replica reaches
        first.
        """
        oldest_allowed = now - max_staleness + STALENESS_MARGIN
        for proof in self._proofs:
            if proof.proved_at >= oldest_allowed:
                return proof.mark
        if self.newest is not None and self.newest.proved_at >= oldest_allowed:
            return self.newest.mark
        return None

    def first_since(self, time: timedelta) -> Proof | None:
        """Return the first proof that is kept of those at or after `time`, or None."""
        for proof in self._proofs:
            if proof.proved_at >= time:
                return proof
        if self.newest is not None and self.newest.proved_at >= time:
            return self.newest
        return None

    def age(self, now: timedelta) -> timedelta | None:
        """Return the age of the newest proof, or None if there is no proof."""
        return None if self.newest is None else now - self.newest.proved_at


class ProofTable:
    """Proof histories by service."""

    def __init__(self) -> None:
        self.by_service: dict[str, ProofHistory] = {}

    def history_of(self, service: str) -> ProofHistory:
        """Return the history of a service, which is created on first use."""
        history = self.by_service.get(service)
        if history is None:
            history = self.by_service[service] = ProofHistory()
        return history

    def record_remote(self, service: str, mark: Mark, asked_at: timedelta, age: timedelta) -> None:
        """Add a proof that another VM reported to be `age` old.

        This VM asked at `asked_at` on its own clock. The other VM answered later, so the proof is
        no older than if it had had this age at `asked_at`; the network delay does not matter.
        """
        self.history_of(service).record(mark, asked_at - age)
