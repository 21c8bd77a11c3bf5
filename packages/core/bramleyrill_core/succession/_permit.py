"""Permits: until when writes of a term may be acknowledged."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from attrs import frozen

from bramleyrill_core._rules import Rules
from bramleyrill_core._values import MemberRole, MemberStatus

# Texts reach VMs at different times, so a supervisor cannot know which permit length the holder
# uses. Both therefore rely on this bound: no holder uses a longer permit, no wait is shorter.
LONGEST_PERMIT = timedelta(seconds=1)
# Clocks of two VMs drift apart by at most this share.
DRIFT = 0.001
# Covers the time between the check of a permit and the answer on the wire.
EXPIRY_MARGIN = timedelta(milliseconds=5)
WAIT_MARGIN = timedelta(milliseconds=10)

Answer = tuple[timedelta, MemberStatus]


@frozen
class Permit:
    """The right to acknowledge writes of `term` until `probe_sent + length`, on this VM's clock."""

    term: int
    probe_sent: timedelta
    length: timedelta


def permit_start(
    members: Sequence[str], primary: str, answers: Mapping[str, Answer], rules: Rules
) -> timedelta | None:
    """Return the latest time since which a majority has been at exactly the primary's term.

    `answers` maps each member to the time its last answered probe was sent and the status. The
    primary must itself have answered as primary. None if there is no majority.
    """
    own = answers.get(primary)
    if own is None or (own[1].role is not MemberRole.PRIMARY and rules.on("primary_answer")):
        return None
    term = own[1].term
    exact = rules.on("exact_term")
    others = sorted(
        (
            sent
            for name, (sent, status) in answers.items()
            if name != primary and name in members and (status.term == term or not exact)
        ),
        reverse=True,
    )
    needed = len(members) // 2
    if primary not in members or len(others) < needed:
        return None
    return min([own[0], *others[:needed]])


def entry_expiry(request_sent: timedelta, permit_age: timedelta, length: timedelta) -> timedelta:
    """Return the time on the entry VM's clock from which an answer may not be acknowledged.

    `permit_age` is the holder's time of receipt of the request minus that of the probe; it is
    negative when the probe was sent while the request ran. Drift is taken off the whole time
    that the two clocks ran side by side, so that a long statement stays within the bound.
    """
    measured = max(length, length - permit_age)
    return request_sent - permit_age + length - DRIFT * measured - EXPIRY_MARGIN


def wait_after_fence(rules: Rules, longest: timedelta = LONGEST_PERMIT) -> timedelta:
    """Return how long to wait after the fence's majority until every earlier permit is over."""
    if not rules.on("permit_wait"):
        return timedelta()
    return longest * (1 + DRIFT) + WAIT_MARGIN
