"""The batch that drivers send for one statement, recognized without collecting it."""

from bramleyrill_wire import postgres as pg

from bramleyrill_daemon.front._batch import RESTRICTED, PreparedStatement, prepare

PARSE = ord("P")
_BIND, _SYNC = b"BS"
_UNNAMED = b"\x00\x00"
_EXECUTE_ALL = pg.execute("")
_DESCRIBE_PORTAL = pg.describe(b"P", "")
_COUNTS = (4, 5)


def read_single(pieces: list[tuple[int, bytes]]) -> PreparedStatement | None:
    """Return the statement of a batch that runs only this one, or None for any other batch.

    Taken are an unnamed statement and portal that is parsed, bound, perhaps described, executed
    to the end and synced; the statement is neither local nor refused. Raises FrameError for a
    malformed Parse.
    """
    if len(pieces) not in _COUNTS or pieces[-1][0] != _SYNC or pieces[-2][1] != _EXECUTE_ALL:
        return None
    kind, bind = pieces[1]
    if kind != _BIND or bind[5:7] != _UNNAMED:
        return None
    if len(pieces) == 5 and pieces[2][1] != _DESCRIBE_PORTAL:
        return None
    name, prepared = prepare(pieces[0][1])
    if name or prepared.local is not None or prepared.statement.kind in RESTRICTED:
        return None
    return prepared
