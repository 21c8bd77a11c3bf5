"""Slopes: marginal cost of a session, statement, member or VM, measured on the real code."""

from bramleyrill_cli.slopes import _configuration, _control, _membership, _processes, _sessions
from bramleyrill_cli.slopes._capacity import fill_page, slope_table, target_table
from bramleyrill_cli.slopes._measure import (
    Point,
    Slope,
    fit_line,
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
    "fill_page",
    "fit_line",
    "measure_memory",
    "measure_time",
    "slope_table",
    "slopes_by_name",
    "target_table",
]
