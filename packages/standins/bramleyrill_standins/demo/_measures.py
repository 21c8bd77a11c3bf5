"""Measures that the demo prints."""

from datetime import timedelta

from attrs import define, field

from bramleyrill_standins.callers import History, Outcome
from bramleyrill_standins.processes import Group


@define
class Measures:
    """The four measures of one fleet.

    `failover_gap` is in seconds. The others are shares. `within_target` has by rank the requests
    answered within the target during the flood, `rate_kept` the rate of answers during the flood
    relative to the rate before it.
    """

    replica_share: float = 0.0
    failover_gap: float = 0.0
    within_target: dict[str, float] = field(factory=dict)
    rate_kept: dict[str, float] = field(factory=dict)


def replica_share(group: Group, before: dict[str, int]) -> float:
    """Return the share of reads that replicas served since `before`."""
    primary = group.primary()
    served = {name: count - before.get(name, 0) for name, count in reads_by_member(group).items()}
    total = sum(served.values())
    return (total - served[primary]) / total if total else 0.0


def reads_by_member(group: Group) -> dict[str, int]:
    """Return the number of reads that each running member has served."""
    return {
        name: group.state(name)["counters"]["reads"]
        for name in group.names
        if group.processes[name].exit_code is None
    }


def answered_since(history: History, since: float) -> int:
    """Return the number of requests answered after `since`."""
    return sum(event.ended > since for event in [*history.reads, *history.acknowledged_writes()])


def share_within(history: History, target: timedelta) -> float:
    """Return the share of all requests, failed ones included, answered within the target."""
    answered = [read.ended - read.started for read in history.reads]
    answered += [
        write.ended - write.started
        for write in history.writes
        if write.outcome is Outcome.ACKNOWLEDGED
    ]
    total = len(history.writes) + len(history.reads) + sum(history.failed_reads.values())
    within = sum(latency <= target.total_seconds() for latency in answered)
    return within / total if total else 0.0


def format_table(measures: dict[str, Measures]) -> str:
    """Return the measures of all fleets as a text table."""
    rows = [("measure", *measures)]
    rows.append(
        ("reads served by replicas", *(_format_percent(m.replica_share) for m in measures.values()))
    )
    rows.append(
        (
            "longest time without writes in the failover",
            *(f"{m.failover_gap:.1f} s" for m in measures.values()),
        )
    )
    rows.append(
        (
            "answered within target during the flood",
            *(_format_ranks(m.within_target) for m in measures.values()),
        )
    )
    rows.append(
        (
            "rate during the flood relative to before",
            *(_format_ranks(m.rate_kept) for m in measures.values()),
        )
    )
    widths = [max(len(row[index]) for row in rows) for index in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
    lines.insert(1, "  ".join("-" * width for width in widths))
    return "\n".join(lines)


def _format_percent(share: float) -> str:
    return f"{share * 100:.0f}%"


def _format_ranks(shares: dict[str, float]) -> str:
    return ", ".join(f"{rank} {_format_percent(share)}" for rank, share in shares.items())
