"""Extended query protocol: collects the frames up to Sync and tracks the answers to them."""

import re
from collections import deque
from collections.abc import Callable
from functools import lru_cache

from attrs import field, frozen
from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import StatementClass
from bramleyrill_core.sessions import ClassifiedStatement, classify
from bramleyrill_wire import postgres as pg

from bramleyrill_daemon.front._limits import FrontLimits
from bramleyrill_daemon.front._local import (
    LocalStatement,
    describe_local,
    read_local,
    refuse_setting,
)

# Frames that callers repeat are short. With these limits a cache has at most 2 MiB of frames.
MAX_CACHED_FRAMES = 2048
MAX_CACHED_FRAME_BYTES = 1024

_PARSE, _BIND, _DESCRIBE, _EXECUTE, _CLOSE = b"PBDEC"
_STATEMENT = b"S"
# Types of the frames that end the answer to one frame of a batch; RowDescription and NoData end
# the answer to a Describe.
_ANSWER_END_FRAMES = frozenset(b"123TnCIs")
_TRACKED_FRAMES = _ANSWER_END_FRAMES | frozenset(b"E")
_ERROR = ord("E")
_ENDING_STATEMENT = re.compile(r"\s*(COMMIT|END|PREPARE\s+TRANSACTION|CALL|DO)\b", re.IGNORECASE)
# Kinds of statements that `refuse` may refuse.
RESTRICTED = (StatementClass.UNSUPPORTED, StatementClass.SET)
_ENDING_KINDS = (StatementClass.COMMIT, StatementClass.ROLLBACK)


def may_end_transaction(sql: str, kind: StatementClass) -> bool:
    """Return whether a statement inside a transaction block may commit it."""
    if kind is StatementClass.COMMIT:
        return True
    if kind is not StatementClass.WRITE:
        return False
    return ";" in sql.rstrip("; \t\r\n") or _ENDING_STATEMENT.match(sql) is not None


@frozen
class PreparedStatement:
    """A statement that a caller has prepared; `frame` is its Parse frame.

    `may_end` says whether it may end a transaction block that it runs in. `local` is set if the
    proxy answers it.
    """

    frame: bytes = field(repr=False)
    statement: ClassifiedStatement
    may_end: bool
    local: LocalStatement | None = None


@frozen
class QueryPlan:
    """How to run a Query frame; the same for all sessions.

    `may_end` says whether it may end a transaction block that it runs in, `hold` whether it may
    commit before its last statement, and `is_restricted` whether `refuse` must check it.
    """

    statement: ClassifiedStatement
    may_end: bool
    alters_session: bool
    hold: bool
    is_restricted: bool
    local: LocalStatement | None = None


class AnswerTracker:
    """Track the answer to a batch: drop answers to added frames, update the prepared statements.

    `expected` has one entry `(action, name, prepared)` for each frame sent. Action `add` is a
    frame that the proxy added, whose answer is dropped; `parse` and `close` change the session's
    prepared statements when the upstream confirms them; with "" nothing is done.
    """

    __slots__ = ("_session_statements", "_splitter", "expected", "failed")

    def __init__(self, expected: deque, session_statements: dict[str, PreparedStatement]) -> None:
        self._splitter = pg.FrameSplitter(_TRACKED_FRAMES, pg.MAX_FRAME)
        self._session_statements = session_statements
        self.expected = expected
        self.failed = False

    @property
    def all_answered(self) -> bool:
        """Return whether no more answers come: all frames are answered, or one with an error."""
        return self.failed or not self.expected

    def filter(self, frames: bytes) -> bytes:
        """Return the bytes of this part of the answer that are for the caller."""
        passed = []
        for kind, data in self._splitter.feed(frames):
            if kind == _ERROR:
                self.failed = True
            elif kind and self.expected and not self.failed and self._pop_expected():
                continue
            passed.append(data)
        return passed[0] if len(passed) == 1 else b"".join(passed)

    def _pop_expected(self) -> bool:
        """Pop the next expected answer and apply it; return whether the caller must not see it."""
        action, name, prepared = self.expected.popleft()
        if action == "parse":
            self._session_statements[name] = prepared
        elif action == "close":
            self._session_statements.pop(name, None)
        return action == "add"


class Batch:
    """The frames of an extended batch since the last Sync or Flush.

    `session_statements` maps the names that the session has prepared, `connection_statements` has
    the names that are prepared on the connection in use, `portals` maps the open portals.
    `statements` lists the statements that the Execute frames run; None is an unknown one.
    `new_statements` maps the names that the batch prepares. `may_end` says that a statement
    may end the transaction, `commits_before_end` that another one follows it. `needs_tracker` says
    that the answers must be tracked, as the batch changes prepared statements or has frames that
    the proxy added.
    """

    __slots__ = (
        "_session_statements",
        "_limits",
        "_connection_statements",
        "_parses_name",
        "_portals",
        "commits_before_end",
        "may_end",
        "expected",
        "frames",
        "has_local",
        "has_remote",
        "in_transaction",
        "new_statements",
        "size",
        "statements",
        "needs_tracker",
    )

    def __init__(
        self,
        session_statements: dict[str, PreparedStatement],
        connection_statements: set[str],
        portals: dict[str, PreparedStatement | None],
        in_transaction: bool,
        limits: FrontLimits,
    ) -> None:
        self._session_statements = session_statements
        self._limits = limits
        self._connection_statements = connection_statements
        # True once a Parse of a named statement is sent. A Close after it may not be carried out.
        self._parses_name = False
        self._portals = portals
        self.in_transaction = in_transaction
        self.frames: list[bytes] = []
        self.size = 0
        self.expected: deque = deque()
        self.statements: list[PreparedStatement | None] = []
        self.new_statements: dict[str, PreparedStatement] = {}
        self.may_end = False
        self.commits_before_end = False
        self.needs_tracker = False
        self.has_local = False
        self.has_remote = False

    def add(self, kind: int, frame: bytes) -> Problem | None:
        """Add a frame; return the problem if its statement is refused."""
        action, name = "", ""
        prepared: PreparedStatement | None = None
        if kind == _PARSE:
            name, prepared = prepare(frame)
            problem = refuse(prepared.statement, prepared.local, self.in_transaction)
            problem = problem or self._check_prepared_limits(name, frame)
            if problem is not None:
                return problem
            self._add_parse(name, prepared)
            action = "parse"
        elif kind == _BIND:
            portal, name = pg.read_bind(frame)
            prepared = self._portals[portal] = self._ensure_parsed(name)
            self._record_destination(prepared)
        elif kind == _EXECUTE:
            self._add_execute(self._portals.get(pg.read_portal(frame)))
        else:
            target, name = pg.read_target(frame)
            if kind == _DESCRIBE and target == _STATEMENT:
                self._record_destination(self._ensure_parsed(name))
            elif kind == _CLOSE and target == _STATEMENT:
                action = "close"
                self.needs_tracker = True
                self._connection_statements.discard(name)
                self.new_statements.pop(name, None)
            elif kind == _CLOSE:
                self._portals.pop(name, None)
        self._append(frame, (action, name, prepared))
        return None

    def _check_prepared_limits(self, name: str, frame: bytes) -> Problem | None:
        """Refuse a named statement that would exceed the session's limits."""
        if not name or name in self._session_statements:
            return None
        kept = (self._session_statements, self.new_statements)
        count = sum(map(len, kept))
        if count < self._limits.prepared_statements and len(frame) <= MAX_CACHED_FRAME_BYTES:
            return None
        size = sum(len(item.frame) for items in kept for item in items.values())
        if (
            count < self._limits.prepared_statements
            and size + len(frame) <= self._limits.prepared_bytes
        ):
            return None
        return Problem(ErrorKind.FRAME_TOO_LARGE, "too many prepared statements in the session")

    def _add_parse(self, name: str, prepared: PreparedStatement) -> None:
        self._record_destination(prepared)
        if name:
            # The upstream must refuse a name that is in use, so it has to have that statement.
            current = self._ensure_parsed(name)
            self.needs_tracker = True
            if current is None and name in self._connection_statements:
                # DEALLOCATE removed it from the session, but the connection still has it.
                self._append(pg.close(_STATEMENT, name), ("add", name, None))
        self.new_statements[name] = prepared
        if prepared.local is None:
            self._connection_statements.add(name)
            self._parses_name = self._parses_name or bool(name)
        else:
            self._connection_statements.discard(name)

    def _record_destination(self, prepared: PreparedStatement | None) -> None:
        if prepared is not None and prepared.local is not None:
            self.has_local = True
        else:
            self.has_remote = True

    def _append(self, frame: bytes, expected: tuple) -> None:
        self.frames.append(frame)
        self.size += len(frame)
        self.expected.append(expected)

    def _ensure_parsed(self, name: str) -> PreparedStatement | None:
        """Return a statement by name; add its Parse frame unless the connection has it."""
        prepared = self.new_statements.get(name) or self._session_statements.get(name)
        if (
            prepared is not None
            and prepared.local is None
            and name not in self._connection_statements
        ):
            self._append(prepared.frame, ("add", name, prepared))
            self._connection_statements.add(name)
            self._parses_name = self._parses_name or bool(name)
            self.needs_tracker = True
        return prepared

    def _add_execute(self, prepared: PreparedStatement | None) -> None:
        self._record_destination(prepared)
        self.commits_before_end |= self.may_end
        self.statements.append(prepared)
        self.may_end |= prepared is None or prepared.may_end

    def pop_frames(self) -> bytes:
        """Remove and return the collected frames."""
        frames = b"".join(self.frames)
        self.frames.clear()
        self.size = 0
        return frames

    @property
    def kind(self) -> StatementClass:
        """Return the kind that decides the routing: the most restrictive one of the statements."""
        kinds = {
            prepared.statement.kind if prepared else StatementClass.WRITE
            for prepared in self.statements
        }
        for kind in (StatementClass.WRITE, *_ENDING_KINDS, StatementClass.BEGIN):
            if kind in kinds:
                return kind
        return StatementClass.WRITE if StatementClass.SET in kinds else StatementClass.READ

    @property
    def alters_session(self) -> bool:
        """Return whether the connection must be reset after the batch."""
        names_left = self._parses_name or any(self._connection_statements)
        return names_left or any(
            prepared is None
            or prepared.statement.alters_session
            or prepared.statement.kind is StatementClass.BEGIN
            for prepared in self.statements
        )

    @property
    def only_ends_transaction(self) -> bool:
        """Return whether all statements of the batch are COMMIT or ROLLBACK."""
        prepared = [*self.statements, *self.new_statements.values()]
        return all(p is not None and p.statement.kind in _ENDING_KINDS for p in prepared)

    def answer(self, describe: Callable, run: Callable) -> bytes | Problem:
        """Return the answer to a batch that is not sent to an upstream.

        `describe(prepared)` returns the description of the result of a statement, `run(prepared)`
        executes it and returns its frames including CommandComplete, or a Problem.
        """
        answers = []
        for frame, (action, name, prepared) in zip(self.frames, self.expected, strict=True):
            kind = frame[0]
            if kind == _PARSE:
                self._session_statements[name] = prepared
                answers.append(pg.PARSE_COMPLETE)
            elif kind == _BIND:
                answers.append(pg.BIND_COMPLETE)
            elif kind == _CLOSE:
                if action == "close":
                    self._session_statements.pop(name, None)
                answers.append(pg.CLOSE_COMPLETE)
            elif kind == _DESCRIBE:
                target, name = pg.read_target(frame)
                if target == _STATEMENT:
                    answers.append(pg.NO_PARAMETERS)
                    described = self.new_statements.get(name) or self._session_statements.get(name)
                else:
                    described = self._portals.get(name)
                answers.append(describe(described))
            else:
                result = run(self._portals.get(pg.read_portal(frame)))
                if isinstance(result, Problem):
                    return result
                answers.append(result)
        return b"".join(answers)


def _prepare(frame: bytes) -> tuple[str, PreparedStatement]:
    name, sql = pg.read_parse(frame)
    statement = classify(sql)
    may_end = may_end_transaction(sql, statement.kind)
    return name, PreparedStatement(frame, statement, may_end, read_local(sql, statement))


def _plan_query(frame: bytes) -> QueryPlan:
    sql = pg.read_query(frame)
    statement = classify(sql)
    kind = statement.kind
    return QueryPlan(
        statement,
        may_end_transaction(sql, kind),
        statement.alters_session or kind is StatementClass.BEGIN,
        kind is StatementClass.WRITE and ";" in sql.rstrip("; \t\r\n"),
        kind in RESTRICTED,
        read_local(sql, statement),
    )


_cached_plan = lru_cache(MAX_CACHED_FRAMES)(_plan_query)
_cached_prepare = lru_cache(MAX_CACHED_FRAMES)(_prepare)


def plan_query(frame: bytes) -> QueryPlan:
    """Return the plan of a Query frame; raise FrameError if it is malformed."""
    return _cached_plan(frame) if len(frame) <= MAX_CACHED_FRAME_BYTES else _plan_query(frame)


def prepare(frame: bytes) -> tuple[str, PreparedStatement]:
    """Return name and statement of a Parse frame; raise FrameError if it is malformed.

    Sessions that send the same short frame share the statement.
    """
    return _cached_prepare(frame) if len(frame) <= MAX_CACHED_FRAME_BYTES else _prepare(frame)


def refuse(
    statement: ClassifiedStatement, local: LocalStatement | None, in_transaction: bool
) -> Problem | None:
    """Return the problem if a statement can be neither sent to an upstream nor answered here."""
    if statement.kind is StatementClass.UNSUPPORTED:
        return Problem(ErrorKind.NOT_SUPPORTED, statement.feature or "")
    if local is None:
        return refuse_setting(statement, in_transaction)
    return None


def describe_prepared(prepared: PreparedStatement | None) -> bytes:
    """Return the frame that describes the result of a statement that the proxy answers."""
    return describe_local(prepared.local) if prepared and prepared.local else pg.NO_DATA
