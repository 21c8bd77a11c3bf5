"""Members that are leaving, and when they stop getting new work."""

from datetime import timedelta

from attrs import define, field

from bramleyrill_core._core import system
from bramleyrill_core._values import MemberId
from bramleyrill_core._world import World
from bramleyrill_core.text import EMPTY_TEXT, Text

# New work must stop within 3 s after the leaving flag is in force. A leaving primary needs most of
# that time for the planned change of the primary; the rest covers a late tick.
LEAVING_GRACE = timedelta(milliseconds=2500)


@define
class LeavingTables:
    """When this VM first saw that a member of the text in force is leaving, by member."""

    leaving_since: dict[MemberId, timedelta] = field(factory=dict)
    text: Text = EMPTY_TEXT


@system("leaving", order=15)
def update_leaving(world: World) -> None:
    """Update the leaving members after a change of the text."""
    tables = world.tables(LeavingTables)
    if tables.text is world.text:
        return
    tables.text = world.text
    now = world.clock.monotonic()
    tables.leaving_since = {
        member.id: tables.leaving_since.get(member.id, now)
        for database in world.text.databases.values()
        for member in database.members
        if member.leaving
    }


def accepts_new_work(world: World, member: MemberId) -> bool:
    """Return whether `member` accepts new work: not after it has been leaving for 2.5 s."""
    tables = world.tables(LeavingTables)
    if tables.text is not world.text:
        update_leaving(world)
    leaving_since = tables.leaving_since.get(member)
    if leaving_since is None or not world.rules.on("leaving_takes_no_work"):
        return True
    return world.clock.monotonic() - leaving_since < LEAVING_GRACE
