"""Rows of the report by team: waits, refusals and use of members' slots."""

from datetime import timedelta
from html import escape

from attrs import frozen

_MILLISECOND = timedelta(milliseconds=1)
_COLUMNS = ("team", "asked", "refused", "wait p50", "wait p99", "slot time")


@frozen
class TeamRow:
    """Requests of a team at members: how many asked for a slot and were refused for lack of room.

    `p50` and `p99` are of the waits for a slot, and `slot_time` is how long its statements used
    slots in all.
    """

    team: str
    asked: int
    refused: int
    p50: timedelta
    p99: timedelta
    slot_time: timedelta


def teams_to_text(rows: list[TeamRow]) -> str:
    """Return the rows as a plain-text table, the most refused teams first; empty without rows."""
    if not rows:
        return ""
    lines = [f"{'team':<20}" + "".join(f"{name:>12}" for name in _COLUMNS[1:])]
    for row in _sorted(rows):
        lines.append(f"{row.team:<20}" + "".join(f"{cell:>12}" for cell in _cells(row)))
    return "\n".join(lines) + "\n"


def teams_to_html(rows: list[TeamRow]) -> str:
    """Return the rows as an HTML table; empty without rows."""
    if not rows:
        return ""
    header = "".join(f'<th scope="col">{name.capitalize()}</th>' for name in _COLUMNS)
    body = "\n".join(
        f"<tr><td>{escape(row.team)}</td>"
        + "".join(f"<td>{cell}</td>" for cell in _cells(row))
        + "</tr>"
        for row in _sorted(rows)
    )
    return (
        f"<h2>Teams</h2><table><thead><tr>{header}</tr></thead><tbody>\n{body}\n</tbody></table>\n"
    )


def _sorted(rows: list[TeamRow]) -> list[TeamRow]:
    return sorted(rows, key=lambda row: (-row.refused, -row.asked, row.team))


def _cells(row: TeamRow) -> list[str]:
    return [
        str(row.asked),
        str(row.refused),
        f"{row.p50 / _MILLISECOND:.0f}ms",
        f"{row.p99 / _MILLISECOND:.0f}ms",
        f"{row.slot_time.total_seconds():.1f}s",
    ]
