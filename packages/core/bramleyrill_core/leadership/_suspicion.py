"""Decision on when a primary is considered failed."""

from datetime import timedelta
from enum import Enum, auto

from attrs import frozen

# A primary from which no VM has had an answer for this long is replaced.
SUSPECT_AFTER = timedelta(seconds=1.2)
# A primary whose host refuses connections has ended, so it is replaced sooner; if it restarted, it
# would not stay primary anyway.
REFUSED_AFTER = timedelta(seconds=0.5)


class Verdict(Enum):
    """What to do about a primary: nothing, check it further, or replace it."""

    FINE = auto()
    CHECK = auto()
    REPLACE = auto()


@frozen
class Evidence:
    """What this VM knows about the health of a primary.

    `silent_for` is the age of the newest proof of life that any VM reported, or how long the
    member has been primary without one. `checked` is True if this VM tried to reach the member
    without success and asked the other VMs, `refused` if the member's host refused the connection.
    """

    silent_for: timedelta
    checked: bool = False
    refused: bool = False


def assess_primary(evidence: Evidence) -> Verdict:
    """Return what to do, given the evidence; a primary is checked after REFUSED_AFTER of silence.

    A replacement loses the entries that no replica has. A primary is therefore not replaced
    just because it does not answer this VM: none of the VMs that were asked may have had an
    answer within that time.
    """
    limit = REFUSED_AFTER if evidence.refused else SUSPECT_AFTER
    if not evidence.checked:
        return Verdict.CHECK if evidence.silent_for >= REFUSED_AFTER else Verdict.FINE
    return Verdict.REPLACE if evidence.silent_for >= limit else Verdict.CHECK
