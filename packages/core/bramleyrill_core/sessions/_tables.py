"""Tables of the sessions subsystem."""

from datetime import timedelta

from attrs import define, field
from bramleyrill_base import Table

from bramleyrill_core._values import NO_MARK, DatabaseId, Mark, Rank, database_id
from bramleyrill_core._world import World
from bramleyrill_core.sessions._messages import TokenKey


@define
class Session:
    """Session of one caller.

    `database` is the qualified id. `age` is the staleness that its reads accept. With `repeatable`
    the caller declares that its requests may run twice, so that more failures are retried. `writes`
    is whether the user may write. `mark` is the newest entry that the session wrote or read at the
    primary; None means that nothing is known, and the next read goes to the primary.
    `unconfirmed_marks` holds at most one mark for each other term until the history in an answer
    confirms it. `lost_mark` is an entry known to be lost that has not been reported to the caller
    yet.
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
    unconfirmed_marks: tuple[Mark, ...] = ()
    lost_mark: Mark | None = None


@define
class SessionTables:
    """Sessions of this VM by id, token keys by key id, and the id of the key that signs."""

    sessions: Table[int, Session] = field(factory=Table)
    keys: Table[str, TokenKey] = field(factory=Table)
    signing: str = ""


def open_session(
    world: World, session_id: int, fleet: str, service: str, database: str, user: str
) -> Session:
    """Add a session with its user's defaults from the text, and return it.

    `database` is the unqualified name. The session of a user without write permission starts with
    a zero mark, since it has no writes of its own to see. Raise KeyError if the text has no such
    service.
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
