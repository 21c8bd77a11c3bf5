"""Team rows of the burn report, computed from the metrics of entry VMs."""

from collections import Counter
from datetime import timedelta

from attrs import define, field
from bramleyrill_core.burn import TeamRow
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from bramleyrill_cli._histogram import quantile_of


@define(eq=False)
class _TeamCounts:
    """Counts of one team, summed over VMs; `by_bound` holds cumulative histogram buckets."""

    asked: float = 0.0
    refused: float = 0.0
    slot_time_s: float = 0.0
    by_bound: Counter = field(factory=Counter)


def team_rows_from_metrics(texts: list[str]) -> list[TeamRow]:
    """Return a row for each team in the metrics of several VMs, the sum of small ones included.

    Example: `team_rows_from_metrics([read_metrics("vm1.prom")])[0].refused`.
    """
    counts_by_team: dict[str, _TeamCounts] = {}
    for text in texts:
        for family in text_string_to_metric_families(text):
            if family.name.startswith("bramleyrill_team_"):
                for sample in family.samples:
                    team = sample.labels["team"]
                    _add_sample(counts_by_team.setdefault(team, _TeamCounts()), sample)
    return [_row(team, counts) for team, counts in counts_by_team.items() if counts.asked]


def _add_sample(counts: _TeamCounts, sample: Sample) -> None:
    if sample.name == "bramleyrill_team_wait_seconds_bucket":
        counts.by_bound[float(sample.labels["le"])] += sample.value
    elif sample.name == "bramleyrill_team_wait_seconds_count":
        counts.asked += sample.value
    elif sample.name == "bramleyrill_team_refused_total":
        counts.refused += sample.value
    elif sample.name == "bramleyrill_team_slot_seconds_total":
        counts.slot_time_s += sample.value


def _row(team: str, counts: _TeamCounts) -> TeamRow:
    return TeamRow(
        team,
        int(counts.asked),
        int(counts.refused),
        quantile_of(counts.by_bound, 0.5),
        quantile_of(counts.by_bound, 0.99),
        timedelta(seconds=counts.slot_time_s),
    )
