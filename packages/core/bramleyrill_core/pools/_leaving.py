"""Members that are leaving: from when on they get no new work."""

from datetime import timedelta

from attrs import define, field

from bramleyrill_core._core import system
from bramleyrill_core._values import MemberId
from bramleyrill_core._world import World
from bramleyrill_core.text import EMPTY_TEXT, Text

# The promise is 3 s after the mark is accepted. A leaving primary needs most of it for the
# planned change; the rest covers a late tick.
LEAVING_GRACE = timedelta(milliseconds=2500)


@define
class LeavingTables:
    """Times at which this VM first saw the leaving mark of a member, for the text in force."""

    since: dict[MemberId, timedelta] = field(factory=dict)
    text: Text = EMPTY_TEXT


@system("leaving", order=15)
def note_leaving(world: World) -> None:
    """Follow the leaving marks of a new text."""
    tables = world.tables(LeavingTables)
    if tables.text is world.text:
        return
    tables.text = world.text
    now = world.clock.monotonic()
    tables.since = {
        member.id: tables.since.get(member.id, now)
        for database in world.text.databases.values()
        for member in database.members
        if member.leaving
    }


def accepts_new_work(world: World, member: MemberId) -> bool:
    """Tell whether new work may go to `member`: not once it has been leaving for 2.5 s."""
    tables = world.tables(LeavingTables)
    if tables.text is not world.text:
        note_leaving(world)
    since = tables.since.get(member)
    if since is None or not world.rules.on("leaving_takes_no_work"):
        return True
    return world.clock.monotonic() - since < LEAVING_GRACE
