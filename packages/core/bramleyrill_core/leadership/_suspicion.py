"""When a primary is taken for dead."""

from datetime import timedelta
from enum import Enum, auto

from attrs import frozen

# A primary that answers nobody for this long is replaced.
SUSPECT_AFTER = timedelta(seconds=1.2)
# One whose machine refuses connections has ended; a restart would lose its place anyway.
REFUSED_AFTER = timedelta(seconds=0.5)


class Verdict(Enum):
    """What to do about a primary: nothing, look closer, or replace it."""

    FINE = auto()
    CHECK = auto()
    REPLACE = auto()


@frozen
class Evidence:
    """What this VM knows of a primary.

    `silent_for` is the age of the newest proof that any VM asked reported, or how long the member
    has been the primary without one. `checked` tells that this VM tried the member itself without
    success and asked the other VMs; `refused` that the member's machine refused the connection.
    """

    silent_for: timedelta
    checked: bool = False
    refused: bool = False


def judge_primary(evidence: Evidence) -> Verdict:
    """Return what the evidence calls for.

    No primary is replaced on silence towards this VM alone: what it has and its replicas do not
    is lost, so every VM that was asked must have been without an answer as long.
    """
    limit = REFUSED_AFTER if evidence.refused else SUSPECT_AFTER
    if not evidence.checked:
        return Verdict.CHECK if evidence.silent_for >= REFUSED_AFTER else Verdict.FINE
    return Verdict.REPLACE if evidence.silent_for >= limit else Verdict.CHECK
