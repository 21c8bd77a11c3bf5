"""Results of statements that were not sent to the member."""

from datetime import timedelta

from bramleyrill_base import ErrorKind
from bramleyrill_core.admission import Refused
from bramleyrill_core.statements import Answer, AnswerCode

from bramleyrill_entry._pool import LEASE_TIMEOUT
from bramleyrill_entry._run_request import RunProblem, RunResult

# Suggested to callers that were refused because all connections were in use.
NO_CONNECTION_RETRY_AFTER = timedelta(seconds=1)
# Suggested to callers that were refused because the primary may have been replaced.
NO_PERMIT_RETRY_AFTER = timedelta(seconds=1)
# Suggested to callers while no successor of a failed primary is known to be safe.
NO_PRIMARY_RETRY_AFTER = timedelta(seconds=1)


def stopping_answer() -> Answer:
    """Return the answer to a statement for which this process has no time left."""
    return Answer(AnswerCode.BUSY, text="shutting down, retry after 100 ms")


def no_permit_result() -> RunResult:
    """Return the result of a statement for which the holder has no permit."""
    return RunResult(problem=RunProblem.NO_PERMIT, retry_after=NO_PERMIT_RETRY_AFTER)


def no_primary_result(last: RunResult) -> RunResult:
    """Return the result of a statement whose last attempt failed while no member may lead."""
    if last.problem is None or not last.problem.not_run:
        return last
    return RunResult(problem=RunProblem.NO_PRIMARY, retry_after=NO_PRIMARY_RETRY_AFTER)


def no_connection_result() -> RunResult:
    """Return the result of a statement that found all connections in use."""
    return RunResult(
        problem=RunProblem.OVERLOADED,
        waited=LEASE_TIMEOUT,
        retry_after=NO_CONNECTION_RETRY_AFTER,
    )


def refused_begin_result(answer: Answer) -> RunResult:
    """Return the result of a statement whose BEGIN a member refused with `answer`."""
    if answer.code is AnswerCode.READ_ONLY:
        return RunResult(problem=RunProblem.NOT_PRIMARY)
    return RunResult(answer)


def overloaded_result(refusal: Refused, waited: timedelta) -> RunResult:
    """Return the result of a statement that admission refused after a wait.

    One that was refused because this VM stops can run at the next holder.
    """
    if refusal.problem.kind is ErrorKind.NOT_RUN_DRAINING:
        return RunResult(problem=RunProblem.STOPPING, waited=waited)
    retry_after = refusal.problem.retry_after or timedelta()
    return RunResult(
        problem=RunProblem.OVERLOADED, waited=max(waited, retry_after), retry_after=retry_after
    )
