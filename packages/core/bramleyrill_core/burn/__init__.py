"""Service-level accounting: objectives, latencies and error-budget burn of each class."""

from bramleyrill_core.burn._latencies import Latencies
from bramleyrill_core.burn._render import to_html, to_text
from bramleyrill_core.burn._report import BurnRow, WindowCounts, merge_snapshots, report, snapshot
from bramleyrill_core.burn._tables import BurnTables, record_request

__all__ = [
    "BurnRow",
    "BurnTables",
    "Latencies",
    "WindowCounts",
    "merge_snapshots",
    "record_request",
    "report",
    "snapshot",
    "to_html",
    "to_text",
]
