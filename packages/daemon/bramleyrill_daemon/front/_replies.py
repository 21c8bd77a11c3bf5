"""Error frames for callers."""

from bramleyrill_base import ErrorKind, Problem, Retry, answer_for
from bramleyrill_wire import postgres as pg


class SessionEndError(Exception):
    """Ends a session with a FATAL error, or without any message if there is no problem."""

    def __init__(self, problem: Problem | None = None) -> None:
        super().__init__(problem)
        self.problem = problem


def error_frame(problem: Problem, severity: str = "ERROR") -> bytes:
    """Return the ErrorResponse for a problem; its hint says whether and when to retry."""
    answer = answer_for(problem)
    hint = answer.retry.value
    if problem.retry_after is not None and answer.retry is Retry.AFTER_HINT:
        hint = f"retry after {max(1, round(problem.retry_after.total_seconds() * 1000))} ms"
    return pg.error_response(answer.sqlstate, answer.message, problem.detail, hint, severity)


def protocol_violation(detail: str) -> SessionEndError:
    """Return the error that ends a session whose caller broke the protocol."""
    return SessionEndError(Problem(ErrorKind.PROTOCOL_VIOLATION, detail))
