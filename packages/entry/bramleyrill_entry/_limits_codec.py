"""Thrift frames of the messages between a VM and the hub of a group of teams."""

from typing import Any

from bramleyrill_core.limits import Grant, Report, TeamGrant, TeamReport
from bramleyrill_wire.entries import frames

_PPB = 1_000_000_000
_MAX_COUNT = 2**31 - 1


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
        held=[_count(item.held) for item in report.teams],
        returned=[_count(item.returned) for item in report.teams],
        wanted=[_count(item.wanted) for item in report.teams],
        urgent=[_count(item.urgent) for item in report.teams],
        catalog_version=report.version,
        leaving=report.leaving,
    )


def _encode_grant(grant: Grant) -> Any:
    return frames.QuotaGrant(
        group_number=grant.group,
        stamp_us=grant.stamp_us,
        number=grant.number,
        report_stamp_us=grant.report_stamp_us,
        teams=[item.team for item in grant.teams],
        given=[_count(item.given) for item in grant.teams],
        retry_ms=[_count(item.retry_ms) for item in grant.teams],
        extended=[item.extended for item in grant.teams],
        catalog_version=grant.version,
        lent_ppb=int(grant.fraction * _PPB),
        released=grant.released,
    )


def decode_report(frame: Any) -> Report:
    """Return the report of a frame; raise ValueError or TypeError if it is malformed."""
    columns = (frame.teams, frame.held, frame.returned, frame.wanted, frame.urgent)
    rows = zip(*(column or () for column in columns), strict=True)
    return Report(
        _required(frame.group_number),
        _required(frame.stamp_us),
        frame.grant_number or 0,
        (frame.lent_ppb or 0) / _PPB,
        frame.hub_stamp_us or 0,
        tuple(TeamReport(*row) for row in rows),
        frame.catalog_version or 0,
        bool(frame.leaving),
    )


def decode_grant(frame: Any) -> Grant:
    """Return the grant of a frame; raise ValueError or TypeError if it is malformed."""
    columns = (frame.teams, frame.given, frame.retry_ms, frame.extended)
    rows = zip(*(column or () for column in columns), strict=True)
    return Grant(
        _required(frame.group_number),
        _required(frame.stamp_us),
        frame.number or 0,
        frame.report_stamp_us or 0,
        tuple(TeamGrant(*row) for row in rows),
        frame.catalog_version or 0,
        (frame.lent_ppb or 0) / _PPB,
        bool(frame.released),
    )


def _required(value: int | None) -> int:
    if value is None:
        raise ValueError("a number is missing")
    return value


def _count(value: int) -> int:
    return min(value, _MAX_COUNT)
