"""Burn reports as text and as a self-contained HTML page."""

from collections.abc import Sequence
from datetime import datetime, timedelta
from html import escape

from bramleyrill_core.burn._report import BurnRow
from bramleyrill_core.burn._teams import TeamRow, teams_to_html

_MILLISECOND = timedelta(milliseconds=1)
# Burn rates that spend the budget of an hour in 5 minutes, and in exactly one hour.
_FAST_BURN_RATE = 12.0
_SUSTAINABLE_BURN_RATE = 1.0
_BAR_WIDTH_PX = 160

_STYLE = """
:root { color-scheme: light dark; }
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 72rem; padding: 0 1rem; }
table { border-collapse: collapse; width: 100%; }
caption { text-align: left; padding-bottom: .75rem; }
th, td { padding: .4rem .6rem; text-align: right; border-bottom: 1px solid #8886; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
.good { color: #18794e; } .warn { color: #9a6700; } .bad { color: #c2262e; font-weight: 600; }
@media (prefers-color-scheme: dark) {
  .good { color: #4cc38a; } .warn { color: #f1a10d; } .bad { color: #ff6369; }
}
svg { vertical-align: middle; }
"""


def to_text(rows: list[BurnRow]) -> str:
    """Return the rows as a plain-text table with one line per class."""
    header = (
        f"{'fleet':<12}{'service':<18}{'rank':<14}{'target':>9}{'goal':>8}{'asked':>10}"
        f"{'served':>10}{'in target':>11}{'p50':>10}{'p99':>10}{'burn 5m':>9}{'burn 1h':>9}"
        f"{'budget':>8}"
    )
    lines = [header]
    for row in rows:
        work_class = row.work_class
        lines.append(
            f"{work_class.fleet:<12}{work_class.service:<18}{work_class.rank.name.lower():<14}"
            f"{row.target / _MILLISECOND:>7.0f}ms{row.objective:>8.1%}{row.long.offered:>10}"
            f"{row.long.served:>10}{row.long.share:>11.2%}{row.p50 / _MILLISECOND:>8.1f}ms"
            f"{row.p99 / _MILLISECOND:>8.1f}ms{row.short_burn:>9.2f}{row.long_burn:>9.2f}"
            f"{row.budget_left:>8.0%}"
        )
    return "\n".join(lines) + "\n"


def to_html(rows: list[BurnRow], at: datetime, vms: int = 1, teams: Sequence[TeamRow] = ()) -> str:
    """Return a page without external resources; `vms` is the number of VMs in the report."""
    body = "\n".join(_to_row(row) for row in rows)
    timestamp = escape(at.isoformat(timespec="seconds"))
    columns = "Fleet|Service|Rank|Target|Goal|Asked|Served|In target, 1 h|p50|p99|Burn 5 min|"
    header_cells = "".join(
        f'<th scope="col">{name}</th>' for name in f"{columns}Burn 1 h".split("|")
    )
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width, initial-scale=1">'
        f"<title>Service by rank</title><style>{_STYLE}</style></head><body>"
        f"<h1>Service by rank</h1><table><caption>At {timestamp}, from {vms} VM(s). "
        "A burn rate of 1 spends the budget of the hour exactly; the line in each bar is the goal."
        "</caption>"
        f"<thead><tr>{header_cells}</tr></thead><tbody>\n{body}\n</tbody></table>{teams_to_html(list(teams))}"
        "</body></html>\n"
    )


def _to_row(row: BurnRow) -> str:
    work_class = row.work_class
    cells = [
        escape(work_class.fleet),
        escape(work_class.service),
        work_class.rank.name.lower().replace("_", " "),
        f"{row.target / _MILLISECOND:.0f} ms",
        f"{row.objective:.1%}",
        str(row.long.offered),
        str(row.long.served),
        f"{_bar(row)} {row.long.share:.2%}",
        f"{row.p50 / _MILLISECOND:.1f} ms",
        f"{row.p99 / _MILLISECOND:.1f} ms",
        _rate_cell(row.short_burn),
        _rate_cell(row.long_burn),
    ]
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def _rate_cell(rate: float) -> str:
    css_class = (
        "bad" if rate >= _FAST_BURN_RATE else "warn" if rate > _SUSTAINABLE_BURN_RATE else "good"
    )
    return f'<span class="{css_class}">{rate:.2f}</span>'


def _bar(row: BurnRow) -> str:
    """Return a bar of the share within the target, with a line at the goal."""
    width = _BAR_WIDTH_PX * row.long.share
    goal = _BAR_WIDTH_PX * row.objective
    css_class = "good" if row.long.share >= row.objective else "bad"
    return (
        f'<svg width="{_BAR_WIDTH_PX}" height="12" role="img" aria-label="'
        f'{row.long.share:.2%} within target, goal {row.objective:.1%}">'
        f'<rect width="{_BAR_WIDTH_PX}" height="12" fill="#8884"/>'
        f'<rect class="{css_class}" width="{width:.1f}" height="12" fill="currentColor"/>'
        f'<line x1="{goal:.1f}" x2="{goal:.1f}" y1="0" y2="12" stroke="currentColor"/></svg>'
    )
