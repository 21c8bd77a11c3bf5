"""Permits: leases that limit how long writes of a term may be acknowledged."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from attrs import frozen

from bramleyrill_core._rules import Rules
from bramleyrill_core._values import MemberRole, MemberStatus

# A new text reaches the VMs at different times, so a supervisor cannot know the permit length that
# a holder uses. Both rely on this bound: no permit is longer and no wait after a fence is shorter.
LONGEST_PERMIT = timedelta(seconds=1)
# The clocks of two VMs drift apart by at most this fraction of the elapsed time.
MAX_DRIFT = 0.001
# Covers the time between the check of a permit and the answer on the wire.
EXPIRY_MARGIN = timedelta(milliseconds=5)
WAIT_MARGIN = timedelta(milliseconds=10)

TimedStatus = tuple[timedelta, MemberStatus]


@frozen
class Permit:
    """A lease for acknowledging writes of `term` until `probe_sent + length` on this VM's clock."""

    term: int
    probe_sent: timedelta
    length: timedelta


def permit_start(
    members: Sequence[str], primary: str, answers: Mapping[str, TimedStatus], rules: Rules
) -> timedelta | None:
    """Return the latest time at which a majority is known to have been at the primary's term.

    This is where the permit starts. A member counts only if it was at exactly that term, since one
    at a higher term has been fenced for another primary. `answers` maps each member to the status
    of its last answered probe and the time that probe was sent. The primary itself must have
    answered as primary. Return None if there is no majority.
    """
    own = answers.get(primary)
    if own is None or (own[1].role is not MemberRole.PRIMARY and rules.on("primary_answer")):
        return None
    term = own[1].term
    needs_exact_term = rules.on("exact_term")
    sent_times = sorted(
        (
            sent
            for name, (sent, status) in answers.items()
            if name != primary and name in members and (status.term == term or not needs_exact_term)
        ),
        reverse=True,
    )
    needed = len(members) // 2
    if primary not in members or len(sent_times) < needed:
        return None
    return min([own[0], *sent_times[:needed]])


def entry_expiry(request_sent: timedelta, permit_age: timedelta, length: timedelta) -> timedelta:
    """Return the time on the entry VM's clock from which an answer may not be acknowledged.

    `permit_age` is, on the holder's clock, the time at which the request arrived minus the time
    at which the probe was sent; it is negative if the probe was sent while the request ran. The
    drift of the two clocks is subtracted for the whole time they are compared, so that the
    bound also holds for a long statement.
    """
    elapsed = max(length, length - permit_age)
    return request_sent - permit_age + length - MAX_DRIFT * elapsed - EXPIRY_MARGIN


def wait_after_fence(rules: Rules, longest: timedelta = LONGEST_PERMIT) -> timedelta:
    """Return how long after the fence's majority every permit of an earlier term has expired."""
    if not rules.on("permit_wait"):
        return timedelta()
    return longest * (1 + MAX_DRIFT) + WAIT_MARGIN
