"""Service-level accounting: what each class was promised and what it got."""

from bramleyrill_core.burn._latencies import Latencies
from bramleyrill_core.burn._render import to_html, to_text
from bramleyrill_core.burn._report import BurnRow, WindowCounts, report, rows_of, snapshot
from bramleyrill_core.burn._tables import BurnTables, record

__all__ = [
    "BurnRow",
    "BurnTables",
    "Latencies",
    "WindowCounts",
    "record",
    "report",
    "rows_of",
    "snapshot",
    "to_html",
    "to_text",
]
