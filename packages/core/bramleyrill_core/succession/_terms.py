"""Who may lead a term, which members are a majority, and who is most advanced: pure functions."""

from collections.abc import Collection, Iterable, Mapping, Sequence

from attrs import frozen

from bramleyrill_core._rules import Rules
from bramleyrill_core._values import MemberRole, MemberStatus


@frozen
class Span:
    """Members that may lead the terms from `first_term` up to the next span, by plain name."""

    first_term: int
    members: tuple[str, ...]


Spans = tuple[Span, ...]


def span_index(spans: Spans, term: int) -> int:
    """Return the index of the span of `term`; terms before the first span belong to it."""
    index = 0
    for number, span in enumerate(spans):
        if span.first_term <= term:
            index = number
    return index


def leader_of(spans: Spans, term: int) -> str:
    """Return the only member that may lead `term`."""
    span = spans[span_index(spans, term)]
    return span.members[(term - span.first_term) % len(span.members)]


def members_of(spans: Spans, term: int) -> tuple[str, ...]:
    """Return the members whose majority decides about `term`."""
    return spans[span_index(spans, term)].members


def is_majority(members: Sequence[str], names: Collection[str]) -> bool:
    """Tell whether `names` contains more than half of `members`."""
    return 2 * sum(name in names for name in members) > len(members)


def last_term_of(status: MemberStatus) -> int:
    """Return the last term that started within the member's log."""
    return max(status.last_term, status.history[-1].term if status.history else 0)


def settled_term(statuses: Iterable[MemberStatus]) -> int:
    """Return the highest term that some log shows to have had a primary.

    Its fence had the majorities it needed, so no earlier span can give a permit any more.
    """
    return max(map(last_term_of, statuses), default=0)


def has_majorities(
    spans: Spans, settled: int, term: int, names: Collection[str], rules: Rules
) -> bool:
    """Tell whether `names` has a majority of every span from the settled term's to `term`'s."""
    last = span_index(spans, term)
    first = min(span_index(spans, settled), last) if rules.on("both_lists") else last
    return all(is_majority(span.members, names) for span in spans[first : last + 1])


def most_advanced(statuses: Mapping[str, MemberStatus], rules: Rules) -> list[str]:
    """Return the members with the newest log: by its last term, then by its last position.

    The start of a term counts like an entry of it. Otherwise a primary that wrote nothing would
    lose to a member with more entries of the term before, and entries that callers were told are
    lost would come back.
    """
    by_term = rules.on("term_before_position")
    progress = {
        name: (last_term_of(status) if by_term else 0, status.position)
        for name, status in statuses.items()
    }
    best = max(progress.values(), default=None)
    return [name for name, reached in progress.items() if reached == best]


def choose_term(
    spans: Spans,
    above: int,
    statuses: Mapping[str, MemberStatus],
    candidates: Collection[str],
    resume: bool,
) -> int | None:
    """Return the lowest term whose leader is among the candidates, or None.

    `above` is the highest term seen; the chosen one is higher. With `resume`, a fence at the
    highest term that another supervisor began and did not finish is continued instead: its
    leader is fixed by the term, so both come to the same end.
    """
    if resume and leader_of(spans, above) in candidates:
        at_it = [status for status in statuses.values() if status.term == above]
        begun = any(s.role is MemberRole.FENCED and not s.leader for s in at_it)
        if begun and all(s.role is not MemberRole.PRIMARY for s in at_it):
            return above
    top = max(above, spans[-1].first_term) + len(spans[-1].members)
    return next((t for t in range(above + 1, top + 1) if leader_of(spans, t) in candidates), None)


def next_span(spans: Spans, members: tuple[str, ...], highest_term: int) -> Span | None:
    """Return the span to append for a changed member list, or None if there is nothing to do.

    One member is added or removed at a time, so that the majorities of neighbouring lists
    overlap; of a larger change this returns the first step.
    """
    if not spans:
        return Span(1, members)
    current = spans[-1].members
    added = [name for name in members if name not in current]
    removed = [name for name in current if name not in members]
    if added:
        wanted = (*current, added[0])
    elif removed:
        wanted = tuple(name for name in current if name != removed[0])
    else:
        return None
    return Span(max(highest_term, spans[-1].first_term) + 1, wanted)
