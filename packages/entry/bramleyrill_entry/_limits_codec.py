"""Thrift frames of the messages between a VM and the hub of a group of teams."""

from collections.abc import Iterable, Iterator
from typing import Any

from bramleyrill_core.limits import Grant, Report, TeamGrant, TeamReport
from bramleyrill_wire.entries import frames

_PPB = 1_000_000_000
# Larger counts are sent as this one; a VM holds no more tokens of a team than it can report.
_MAX_COUNT = 2**15 - 1


def encode_quota(message: Report | Grant) -> Any:
    """Return the frame of a message."""
    return _encode_report(message) if isinstance(message, Report) else _encode_grant(message)


def _encode_report(report: Report) -> Any:
    return frames.QuotaReport(
        group_number=report.group,
        stamp_us=report.stamp_us,
        grant_number=report.grant_number,
        # Rounded down, so that the fractions of all VMs do not exceed the whole.
        lent_ppb=int(report.lent * _PPB),
        hub_stamp_us=report.hub_stamp_us,
        teams=[item.team for item in report.teams],
        held=_column(item.held for item in report.teams),
        returned=_column(item.returned for item in report.teams),
        wanted=_column(item.wanted for item in report.teams),
        urgent=_column(item.urgent for item in report.teams),
        catalog_version=report.version,
        leaving=report.leaving or None,
        partial=report.partial or None,
    )


def _encode_grant(grant: Grant) -> Any:
    return frames.QuotaGrant(
        group_number=grant.group,
        stamp_us=grant.stamp_us,
        number=grant.number,
        report_stamp_us=grant.report_stamp_us,
        teams=[item.team for item in grant.teams],
        given=_column(item.given for item in grant.teams),
        retry_ms=_column(item.retry_ms for item in grant.teams),
        not_extended=_column(not item.extended for item in grant.teams),
        catalog_version=grant.version,
        lent_ppb=int(grant.fraction * _PPB),
        released=grant.released or None,
    )


def decode_report(frame: Any) -> Report:
    """Return the report of a frame; raise ValueError or TypeError if it is malformed."""
    rows = _rows(frame.teams, frame.held, frame.returned, frame.wanted, frame.urgent)
    return Report(
        _required(frame.group_number),
        _required(frame.stamp_us),
        frame.grant_number or 0,
        (frame.lent_ppb or 0) / _PPB,
        frame.hub_stamp_us or 0,
        tuple(TeamReport(*row) for row in rows),
        frame.catalog_version or 0,
        bool(frame.leaving),
        bool(frame.partial),
    )


def decode_grant(frame: Any) -> Grant:
    """Return the grant of a frame; raise ValueError or TypeError if it is malformed."""
    rows = _rows(frame.teams, frame.given, frame.retry_ms, frame.not_extended)
    return Grant(
        _required(frame.group_number),
        _required(frame.stamp_us),
        frame.number or 0,
        frame.report_stamp_us or 0,
        tuple(TeamGrant(team, given, ms, not lapses) for team, given, ms, lapses in rows),
        frame.catalog_version or 0,
        (frame.lent_ppb or 0) / _PPB,
        bool(frame.released),
    )


def _required(value: int | None) -> int:
    if value is None:
        raise ValueError("a number is missing")
    return value


def _column(values: Iterable[int]) -> list[int] | None:
    """Return the counts of a column, or None if all are 0."""
    counts = [min(value, _MAX_COUNT) for value in values]
    return counts if any(counts) else None


def _rows(teams: list[int] | None, *columns: list[int] | None) -> Iterator[tuple[int, ...]]:
    """Return the rows of parallel columns; raise ValueError if their lengths differ."""
    keys = teams or []
    return zip(keys, *(column or [0] * len(keys) for column in columns), strict=True)
