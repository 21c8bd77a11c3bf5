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

_MICROSECOND = timedelta(microseconds=1)
_NOT_PREPARED, _PREPARED_READ, _PREPARED_WRITE = 0, 1, 2


def _encode_text(text: str) -> bytes:
    """Return the bytes that the caller or the member sent, which need not be UTF-8."""
    return text.encode("utf-8", "surrogateescape")


def _decode_text(data: bytes | str | None) -> str:
    if isinstance(data, str):
        return data
    return (data or b"").decode("utf-8", "surrogateescape")


def _decode_duration(us: int | None) -> timedelta:
    return timedelta(microseconds=us or 0)


def _decode_mark(term: int | None, position: int | None) -> Mark | None:
    return None if term is None or position is None else Mark(term, position)


def encode_request(call: int, request: RunRequest) -> Any:
    """Return the Run frame of a request.

    Empty fields are left out, and so are the text and name of an EXECUTE, which its prepared
    statement and argument replace: most statements of a primary's callers cross regions.
    """
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
        id=_encode_text(statement.id),
        text=_encode_text(statement.text) if prepared is None else None,
        name=(_encode_text(statement.name) or None) if prepared is None else None,
        argument=_encode_text(statement.argument) or None,
        prepared=prepared_kind or None,
        shape=_encode_text(prepared.shape) if prepared else None,
        opens=int(request.opens),
        fence=request.fence or None,
        mark_term=request.mark.term if request.mark else None,
        mark_position=request.mark.position if request.mark else None,
        max_staleness_us=request.max_staleness // _MICROSECOND or None,
        rank=int(request.rank),
        on_time_left_us=request.on_time_left // _MICROSECOND,
        patience_left_us=request.max_wait // _MICROSECOND,
        timeout_us=request.timeout // _MICROSECOND,
        values={_encode_text(name): _encode_text(value) for name, value in request.values.items()}
        or None,
        team=request.team or None,
    )


def decode_request(frame: Any) -> RunRequest:
    """Return the request of a Run frame; raise ValueError if it is malformed."""
    try:
        return _read_request(frame)
    except (TypeError, AttributeError) as error:
        # A field is missing or has another type than the thrift file says.
        raise ValueError(str(error)) from error


def _read_request(frame: Any) -> RunRequest:
    prepared = None
    if frame.prepared:
        prepared = Prepared(frame.prepared == _PREPARED_WRITE, _decode_text(frame.shape))
    statement = Statement(
        StatementKind(frame.kind),
        _decode_text(frame.id),
        _decode_text(frame.text),
        _decode_text(frame.name),
        _decode_text(frame.argument),
        prepared,
    )
    return RunRequest(
        statement=statement,
        service=frame.service_name,
        member=frame.member,
        rank=Rank(frame.rank),
        timeout=_decode_duration(frame.timeout_us),
        on_time_left=_decode_duration(frame.on_time_left_us),
        max_wait=_decode_duration(frame.patience_left_us),
        transaction_id=frame.exchange,
        opens=Opens(frame.opens),
        fence=bool(frame.fence),
        mark=_decode_mark(frame.mark_term, frame.mark_position),
        max_staleness=_decode_duration(frame.max_staleness_us),
        values={
            _decode_text(name): _decode_text(value) for name, value in (frame.values or {}).items()
        },
        team=frame.team or "",
    )


def encode_result(call: int, result: RunResult) -> Any:
    """Return the Ran frame of a result; empty fields are left out."""
    answer = result.answer or Answer(AnswerCode.OTHER)
    return frames.Ran(
        call=call,
        problem=int(result.problem or 0) or None,
        code=answer.code.value,
        rows=[_encode_text(row) for row in answer.rows] or None,
        signature=_encode_text(answer.signature),
        text=_encode_text(answer.text) or None,
        state=answer.state.value,
        mark_term=answer.mark.term if answer.mark else None,
        mark_position=answer.mark.position if answer.mark else None,
        waited_us=result.waited // _MICROSECOND,
        retry_after_us=result.retry_after // _MICROSECOND or None,
        exchange_open=result.transaction_open or None,
        load=result.load,
    )


def decode_result(frame: Any) -> RunResult:
    """Return the result of a Ran frame; raise ValueError if it is malformed."""
    try:
        return _read_result(frame)
    except (TypeError, AttributeError) as error:
        raise ValueError(str(error)) from error


def _read_result(frame: Any) -> RunResult:
    problem = RunProblem(frame.problem) if frame.problem else None
    answer = None
    if problem is None:
        answer = Answer(
            code=AnswerCode(frame.code),
            rows=[_decode_text(row) for row in frame.rows or ()],
            signature=_decode_text(frame.signature),
            text=_decode_text(frame.text),
            state=TransactionState(frame.state),
            mark=_decode_mark(frame.mark_term, frame.mark_position),
        )
    return RunResult(
        answer,
        problem,
        _decode_duration(frame.waited_us),
        _decode_duration(frame.retry_after_us),
        bool(frame.exchange_open),
        frame.load,
    )
