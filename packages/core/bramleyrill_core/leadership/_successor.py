"""Choice of the member that becomes the next primary."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import field, frozen

from bramleyrill_core._values import Mark
from bramleyrill_core.catalog import LostReplica
from bramleyrill_core.freshness import ProofHistory
from bramleyrill_core.leadership._lead_starts import LeadStart, has_diverged

# How long a service waits for a member that follows the present log, if only logs that went another
# way are left. A member that crashed is usually back by then.
DIVERGED_LOG_WAIT = timedelta(seconds=10)


@frozen
class Candidate:
    """A member with the mark of its last log entry; `ready` is False if it takes no new work."""

    member: str
    mark: Mark
    ready: bool


@frozen
class Poll:
    """What the replicas of a service answered when they were asked for their marks.

    `unheard` are the replicas that did not answer, and those that are gone with commits that the
    candidates may not have. The primary acknowledges a commit once `sync_replicas` replicas have
    it; with 0 it waits for none, and a change of primary may lose commits. `starts` tells where the
    present term and those before it began, as far as that is known.
    """

    candidates: list[Candidate] = field(factory=list)
    unheard: list[str] = field(factory=list)
    sync_replicas: int = 0
    starts: tuple[LeadStart, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Return whether the candidates together have every acknowledged commit that must last.

        Each of those commits is at `sync_replicas` replicas, so fewer unheard ones cannot hide it.
        """
        return not self.sync_replicas or len(self.unheard) < self.sync_replicas

    @property
    def following(self) -> list[Candidate]:
        """Return the candidates whose logs have no entries that were given up."""
        return [item for item in self.candidates if not has_diverged(item.mark, self.starts)]

    @property
    def has_only_diverged(self) -> bool:
        """Return whether there are candidates, and all of their logs went another way."""
        return bool(self.candidates) and not self.following


def uncovered_losses(
    lost: Iterable[LostReplica], candidates: list[Candidate], proofs: ProofHistory
) -> list[LostReplica]:
    """Return the lost replicas that may have commits that no candidate has.

    One that is not known to be quiet may live, and confirm further commits. A position that the
    primary was proved to have since it is quiet includes every commit that was acknowledged before.
    Once a candidate has that position, the loss hides nothing any more.
    """
    newest = max((candidate.mark for candidate in candidates), default=None)
    return [replica for replica in lost if not _is_covered(replica, newest, proofs)]


def _is_covered(replica: LostReplica, newest: Mark | None, proofs: ProofHistory) -> bool:
    if newest is None or replica.quiet_since is None:
        return False
    proof = proofs.first_since(replica.quiet_since)
    return proof is not None and proof.mark <= newest


def choose_successor(candidates: list[Candidate], at_least: Mark | None = None) -> str | None:
    """Return the most advanced member that is ready, or None; the term counts before the position.

    With `at_least` only members that have this entry qualify, so that a planned change loses no
    entries.
    """
    eligible = [
        candidate
        for candidate in candidates
        if candidate.ready and (at_least is None or candidate.mark >= at_least)
    ]
    return _most_advanced(eligible)


def choose_from(poll: Poll, waited: timedelta = timedelta()) -> str | None:
    """Return the member to appoint after a failure, or None if none is known to be safe.

    Without synchronous replicas a log that went another way is not preferred to a shorter one. If
    no other has been left for DIVERGED_LOG_WAIT, which `waited` is compared with, the one that went
    the least far is taken.

    With synchronous replicas it must have the newest entry that any replica has. One that takes no
    new work is appointed if no other has that entry, and replaced once another one has caught up.

    Example:

        behind = Candidate("b", Mark(3, 7), True)
        assert choose_from(Poll([behind], unheard=["c"], sync_replicas=1)) is None
    """
    if not poll.sync_replicas:
        return _choose_without_copies(poll, waited)
    if not poll.is_complete or not poll.candidates:
        return None
    newest = max(candidate.mark for candidate in poll.candidates)
    return choose_successor(poll.candidates, newest) or _most_advanced(poll.candidates)


def _choose_without_copies(poll: Poll, waited: timedelta) -> str | None:
    if not poll.has_only_diverged:
        return choose_successor(poll.following)
    if waited < DIVERGED_LOG_WAIT:
        return None
    ready = [candidate for candidate in poll.candidates if candidate.ready]
    if not ready:
        return None
    return min(ready, key=lambda candidate: (candidate.mark, candidate.member)).member


def _most_advanced(candidates: list[Candidate]) -> str | None:
    if not candidates:
        return None
    return max(candidates, key=lambda candidate: (candidate.mark, candidate.member)).member
