"""Encoding of requests and outcomes as peer frames."""

from datetime import timedelta
from typing import Any

from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import DatabaseId, Mark, MemberId, Rank, StatementClass, TermStart, VmId
from bramleyrill_core.routing import Route
from bramleyrill_wire.peers import frames

from bramleyrill_daemon._transaction import Outcome, Request

# Flags of Execute and Data; the statement class is in the bits above them.
MAY_COMMIT = 1
MORE = 2
ALTERS_SESSION = 4
AT_PRIMARY = 8
_KIND_SHIFT = 8
_KINDS = tuple(StatementClass)
_KIND_BITS = {kind: number << _KIND_SHIFT for number, kind in enumerate(_KINDS)}

# Flow control window: credit in bytes that each direction of a stream starts with. The receiver
# grants more once it has consumed half a window. The holder sends a chunk while it has any credit
# left, so it may exceed the window by one chunk.
WINDOW_BYTES = 256 * 1024

_MICROSECOND = timedelta(microseconds=1)


def to_us(duration: timedelta) -> int:
    """Return a duration in whole microseconds, rounded down."""
    return duration // _MICROSECOND


def request_flags(may_commit: bool, more: bool) -> int:
    """Return the flags of one piece of a request."""
    return (MAY_COMMIT if may_commit else 0) | (MORE if more else 0)


def execute_frame(
    stream: int, route: Route, request: Request, deadline_left: timedelta, flags: int, data: bytes
) -> Any:
    """Return the frame that opens a stream."""
    flags |= _KIND_BITS[request.kind]
    if request.alters_session:
        flags |= ALTERS_SESSION
    if route.at_primary:
        flags |= AT_PRIMARY
    return frames.Execute(
        stream=stream,
        request=1,
        fleet=request.fleet,
        database=request.database,
        member=route.member,
        rank=int(request.rank),
        age_us=to_us(route.age),
        floor_term=route.required_mark.term,
        floor_position=route.required_mark.position,
        deadline_us=to_us(deadline_left),
        repeatable=request.repeatable,
        flags=flags,
        frames=data,
    )


def read_execute(frame: Any, vm: str) -> tuple[Route, Request]:
    """Return route and request of an Execute frame; raise ValueError if it is invalid."""
    if not frame.database or not frame.member or frame.flags is None:
        raise ValueError("execute frame lacks a field")
    parts = frame.database.split("/")
    if len(parts) != 3 or not 0 <= frame.flags >> _KIND_SHIFT < len(_KINDS):
        raise ValueError("execute frame names no database or class")
    route = Route(
        MemberId(frame.member),
        VmId(vm),
        bool(frame.flags & AT_PRIMARY),
        Mark(frame.floor_term or 0, frame.floor_position or 0),
        timedelta(microseconds=frame.age_us or 0),
    )
    request = Request(
        id=frame.stream,
        fleet=frame.fleet,
        service=parts[1],
        database=DatabaseId(frame.database),
        rank=Rank(frame.rank),
        kind=_KINDS[frame.flags >> _KIND_SHIFT],
        deadline_left=timedelta(microseconds=frame.deadline_us or 0),
        repeatable=bool(frame.repeatable),
        may_commit=bool(frame.flags & MAY_COMMIT),
        alters_session=bool(frame.flags & ALTERS_SESSION),
    )
    return route, request


def result_frame(stream: int, request: int, outcome: Outcome) -> Any:
    """Return the frame that ends a request."""
    problem = outcome.problem
    result = frames.Result(
        stream=stream,
        request=request,
        tail=outcome.tail,
        tx_status=outcome.tx_status.decode(),
        flags=AT_PRIMARY if outcome.at_primary else 0,
    )
    if outcome.mark is not None:
        result.term = outcome.mark.term
        result.position = outcome.mark.position
        result.permit_age_us = to_us(outcome.permit_age)
        result.permit_length_us = to_us(outcome.permit_length)
        result.history = [frames.TermStart(entry.term, entry.start) for entry in outcome.history]
    if problem is not None:
        result.problem = problem.kind.name
        result.detail = problem.detail
        if problem.retry_after is not None:
            result.retry_after_us = to_us(problem.retry_after)
    if outcome.redirect:
        result.redirect = outcome.redirect
        result.redirect_member = outcome.redirect_member
    return result


def read_result(result: Any) -> Outcome:
    """Return the outcome in a Result frame."""
    problem = None
    if result.problem:
        try:
            kind = ErrorKind[result.problem]
        except KeyError:
            # A newer peer may send an unknown kind; whether the request ran is then unknown, too.
            kind = ErrorKind.OUTCOME_UNKNOWN
        retry_us = result.retry_after_us
        retry_after = None if retry_us is None else timedelta(microseconds=retry_us)
        problem = Problem(kind, result.detail or "", retry_after)
    mark = None
    if result.term is not None and result.position is not None:
        mark = Mark(result.term, result.position)
    return Outcome(
        problem=problem,
        tail=result.tail or b"",
        tx_status=(result.tx_status or "I").encode(),
        mark=mark,
        history=tuple(TermStart(entry.term, entry.start) for entry in result.history or ()),
        at_primary=bool((result.flags or 0) & AT_PRIMARY),
        permit_age=timedelta(microseconds=result.permit_age_us or 0),
        permit_length=timedelta(microseconds=result.permit_length_us or 0),
        redirect=VmId(result.redirect) if result.redirect else None,
        redirect_member=MemberId(result.redirect_member) if result.redirect_member else None,
    )
