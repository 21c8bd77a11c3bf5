"""Settings that a caller changes in its session, known by name."""

from collections.abc import Callable
from datetime import timedelta

from bramleyrill_base import ErrorKind, Problem, Registry
from returns.result import Failure, Result, Success

from bramleyrill_core._values import Mark, Rank
from bramleyrill_core._world import World
from bramleyrill_core.sessions._tables import Session
from bramleyrill_core.sessions._tokens import read_token

PREFIX = "bramleyrill."
# Longer ages are typing errors: no replica that lags a day is kept in service.
MAX_AGE = timedelta(days=1)

Setter = Callable[[World, Session, str], Result[None, Problem]]
setters: Registry[Setter] = Registry("setting")


def apply_setting(world: World, session: Session, name: str, value: str) -> Result[None, Problem]:
    """Change a `bramleyrill.*` setting of the session; BAD_SETTING for a bad name or value.

    A refused value leaves the session as it was.

    Example: `apply_setting(world, session, "bramleyrill.age", "2000")`.
    """
    setter = setters.by_name.get(name.lower())
    if setter is None:
        known = ", ".join(sorted(setters.by_name))
        return Failure(Problem(ErrorKind.BAD_SETTING, f"no setting named {name!r}; known: {known}"))
    return setter(world, session, value.strip())


def merge_mark(session: Session, mark: Mark) -> None:
    """Make the session see `mark` as well as what it knows.

    Of two marks of one term the later covers the earlier. Marks of different terms do not cover
    each other: the earlier one may have been lost, so it is kept for a check of the history.
    """
    if session.mark is None or session.mark.term == mark.term:
        session.mark = mark if session.mark is None else max(session.mark, mark)
        return
    by_term = {known.term: known for known in session.unchecked}
    older, session.mark = min(session.mark, mark), max(session.mark, mark)
    by_term[older.term] = max(older, by_term.get(older.term, older))
    session.unchecked = tuple(by_term.values())


@setters.register("bramleyrill.rank")
def _set_rank(_world: World, session: Session, value: str) -> Result[None, Problem]:
    try:
        session.rank = Rank[value.upper()]
    except KeyError:
        return _bad("rank", "write urgent, everyday or least_urgent")
    return Success(None)


@setters.register("bramleyrill.age")
def _set_age(_world: World, session: Session, value: str) -> Result[None, Problem]:
    if not value.isascii() or not value.isdigit() or len(value) > 9:
        return _bad("age", "write whole milliseconds, 0 for fresh reads")
    age = timedelta(milliseconds=int(value))
    if age > MAX_AGE:
        return _bad("age", "at most one day (86400000)")
    session.age = age
    return Success(None)


@setters.register("bramleyrill.repeatable")
def _set_repeatable(_world: World, session: Session, value: str) -> Result[None, Problem]:
    if value.lower() not in ("on", "off", "true", "false"):
        return _bad("repeatable", "write on or off")
    session.repeatable = value.lower() in ("on", "true")
    return Success(None)


@setters.register("bramleyrill.token")
def _set_token(world: World, session: Session, value: str) -> Result[None, Problem]:
    result = read_token(world, value, session.database)
    if isinstance(result, Failure):
        return Failure(result.failure())
    merge_mark(session, result.unwrap())
    return Success(None)


def _bad(name: str, advice: str) -> Result[None, Problem]:
    return Failure(Problem(ErrorKind.BAD_SETTING, f"{PREFIX}{name}: {advice}"))
