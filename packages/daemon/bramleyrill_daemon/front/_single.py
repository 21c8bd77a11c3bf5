"""Fast path for the batch that drivers send for a single statement."""

from bramleyrill_wire import postgres as pg

from bramleyrill_daemon.front._batch import RESTRICTED, PreparedStatement, prepare

PARSE = ord("P")
_BIND, _SYNC = b"BS"
_UNNAMED = b"\x00\x00"
_EXECUTE_ALL = pg.execute("")
_DESCRIBE_PORTAL = pg.describe(b"P", "")
_FRAME_COUNTS = (4, 5)


def read_single_statement(frames: list[tuple[int, bytes]]) -> PreparedStatement | None:
    """Return the statement of a batch that runs a single statement, or None for any other batch.

    The batch must consist of Parse, Bind, optionally Describe, Execute without a row limit and
    Sync, for the unnamed statement and portal. The statement must be neither local nor restricted.
    Raise FrameError for a malformed Parse.
    """
    if len(frames) not in _FRAME_COUNTS or frames[-1][0] != _SYNC or frames[-2][1] != _EXECUTE_ALL:
        return None
    kind, bind = frames[1]
    if kind != _BIND or bind[5:7] != _UNNAMED:
        return None
    if len(frames) == 5 and frames[2][1] != _DESCRIBE_PORTAL:
        return None
    name, prepared = prepare(frames[0][1])
    if name or prepared.local is not None or prepared.statement.kind in RESTRICTED:
        return None
    return prepared
