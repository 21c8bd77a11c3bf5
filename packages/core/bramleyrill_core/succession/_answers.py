"""Entry side: whether an answer of the primary may leave."""

from datetime import timedelta

from attrs import frozen
from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._values import Mark, TermStart
from bramleyrill_core._world import World
from bramleyrill_core.sessions import Session, record_primary_answer, session_token
from bramleyrill_core.succession._permit import entry_expiry


@frozen
class PrimaryAnswer:
    """What an entry VM knows of an answer of the primary.

    `request_sent` is this VM's monotonic time before the request left. `permit_age` and
    `permit_length` came with the answer; zero length is no permit.
    """

    request_sent: timedelta
    permit_age: timedelta
    permit_length: timedelta
    mark: Mark | None
    history: tuple[TermStart, ...]
    wrote: bool


def judge_answer(world: World, session: Session, answer: PrimaryAnswer) -> Result[str, Problem]:
    """Return the session's new token if the answer may leave now; call it just before that.

    A write whose permit is over is OUTCOME_UNKNOWN: it may be in the log of the next primary or
    not. A read needs no permit here: its holder had one when the request arrived, so what it
    read holds every entry acknowledged before. LOST_ENTRY is told to a read, once.
    """
    if answer.wrote and world.rules.on("answer_expiry"):
        expiry = entry_expiry(answer.request_sent, answer.permit_age, answer.permit_length)
        if not answer.permit_length or world.clock.monotonic() >= expiry:
            return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, "the permit of the primary is over"))
    noted = record_primary_answer(world, session, answer.mark, answer.history, answer.wrote)
    if isinstance(noted, Failure):
        return Failure(noted.failure())
    return Success(session_token(world, session) if answer.wrote else "")
