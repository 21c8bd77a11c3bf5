"""Service-level accounting: objectives, latencies and error-budget burn of each class."""

from bramleyrill_core.burn._latencies import Latencies
from bramleyrill_core.burn._render import to_html, to_text
from bramleyrill_core.burn._report import BurnRow, WindowCounts, merge_snapshots, report, snapshot
from bramleyrill_core.burn._tables import BurnTables, record_request
from bramleyrill_core.burn._teams import TeamRow, teams_to_html, teams_to_text

__all__ = [
    "BurnRow",
    "BurnTables",
    "Latencies",
    "TeamRow",
    "WindowCounts",
    "merge_snapshots",
    "record_request",
    "report",
    "snapshot",
    "teams_to_html",
    "teams_to_text",
    "to_html",
    "to_text",
]
