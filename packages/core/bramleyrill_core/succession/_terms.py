"""Pure functions over terms: their leaders, majorities, and the most advanced member."""

from collections.abc import Collection, Iterable, Mapping, Sequence

from attrs import frozen

from bramleyrill_core._rules import Rules
from bramleyrill_core._values import MemberRole, MemberStatus, TermStart


@frozen
class Span:
    """Plain names of the members that may lead the terms from `first_term` to the next span."""

    first_term: int
    members: tuple[str, ...]


Spans = tuple[Span, ...]


def span_index(spans: Spans, term: int) -> int:
    """Return the index of the span of `term`; terms before the first span belong to the first."""
    index = 0
    for candidate, span in enumerate(spans):
        if span.first_term <= term:
            index = candidate
    return index


def leader_of(spans: Spans, term: int) -> str:
    """Return the only member that may lead `term`."""
    span = spans[span_index(spans, term)]
    return span.members[(term - span.first_term) % len(span.members)]


def members_of(spans: Spans, term: int) -> tuple[str, ...]:
    """Return the members of which a majority is needed for `term`."""
    return spans[span_index(spans, term)].members


def is_majority(members: Sequence[str], names: Collection[str]) -> bool:
    """Return whether `names` contains more than half of `members`."""
    return 2 * sum(name in names for name in members) > len(members)


def last_term_of(status: MemberStatus) -> int:
    """Return the last term that started within the member's log."""
    return max(status.last_term, status.history[-1].term if status.history else 0)


def settled_term(statuses: Iterable[MemberStatus]) -> int:
    """Return the highest term that had a primary, as shown by the members' logs.

    Its fence had the majorities it needed, so members of an earlier span can no longer form a
    majority for a permit.
    """
    return max(map(last_term_of, statuses), default=0)


def has_majorities(
    spans: Spans, settled: int, term: int, names: Collection[str], rules: Rules
) -> bool:
    """Return whether `names` has a majority in every span from that of `settled` to `term`'s."""
    last = span_index(spans, term)
    first = min(span_index(spans, settled), last) if rules.on("both_lists") else last
    return all(is_majority(span.members, names) for span in spans[first : last + 1])


def has_diverged(status: MemberStatus, starts: Iterable[TermStart]) -> bool:
    """Return whether a member's log has entries that were given up when one of the terms began.

    They are those beyond the start of a term that the log does not have.
    """
    last_term = last_term_of(status)
    return any(start.term > last_term and status.position > start.start for start in starts)


def most_advanced(
    statuses: Mapping[str, MemberStatus], rules: Rules, starts: Collection[TermStart] = ()
) -> list[str]:
    """Return the members with the newest log, by the last term and then the last position.

    `starts` are the starts of terms that are known from any member's log. A member whose log went
    another way comes after all others: a member that was fenced into a newer term and received
    nothing of it has a shorter log, and no entries that were given up.

    The start of a term counts as an entry of it. Otherwise a primary that wrote nothing would lose
    to a member with more entries of the previous term, and entries that were reported to callers as
    lost would reappear.
    """
    by_term = rules.on("term_before_position")
    if by_term and rules.on("given_up_stays"):
        following = {
            name: status for name, status in statuses.items() if not has_diverged(status, starts)
        }
        statuses = following or statuses
    progress = {
        name: (last_term_of(status) if by_term else 0, status.position)
        for name, status in statuses.items()
    }
    best = max(progress.values(), default=None)
    return [name for name, reached in progress.items() if reached == best]


def choose_term(
    spans: Spans,
    highest_term: int,
    statuses: Mapping[str, MemberStatus],
    candidates: Collection[str],
    resume: bool,
) -> int | None:
    """Return the lowest term whose leader is among the candidates, or None.

    The chosen term is above `highest_term`, the highest seen. With `resume`, an unfinished fence
    of another supervisor at the highest term is continued instead: the term determines its
    leader, so both supervisors get the same result.
    """
    if resume and leader_of(spans, highest_term) in candidates:
        at_highest = [status for status in statuses.values() if status.term == highest_term]
        # A fenced member that knows a leader belongs to a finished change.
        is_fence_begun = any(s.role is MemberRole.FENCED and not s.leader for s in at_highest)
        if is_fence_begun and all(s.role is not MemberRole.PRIMARY for s in at_highest):
            return highest_term
    last_candidate = max(highest_term, spans[-1].first_term) + len(spans[-1].members)
    return next(
        (
            t
            for t in range(highest_term + 1, last_candidate + 1)
            if leader_of(spans, t) in candidates
        ),
        None,
    )


def next_span(spans: Spans, members: tuple[str, ...], highest_term: int) -> Span | None:
    """Return the span to append for a changed list of members, or None if it has not changed.

    Members are added or removed one at a time, so that the majorities of successive lists
    overlap. For a larger change this returns the first step.
    """
    if not spans:
        return Span(1, members)
    current = spans[-1].members
    added = [name for name in members if name not in current]
    removed = [name for name in current if name not in members]
    if added:
        next_members = (*current, added[0])
    elif removed:
        next_members = tuple(name for name in current if name != removed[0])
    else:
        return None
    return Span(max(highest_term, spans[-1].first_term) + 1, next_members)
