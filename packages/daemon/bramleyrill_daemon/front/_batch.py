"""Extended query: collect the frames up to Sync, and follow the answers to them."""

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
    refused_setting,
)

# Frames that callers repeat are short; the caches hold at most 2 MB of them each.
CACHED_FRAMES = 2048
MAX_CACHED_FRAME = 1024

_PARSE, _BIND, _DESCRIBE, _EXECUTE, _CLOSE = b"PBDEC"
_STATEMENT = b"S"
# Frames that end the answer to one frame of a batch. RowDescription and NoData end a Describe.
_ENDS = frozenset(b"123TnCIs")
_WATCHED = _ENDS | frozenset(b"E")
_ERROR = ord("E")
_ENDING_WORDS = re.compile(r"\s*(COMMIT|END|PREPARE\s+TRANSACTION|CALL|DO)\b", re.IGNORECASE)
# Classes of statements that `refuse` may refuse.
RESTRICTED = (StatementClass.UNSUPPORTED, StatementClass.SET)
_ENDS_TRANSACTION = (StatementClass.COMMIT, StatementClass.ROLLBACK)


def may_end_transaction(sql: str, kind: StatementClass) -> bool:
    """Tell whether a statement inside a transaction may commit it."""
    if kind is StatementClass.COMMIT:
        return True
    if kind is not StatementClass.WRITE:
        return False
    return ";" in sql.rstrip("; \t\r\n") or _ENDING_WORDS.match(sql) is not None


@frozen
class Prepared:
    """A statement that a caller has parsed: its frame, class, and whether the proxy answers it."""

    frame: bytes = field(repr=False)
    statement: ClassifiedStatement
    ends: bool
    local: LocalStatement | None = None


@frozen
class QueryPlan:
    """What a Query frame needs, whichever session sends it.

    `ends` tells whether it may end a transaction that it runs in, `hold` whether it may commit
    before its last statement, and `is_restricted` whether `refuse` has to be asked.
    """

    statement: ClassifiedStatement
    ends: bool
    alters: bool
    hold: bool
    is_restricted: bool
    local: LocalStatement | None = None


class Tracker:
    """Follow the answer to a batch: drop the answers to added frames, note what took effect.

    `expected` holds one entry `(action, name, prepared)` per frame sent. Action `add` is a Parse
    that the proxy added, whose ParseComplete is dropped; `parse` and `close` change the session's
    prepared statements once the upstream confirms them.
    """

    __slots__ = ("_prepared", "_splitter", "expected", "failed")

    def __init__(self, expected: deque, prepared: dict[str, Prepared]) -> None:
        self._splitter = pg.FrameSplitter(_WATCHED, pg.MAX_FRAME)
        self._prepared = prepared
        self.expected = expected
        self.failed = False

    @property
    def settled(self) -> bool:
        """Tell whether every frame is answered, or none after an error will be."""
        return self.failed or not self.expected

    def filter(self, frames: bytes) -> bytes:
        """Return the frames that go to the caller."""
        passed = []
        for kind, data in self._splitter.feed(frames):
            if kind == _ERROR:
                self.failed = True
            elif kind and self.expected and not self.failed and self._take():
                continue
            passed.append(data)
        return passed[0] if len(passed) == 1 else b"".join(passed)

    def _take(self) -> bool:
        """Take the next expected answer; tell whether it is dropped."""
        action, name, prepared = self.expected.popleft()
        if action == "parse":
            self._prepared[name] = prepared
        elif action == "close":
            self._prepared.pop(name, None)
        return action == "add"


class Batch:
    """The frames of an extended batch since the last Sync or Flush.

    `known` is what the session has prepared, `parsed` the names that the connection in use has,
    `portals` the open portals. `statements` lists what Execute frames run.
    """

    __slots__ = (
        "_known",
        "_limits",
        "_parsed",
        "_portals",
        "commits_before_end",
        "ends",
        "expected",
        "frames",
        "has_local",
        "has_remote",
        "in_transaction",
        "new",
        "size",
        "statements",
        "watched",
    )

    def __init__(
        self,
        known: dict[str, Prepared],
        parsed: set[str],
        portals: dict[str, Prepared | None],
        in_transaction: bool,
        limits: FrontLimits,
    ) -> None:
        self._known = known
        self._limits = limits
        self._parsed = parsed
        self._portals = portals
        self.in_transaction = in_transaction
        self.frames: list[bytes] = []
        self.size = 0
        self.expected: deque = deque()
        self.statements: list[Prepared | None] = []
        self.new: dict[str, Prepared] = {}
        self.ends = False
        self.commits_before_end = False
        self.watched = False
        self.has_local = False
        self.has_remote = False

    def add(self, kind: int, frame: bytes) -> Problem | None:
        """Take a frame in; return the problem of a statement that is refused."""
        action, name = "", ""
        prepared: Prepared | None = None
        if kind == _PARSE:
            name, prepared = prepare(frame)
            problem = refuse(prepared.statement, prepared.local, self.in_transaction)
            problem = problem or self._check_room(name, frame)
            if problem is not None:
                return problem
            self._parse(name, prepared)
            action = "parse"
        elif kind == _BIND:
            portal, name = pg.read_bind(frame)
            prepared = self._portals[portal] = self._bring(name)
            self._note(prepared)
        elif kind == _EXECUTE:
            self._execute(self._portals.get(pg.read_portal(frame)))
        else:
            target, name = pg.read_target(frame)
            if kind == _DESCRIBE and target == _STATEMENT:
                self._note(self._bring(name))
            elif kind == _CLOSE and target == _STATEMENT:
                action = "close"
                self.watched = True
                self._parsed.discard(name)
                self.new.pop(name, None)
            elif kind == _CLOSE:
                self._portals.pop(name, None)
        self._append(frame, (action, name, prepared))
        return None

    def _check_room(self, name: str, frame: bytes) -> Problem | None:
        """Refuse a named statement that a session has no room for."""
        if not name or name in self._known:
            return None
        kept = (self._known, self.new)
        count = sum(map(len, kept))
        if count < self._limits.prepared and len(frame) <= MAX_CACHED_FRAME:
            return None
        size = sum(len(item.frame) for items in kept for item in items.values())
        if count < self._limits.prepared and size + len(frame) <= self._limits.prepared_bytes:
            return None
        return Problem(ErrorKind.FRAME_TOO_LARGE, "too many prepared statements in the session")

    def _parse(self, name: str, prepared: Prepared) -> None:
        self._note(prepared)
        if name:
            # The upstream refuses a name that is in use, so it must know of it.
            known = self._bring(name)
            self.watched = True
            if known is None and name in self._parsed:
                # Dropped by DEALLOCATE, but the connection still has it.
                self._append(pg.close(_STATEMENT, name), ("add", name, None))
        self.new[name] = prepared
        if prepared.local is None:
            self._parsed.add(name)
        else:
            self._parsed.discard(name)

    def _note(self, prepared: Prepared | None) -> None:
        if prepared is not None and prepared.local is not None:
            self.has_local = True
        else:
            self.has_remote = True

    def _append(self, frame: bytes, expected: tuple) -> None:
        self.frames.append(frame)
        self.size += len(frame)
        self.expected.append(expected)

    def _bring(self, name: str) -> Prepared | None:
        """Return a statement by name; add its Parse if the connection lacks it."""
        found = self.new.get(name) or self._known.get(name)
        if found is not None and found.local is None and name not in self._parsed:
            self._append(found.frame, ("add", name, found))
            self._parsed.add(name)
            self.watched = True
        return found

    def _execute(self, prepared: Prepared | None) -> None:
        self._note(prepared)
        self.commits_before_end |= self.ends
        self.statements.append(prepared)
        self.ends |= prepared is None or prepared.ends

    def take_frames(self) -> bytes:
        """Return and forget the frames collected."""
        frames = b"".join(self.frames)
        self.frames.clear()
        self.size = 0
        return frames

    @property
    def kind(self) -> StatementClass:
        """Return the class that decides about routing: the most demanding one that is run."""
        kinds = {
            prepared.statement.kind if prepared else StatementClass.WRITE
            for prepared in self.statements
        }
        for kind in (StatementClass.WRITE, *_ENDS_TRANSACTION, StatementClass.BEGIN):
            if kind in kinds:
                return kind
        return StatementClass.WRITE if StatementClass.SET in kinds else StatementClass.READ

    @property
    def alters_session(self) -> bool:
        """Tell whether the connection must be reset after the batch."""
        return any(self._parsed) or any(
            prepared is None
            or prepared.statement.alters_session
            or prepared.statement.kind is StatementClass.BEGIN
            for prepared in self.statements
        )

    @property
    def ends_only(self) -> bool:
        """Tell whether the batch has COMMIT or ROLLBACK and nothing else."""
        prepared = [*self.statements, *self.new.values()]
        return all(p is not None and p.statement.kind in _ENDS_TRANSACTION for p in prepared)

    def answer(self, describe: Callable, run: Callable) -> bytes | Problem:
        """Return the answer to a batch that is not sent to an upstream.

        `describe(prepared)` gives the description of a result and `run(prepared)` the frames of
        an executed statement, CommandComplete included, or a Problem.
        """
        answers = []
        for frame, (action, name, prepared) in zip(self.frames, self.expected, strict=True):
            kind = frame[0]
            if kind == _PARSE:
                self._known[name] = prepared
                answers.append(pg.PARSE_COMPLETE)
            elif kind == _BIND:
                answers.append(pg.BIND_COMPLETE)
            elif kind == _CLOSE:
                if action == "close":
                    self._known.pop(name, None)
                answers.append(pg.CLOSE_COMPLETE)
            elif kind == _DESCRIBE:
                target, name = pg.read_target(frame)
                if target == _STATEMENT:
                    answers.append(pg.NO_PARAMETERS)
                    described = self.new.get(name) or self._known.get(name)
                else:
                    described = self._portals.get(name)
                answers.append(describe(described))
            else:
                result = run(self._portals.get(pg.read_portal(frame)))
                if isinstance(result, Problem):
                    return result
                answers.append(result)
        return b"".join(answers)


def _prepare(frame: bytes) -> tuple[str, Prepared]:
    name, sql = pg.read_parse(frame)
    statement = classify(sql)
    ends = may_end_transaction(sql, statement.kind)
    return name, Prepared(frame, statement, ends, read_local(sql, statement))


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


_cached_plan = lru_cache(CACHED_FRAMES)(_plan_query)
_cached_prepare = lru_cache(CACHED_FRAMES)(_prepare)


def plan_query(frame: bytes) -> QueryPlan:
    """Return the plan of a Query frame; raise FrameError if it is malformed."""
    return _cached_plan(frame) if len(frame) <= MAX_CACHED_FRAME else _plan_query(frame)


def prepare(frame: bytes) -> tuple[str, Prepared]:
    """Return name and statement of a Parse frame; sessions share those of the same frame."""
    return _cached_prepare(frame) if len(frame) <= MAX_CACHED_FRAME else _prepare(frame)


def refuse(
    statement: ClassifiedStatement, local: LocalStatement | None, in_transaction: bool
) -> Problem | None:
    """Return why a statement cannot be sent to an upstream, if it cannot."""
    if statement.kind is StatementClass.UNSUPPORTED:
        return Problem(ErrorKind.NOT_SUPPORTED, statement.feature or "")
    if local is None:
        return refused_setting(statement, in_transaction)
    return None


def describe_prepared(prepared: Prepared | None) -> bytes:
    """Return the description of the result of a statement that the proxy answers."""
    return describe_local(prepared.local) if prepared and prepared.local else pg.NO_DATA
