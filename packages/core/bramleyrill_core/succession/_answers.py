"""Check at the entry VM whether an answer of the primary may be sent to the caller."""

from datetime import timedelta

from attrs import frozen
from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._values import Mark, TermStart
from bramleyrill_core._world import World
from bramleyrill_core.permits import entry_expiry
from bramleyrill_core.sessions import Session, record_primary_answer, session_token


@frozen
class PrimaryAnswer:
    """An answer of the primary, with what the entry VM needs to check it.

    `request_sent` is this VM's monotonic time just before it sent the request. `permit_age` and
    `permit_length` came with the answer; a length of zero means that there was no permit.
    """

    request_sent: timedelta
    permit_age: timedelta
    permit_length: timedelta
    mark: Mark | None
    history: tuple[TermStart, ...]
    wrote: bool


def check_answer(world: World, session: Session, answer: PrimaryAnswer) -> Result[str, Problem]:
    """Return the session's new token if the answer may be sent now; call it just before sending.

    A write whose permit has expired fails with OUTCOME_UNKNOWN: the log of the next primary may
    or may not contain it. A read needs no permit here: the holder had one when the request
    arrived, so the read saw every entry acknowledged before. A read reports LOST_ENTRY once.
    """
    if answer.wrote and world.rules.on("answer_expiry"):
        expiry = entry_expiry(answer.request_sent, answer.permit_age, answer.permit_length)
        if not answer.permit_length or world.clock.monotonic() >= expiry:
            return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, "the permit of the primary is over"))
    recorded = record_primary_answer(world, session, answer.mark, answer.history, answer.wrote)
    if isinstance(recorded, Failure):
        return Failure(recorded.failure())
    return Success(session_token(world, session) if answer.wrote else "")
