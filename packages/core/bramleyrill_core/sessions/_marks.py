"""Marks: the log entry that a session must see, and checks that a log still contains it."""

from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._values import Mark, MemberStatus, TermStart
from bramleyrill_core._world import World
from bramleyrill_core.sessions._tables import Session

_SUCCESS: Result[None, Problem] = Success(None)


def term_at(history: tuple[TermStart, ...], position: int) -> int | None:
    """Return the term of the entry at `position`, or None if the history does not cover it."""
    term = None
    for entry in history:
        if entry.start < position:
            term = entry.term
    return term


def check_mark(mark: Mark, history: tuple[TermStart, ...]) -> Result[None, Problem]:
    """Check that the log described by `history` contains the marked entry.

    The entry at the mark's position must have the mark's term. It is not enough that no later term
    started before the position: a log that never had the mark's term may have a different entry
    there. Return LOST_ENTRY if the entry is missing, and TOO_STALE if the log ends before the
    mark's term, which the log of the current primary never does.
    """
    if mark.position == 0 or not history or term_at(history, mark.position) == mark.term:
        return _SUCCESS
    if mark.term > history[-1].term:
        return Failure(
            Problem(ErrorKind.TOO_STALE, f"the log ends before term {mark.term} of the session")
        )
    return Failure(
        Problem(
            ErrorKind.LOST_ENTRY,
            f"entry {mark.position} of term {mark.term} is not in the log of the primary",
        )
    )


def log_contains(status: MemberStatus, mark: Mark) -> bool:
    """Return whether the member's log reaches the mark and has its term at that position."""
    if mark.position == 0:
        return True
    if status.position < mark.position:
        return False
    term = term_at(status.history, mark.position)
    return (status.last_term if term is None else term) == mark.term


def record_primary_answer(
    world: World,
    session: Session,
    mark: Mark | None,
    history: tuple[TermStart, ...],
    wrote: bool,
) -> Result[None, Problem]:
    """Record the mark of an answer of the primary, and check the session's earlier marks.

    Call it for each write and each read that the primary answered under a valid permit. `mark` is
    that of the status read after the statement; None leaves the session's mark unchanged. If an
    entry was lost, a read returns LOST_ENTRY once. After a write the loss is kept for the next
    read, because a write that took effect must not be reported as failed. If the history ends
    before the term of an earlier mark, the session's marks stay, and a read returns TOO_STALE.
    """
    marks = (*session.unconfirmed_marks, *((session.mark,) if session.mark else ()))
    for earlier in marks if world.rules.on("lost_entry") else ():
        checked = check_mark(earlier, history)
        if isinstance(checked, Failure):
            if checked.failure().kind is not ErrorKind.LOST_ENTRY:
                return _SUCCESS if wrote else checked
            session.lost_mark = earlier
    session.unconfirmed_marks = ()
    if session.lost_mark is not None:
        session.mark = mark if wrote else None
        return _SUCCESS if wrote else pop_lost_entry(session)
    if mark is not None:
        session.mark = mark
    return _SUCCESS


def pop_lost_entry(session: Session) -> Result[None, Problem]:
    """Return LOST_ENTRY if the session has an unreported lost entry, and clear it."""
    lost_mark, session.lost_mark = session.lost_mark, None
    if lost_mark is None:
        return _SUCCESS
    return Failure(
        Problem(
            ErrorKind.LOST_ENTRY,
            f"entry {lost_mark.position} of term {lost_mark.term} was lost in a change of primary",
        )
    )
