"""Marks: which entry a session must see, and whether a log still has it."""

from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._values import Mark, MemberStatus, TermStart
from bramleyrill_core._world import World
from bramleyrill_core.sessions._tables import Session

_SUCCESS: Result[None, Problem] = Success(None)


def check_mark(mark: Mark, history: tuple[TermStart, ...]) -> Result[None, Problem]:
    """Return LOST_ENTRY if a later term of `history` started before the mark's position.

    A primary of term u keeps the entries up to start(u) and writes its own after it, so an
    entry of an earlier term is in the log exactly if every later start is at or after it.
    """
    for entry in history:
        if entry.term > mark.term and entry.start < mark.position:
            return Failure(
                Problem(
                    ErrorKind.LOST_ENTRY,
                    f"entry {mark.position} of term {mark.term} was not in the log of term "
                    f"{entry.term}, which started at {entry.start}",
                )
            )
    return _SUCCESS


def contains(status: MemberStatus, mark: Mark) -> bool:
    """Tell whether the member's log has the entry: term first, then position, then history."""
    if status.last_term < mark.term or status.position < mark.position:
        return False
    if status.last_term == mark.term:
        return True
    return all(e.term <= mark.term or e.start >= mark.position for e in status.history)


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
    if world.rules.on("lost_entry"):
        for known in (*session.unchecked, *((session.mark,) if session.mark else ())):
            if isinstance(check_mark(known, history), Failure):
                session.lost = known
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
