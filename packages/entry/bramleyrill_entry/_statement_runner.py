"""Send statements to one member on given connections, with their proofs and permits."""

from datetime import timedelta

from bramleyrill_base import log_event
from bramleyrill_core import Mark
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.placement import LoadMeter
from bramleyrill_core.statements import Answer, AnswerCode
from bramleyrill_platform import lines

from bramleyrill_entry._permits import PermitKeeper
from bramleyrill_entry._preparation import Preparation
from bramleyrill_entry._run_request import NO_TRANSACTION, RunProblem, RunRequest, RunResult
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError, UpstreamTimeoutError


class StatementRunner:
    """Run statements on connections that the scheduler of the member has leased."""

    def __init__(
        self,
        state: EntryState,
        member: MemberEntry,
        permits: PermitKeeper,
        preparation: Preparation,
        meter: LoadMeter,
    ) -> None:
        self.member = member
        self._state = state
        self._permits = permits
        self._preparation = preparation
        self._meter = meter

    def begin(
        self, connection: UpstreamConnection, min_mark: Mark | None, read_only: bool
    ) -> Answer:
        """Begin a transaction; only a primary accepts one that may write, which proves its role.

        Raises NoPermitError if the member's acceptance would prove nothing.
        """
        if not read_only:
            self._permits.require(self.member, connection.opened_at)
        sent_at = self._state.now()
        answer = self._preparation.begin(connection, min_mark, read_only)
        if answer.succeeded and not read_only:
            self.record_proof(answer, sent_at)
        return answer

    def execute(
        self, connection: UpstreamConnection, request: RunRequest, min_mark: Mark | None = None
    ) -> RunResult:
        """Send one statement and return its result; with `min_mark` the member must have it."""
        statement, prepared = request.statement, request.statement.prepared
        name = "" if prepared is None else connection.state.name_by_prepared[prepared]
        text = lines.member_text(statement, name)
        sent_at = self._state.now()
        try:
            answer = connection.execute(statement.id, text, request.timeout, min_mark)
        except UpstreamTimeoutError:
            log_event("statement_timed_out", id=statement.id, member=self.member.id)
            return RunResult(problem=RunProblem.TIMED_OUT)
        except UpstreamError as error:
            log_event("statement_lost", id=statement.id, member=self.member.id, reason=error)
            return RunResult(problem=RunProblem.LOST)
        finally:
            self._meter.record_run(self._state.now() - sent_at)
        if answer.code is AnswerCode.NOT_PREPARED and prepared is not None:
            connection.state.forget_prepared(prepared)
        if answer.code is AnswerCode.READ_ONLY and request.transaction_id == NO_TRANSACTION:
            return RunResult(problem=RunProblem.NOT_PRIMARY)
        if answer.succeeded and request.transaction_id == NO_TRANSACTION and statement.writes:
            self.record_proof(answer, sent_at)
        return RunResult(answer)

    def confirm_write(self, request: RunRequest, result: RunResult) -> RunResult:
        """Return the result of a write or COMMIT, or that its outcome is unknown.

        Without a permit now, another member may have been promoted before the write was committed,
        and its entry may be rolled back.
        """
        answer = result.answer
        if answer is None or not answer.succeeded or self._permits.renewed(self.member):
            return result
        log_event("permit_expired", id=request.statement.id, member=self.member.id)
        return RunResult(problem=RunProblem.LOST)

    def required_mark(self, request: RunRequest) -> Mark | None:
        """Return the log position that an unfenced read requires.

        Return None if no proof of the primary's position is recent enough for it.
        """
        now = self._state.now()
        proved_mark = self._state.proofs.history_of(request.service).required_mark(
            now, request.max_staleness
        )
        if proved_mark is None or request.mark is None:
            return proved_mark
        return max(proved_mark, request.mark)

    def record_proof(self, answer: Answer, sent_at: timedelta) -> None:
        """Record that the member led when `sent_at` was, if a permit covers that time."""
        if answer.mark is not None and self._permits.covers(self.member, sent_at):
            self._state.record_proof(
                self.member.service, self.member.id, answer.mark.term, answer.mark, sent_at
            )
