"""Conversion between requests and results and their frames."""

from datetime import timedelta
from typing import Any

from bramleyrill_core import Mark, Rank
from bramleyrill_core.statements import (
    Answer,
    AnswerCode,
    Prepared,
    Statement,
    StatementKind,
    TransactionState,
)
from bramleyrill_wire.entries import frames

from bramleyrill_entry._run_request import Opens, RunProblem, RunRequest, RunResult

_US = timedelta(microseconds=1)
_NOT_PREPARED, _PREPARED_READ, _PREPARED_WRITE = 0, 1, 2


def _bytes(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def _text(data: bytes | str | None) -> str:
    if isinstance(data, str):
        return data
    return (data or b"").decode("utf-8", "surrogateescape")


def _duration(us: int | None) -> timedelta:
    return timedelta(microseconds=us or 0)


def _mark(term: int | None, position: int | None) -> Mark | None:
    return None if term is None or position is None else Mark(term, position)


def encode_request(call: int, request: RunRequest) -> Any:
    """Return the Run frame of a request."""
    statement, prepared = request.statement, request.statement.prepared
    prepared_kind = _NOT_PREPARED
    if prepared is not None:
        prepared_kind = _PREPARED_WRITE if prepared.writes else _PREPARED_READ
    return frames.Run(
        call=call,
        exchange=request.transaction_id,
        service_name=request.service,
        member=request.member,
        kind=statement.kind.value,
        id=statement.id,
        text=_bytes(statement.text),
        name=statement.name,
        argument=_bytes(statement.argument),
        prepared=prepared_kind,
        shape=prepared.shape if prepared else "",
        opens=int(request.opens),
        fence=request.fence,
        mark_term=request.mark.term if request.mark else None,
        mark_position=request.mark.position if request.mark else None,
        max_staleness_us=request.max_staleness // _US,
        rank=int(request.rank),
        on_time_left_us=request.on_time_left // _US,
        patience_left_us=request.max_wait // _US,
        timeout_us=request.timeout // _US,
        values={name: _bytes(value) for name, value in request.values.items()},
    )


def decode_request(frame: Any) -> RunRequest:
    """Return the request of a Run frame; raise ValueError if it is malformed."""
    prepared = None
    if frame.prepared:
        prepared = Prepared(frame.prepared == _PREPARED_WRITE, frame.shape)
    statement = Statement(
        StatementKind(frame.kind),
        frame.id,
        _text(frame.text),
        frame.name,
        _text(frame.argument),
        prepared,
    )
    return RunRequest(
        statement=statement,
        service=frame.service_name,
        member=frame.member,
        rank=Rank(frame.rank),
        timeout=_duration(frame.timeout_us),
        on_time_left=_duration(frame.on_time_left_us),
        max_wait=_duration(frame.patience_left_us),
        transaction_id=frame.exchange,
        opens=Opens(frame.opens),
        fence=frame.fence,
        mark=_mark(frame.mark_term, frame.mark_position),
        max_staleness=_duration(frame.max_staleness_us),
        values={name: _text(value) for name, value in (frame.values or {}).items()},
    )


def encode_result(call: int, result: RunResult) -> Any:
    """Return the Ran frame of a result."""
    answer = result.answer or Answer(AnswerCode.OTHER)
    return frames.Ran(
        call=call,
        problem=int(result.problem or 0),
        code=answer.code.value,
        rows=[_bytes(row) for row in answer.rows],
        signature=_bytes(answer.signature),
        text=_bytes(answer.text),
        state=answer.state.value,
        mark_term=answer.mark.term if answer.mark else None,
        mark_position=answer.mark.position if answer.mark else None,
        waited_us=result.waited // _US,
        retry_after_us=result.retry_after // _US,
        exchange_open=result.transaction_open,
    )


def decode_result(frame: Any) -> RunResult:
    """Return the result of a Ran frame; raise ValueError if it is malformed."""
    problem = RunProblem(frame.problem) if frame.problem else None
    answer = None
    if problem is None:
        answer = Answer(
            code=AnswerCode(frame.code),
            rows=[_text(row) for row in frame.rows or ()],
            signature=_text(frame.signature),
            text=_text(frame.text),
            state=TransactionState(frame.state),
            mark=_mark(frame.mark_term, frame.mark_position),
        )
    return RunResult(
        answer,
        problem,
        _duration(frame.waited_us),
        _duration(frame.retry_after_us),
        frame.exchange_open,
    )
