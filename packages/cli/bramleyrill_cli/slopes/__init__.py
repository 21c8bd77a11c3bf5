"""Slopes: what one more session, statement, member or VM costs, measured on the real code."""

from bramleyrill_cli.slopes import _configuration, _control, _membership, _processes, _sessions
from bramleyrill_cli.slopes._measure import (
    Point,
    Slope,
    fit,
    measure_memory,
    measure_time,
    slopes_by_name,
)

__all__ = [
    "Point",
    "Slope",
    "_configuration",
    "_control",
    "_membership",
    "_processes",
    "_sessions",
    "fit",
    "measure_memory",
    "measure_time",
    "slopes_by_name",
]
