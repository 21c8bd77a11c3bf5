"""Marks: which entry a session must see, and whether a log still has it."""

from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._values import Mark, MemberStatus, TermStart
from bramleyrill_core._world import World
from bramleyrill_core.sessions._tables import Session

_SUCCESS: Result[None, Problem] = Success(None)


def term_at(history: tuple[TermStart, ...], position: int) -> int | None:
    """Return the term of the entry at `position`, by a log's history; None if it tells nothing."""
    found = None
    for entry in history:
        if entry.start < position:
            found = entry.term
    return found


def check_mark(mark: Mark, history: tuple[TermStart, ...]) -> Result[None, Problem]:
    """Return LOST_ENTRY if the entry is not in the log that `history` describes.

    The entry at the mark's position must be of the mark's term. It is not enough that no later
    term started before the position: a log that never had the mark's term may hold another entry
    there. TOO_STALE if the log ends before the mark's term, which a primary in office never does.
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


def contains(status: MemberStatus, mark: Mark) -> bool:
    """Tell whether the member's log has the entry: right term at the position, and that far."""
    if mark.position == 0:
        return True
    if status.position < mark.position:
        return False
    found = term_at(status.history, mark.position)
    return (status.last_term if found is None else found) == mark.term


def note_answer(
    world: World,
    session: Session,
    mark: Mark | None,
    history: tuple[TermStart, ...],
    wrote: bool,
) -> Result[None, Problem]:
    """Take over the mark of an answer of the primary and check the earlier marks against it.

    Call it for each write and each read that the primary answered under a valid permit. `mark`
    is that of the status taken behind the statement; None leaves the session's mark as it is.
    Return LOST_ENTRY for a read after a loss, once; after a write the loss is kept for the next
    read, since a write that took effect is not reported as failed.
    """
    known = (*session.unchecked, *((session.mark,) if session.mark else ()))
    for earlier in known if world.rules.on("lost_entry") else ():
        checked = check_mark(earlier, history)
        if isinstance(checked, Failure):
            if checked.failure().kind is not ErrorKind.LOST_ENTRY:
                return _SUCCESS if wrote else checked
            session.lost = earlier
    session.unchecked = ()
    if session.lost is not None:
        session.mark = mark if wrote else None
        return _SUCCESS if wrote else take_lost(session)
    if mark is not None:
        session.mark = mark
    return _SUCCESS


def take_lost(session: Session) -> Result[None, Problem]:
    """Return LOST_ENTRY if a loss is waiting to be told, and forget it."""
    lost, session.lost = session.lost, None
    if lost is None:
        return _SUCCESS
    return Failure(
        Problem(
            ErrorKind.LOST_ENTRY,
            f"entry {lost.position} of term {lost.term} was lost in a change of primary",
        )
    )
