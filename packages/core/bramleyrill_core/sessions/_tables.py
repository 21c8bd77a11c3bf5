"""Rows of the sessions subsystem."""

from datetime import timedelta

from attrs import define, field
from bramleyrill_base import Table

from bramleyrill_core._values import NO_MARK, DatabaseId, Mark, Rank, database_id
from bramleyrill_core._world import World
from bramleyrill_core.sessions._messages import TokenKey


@define
class Session:
    """One caller's session.

    `database` is the qualified id. `mark` is the newest entry that the session wrote or read at
    the primary; None means that nothing is known, so that the next read goes to the primary.
    `unchecked` holds marks of other terms, one a term, until an answer's history has confirmed
    them. `lost` is an entry known to be lost that the caller has not been told of.
    """

    id: int
    fleet: str
    service: str
    database: DatabaseId
    user: str
    rank: Rank = Rank.EVERYDAY
    age: timedelta = timedelta()
    repeatable: bool = False
    mark: Mark | None = None
    writes: bool = True
    unchecked: tuple[Mark, ...] = ()
    lost: Mark | None = None


@define
class SessionTables:
    """Sessions of this VM by id, and the token keys by key id."""

    sessions: Table[int, Session] = field(factory=Table)
    keys: Table[str, TokenKey] = field(factory=Table)
    signing: str = ""


def open_session(
    world: World, session_id: int, fleet: str, service: str, database: str, user: str
) -> Session:
    """Add a session with the defaults that the text gives its user, and return it.

    `database` is the plain name. A user that never writes starts with a zero mark: it has no
    writes of its own to see. Raise KeyError if the text has no such service.
    """
    spec = world.text.fleets[fleet].services[service].users.get(user)
    session = Session(session_id, fleet, service, database_id(fleet, service, database), user)
    if spec is not None:
        session.rank = spec.rank
        session.age = spec.age
        session.repeatable = spec.repeatable
        session.writes = spec.writes
        if not spec.writes:
            session.mark = NO_MARK
    return world.tables(SessionTables).sessions.add(session_id, session)
