"""Registry of the settings that a caller may change in its session."""

from collections.abc import Callable
from datetime import timedelta

from bramleyrill_base import ErrorKind, Problem, Registry
from returns.result import Failure, Result, Success

from bramleyrill_core._values import Mark, Rank
from bramleyrill_core._world import World
from bramleyrill_core.sessions._tables import Session
from bramleyrill_core.sessions._tokens import verify_token

PREFIX = "bramleyrill."
# A longer age is a typing error: no replica that lags by a day stays in service.
MAX_AGE = timedelta(days=1)

Setter = Callable[[World, Session, str], Result[None, Problem]]
setters: Registry[Setter] = Registry("setting")


def apply_setting(world: World, session: Session, name: str, value: str) -> Result[None, Problem]:
    """Change a `bramleyrill.*` setting; return BAD_SETTING for an unknown name or invalid value.

    A rejected value leaves the session unchanged.

    Example: `apply_setting(world, session, "bramleyrill.age", "2000")`.
    """
    setter = setters.by_name.get(name.lower())
    if setter is None:
        names = ", ".join(sorted(setters.by_name))
        return Failure(Problem(ErrorKind.BAD_SETTING, f"no setting named {name!r}; known: {names}"))
    return setter(world, session, value.strip())


def merge_mark(session: Session, mark: Mark) -> None:
    """Require later reads of the session to include `mark` in addition to its present marks.

    Of two marks of the same term, the later one covers the earlier. Across terms it does not: the
    entry of the earlier term may have been lost, so its mark is kept until a history confirms it.
    """
    if session.mark is None or session.mark.term == mark.term:
        session.mark = mark if session.mark is None else max(session.mark, mark)
        return
    by_term = {earlier.term: earlier for earlier in session.unconfirmed_marks}
    older_mark, session.mark = min(session.mark, mark), max(session.mark, mark)
    by_term[older_mark.term] = max(older_mark, by_term.get(older_mark.term, older_mark))
    session.unconfirmed_marks = tuple(by_term.values())


@setters.register("bramleyrill.rank")
def _set_rank(_world: World, session: Session, value: str) -> Result[None, Problem]:
    try:
        session.rank = Rank[value.upper()]
    except KeyError:
        return _invalid_setting("rank", "write urgent, everyday or least_urgent")
    return Success(None)


@setters.register("bramleyrill.age")
def _set_age(_world: World, session: Session, value: str) -> Result[None, Problem]:
    if not value.isascii() or not value.isdigit() or len(value) > 9:
        return _invalid_setting("age", "write whole milliseconds, 0 for fresh reads")
    age = timedelta(milliseconds=int(value))
    if age > MAX_AGE:
        return _invalid_setting("age", "at most one day (86400000)")
    session.age = age
    return Success(None)


@setters.register("bramleyrill.repeatable")
def _set_repeatable(_world: World, session: Session, value: str) -> Result[None, Problem]:
    if value.lower() not in ("on", "off", "true", "false"):
        return _invalid_setting("repeatable", "write on or off")
    session.repeatable = value.lower() in ("on", "true")
    return Success(None)


@setters.register("bramleyrill.token")
def _set_token(world: World, session: Session, value: str) -> Result[None, Problem]:
    result = verify_token(world, value, session.database)
    if isinstance(result, Failure):
        return Failure(result.failure())
    merge_mark(session, result.unwrap())
    return Success(None)


def _invalid_setting(name: str, advice: str) -> Result[None, Problem]:
    return Failure(Problem(ErrorKind.BAD_SETTING, f"{PREFIX}{name}: {advice}"))
