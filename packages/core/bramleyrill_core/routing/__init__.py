"""Routing: which member answers a statement, and whether it is fresh enough."""

from bramleyrill_core.routing._route import Route, next_route, route
from bramleyrill_core.routing._staleness import (
    check_read,
    confirm_read,
    note_sample,
    note_status,
    staleness,
)
from bramleyrill_core.routing._tables import KnownPrimary, RoutingTables, note_primary

__all__ = [
    "KnownPrimary",
    "Route",
    "RoutingTables",
    "check_read",
    "confirm_read",
    "next_route",
    "note_primary",
    "note_sample",
    "note_status",
    "route",
    "staleness",
]
