"""Routing: choice of the member for a statement, and staleness checks of replicas."""

from bramleyrill_core.routing._route import Route, next_route, route
from bramleyrill_core.routing._staleness import (
    check_read,
    confirm_read,
    record_sample,
    record_status,
    staleness,
)
from bramleyrill_core.routing._tables import KnownPrimary, RoutingTables, record_primary

__all__ = [
    "KnownPrimary",
    "Route",
    "RoutingTables",
    "check_read",
    "confirm_read",
    "next_route",
    "record_primary",
    "record_sample",
    "record_status",
    "route",
    "staleness",
]
