"""Service-level reports, and snapshots that can be merged across VMs."""

from datetime import timedelta

from attrs import frozen

from bramleyrill_core._values import Rank
from bramleyrill_core._world import World
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.burn._latencies import Latencies
from bramleyrill_core.burn._tables import (
    LONG_STEPS,
    SHORT_STEPS,
    BurnTables,
    ClassBurn,
    current_step,
    policy_of,
)

_QUANTILES = (0.5, 0.99)


@frozen
class WindowCounts:
    """Numbers of requests in one window: completed, served, and served within the target."""

    offered: int = 0
    served: int = 0
    within_target: int = 0

    def plus(self, other: "WindowCounts") -> "WindowCounts":
        """Return the sum of both."""
        return WindowCounts(
            self.offered + other.offered,
            self.served + other.served,
            self.within_target + other.within_target,
        )

    @property
    def share(self) -> float:
        """Return the share of requests served within the target; 1 without requests."""
        return self.within_target / self.offered if self.offered else 1.0


@frozen
class BurnRow:
    """Objective of one class, and its results over 5 minutes (`short`) and 1 hour (`long`).

    A burn rate of 1 spends the error budget exactly. `budget_left` is the unspent part of the
    hour's budget, which is negative if more was spent. `p50` and `p99` cover served requests only.
    """

    work_class: WorkClass
    target: timedelta
    objective: float
    short: WindowCounts
    long: WindowCounts
    p50: timedelta
    p99: timedelta

    @property
    def short_burn(self) -> float:
        """Return the burn rate over 5 minutes."""
        return _burn_rate(self.short, self.objective)

    @property
    def long_burn(self) -> float:
        """Return the burn rate over 1 hour."""
        return _burn_rate(self.long, self.objective)

    @property
    def budget_left(self) -> float:
        """Return the unspent share of the hour's budget."""
        return 1.0 - self.long_burn


# An objective of 1 leaves no budget; the burn rate then assumes a budget of 1 in 10,000 requests.
_MIN_BUDGET = 1e-4


def _burn_rate(counts: WindowCounts, objective: float) -> float:
    return (1.0 - counts.share) / max(1.0 - objective, _MIN_BUDGET)


def report(world: World) -> list[BurnRow]:
    """Return a row for each class with requests in the last hour, by fleet, service and rank."""
    return merge_snapshots([snapshot(world)])


def snapshot(world: World) -> dict:
    """Return this VM's counts as plain JSON values for `merge_snapshots`."""
    step = current_step(world)
    classes = []
    for work_class, row in world.tables(BurnTables).classes.items():
        row.move_to(step)
        policy = policy_of(world, work_class)
        classes.append(
            {
                "fleet": work_class.fleet,
                "service": work_class.service,
                "rank": int(work_class.rank),
                "target_ms": (policy.target if policy else row.target) / timedelta(milliseconds=1),
                "objective": policy.objective if policy else 0.99,
                "short": row.totals(SHORT_STEPS),
                "long": row.totals(LONG_STEPS),
                "latencies": _merge_sketches(row).to_pairs(),
            }
        )
        if policy is not None:
            row.target = policy.target
    return {"vm": world.identity.id, "classes": classes}


def _merge_sketches(row: ClassBurn) -> Latencies:
    merged = Latencies()
    for latencies in row.sketches.values():
        merged.merge(latencies)
    return merged


def merge_snapshots(snapshots: list[dict]) -> list[BurnRow]:
    """Merge the snapshots of several VMs by class and return a row for each class.

    The target and objective of a class are those of the first snapshot that contains it.
    """
    rows: dict[WorkClass, BurnRow] = {}
    sketches: dict[WorkClass, Latencies] = {}
    for entry in (entry for one_snapshot in snapshots for entry in one_snapshot["classes"]):
        work_class = WorkClass(entry["fleet"], entry["service"], Rank(entry["rank"]))
        short, long = WindowCounts(*entry["short"]), WindowCounts(*entry["long"])
        sketch = Latencies.from_pairs(entry["latencies"])
        earlier_row = rows.get(work_class)
        if earlier_row is not None:
            short, long = earlier_row.short.plus(short), earlier_row.long.plus(long)
            sketches[work_class].merge(sketch)
            sketch = sketches[work_class]
            entry = entry | {"target_ms": earlier_row.target / timedelta(milliseconds=1)}
        sketches[work_class] = sketch
        p50, p99 = (sketch.quantile(share) for share in _QUANTILES)
        rows[work_class] = BurnRow(
            work_class,
            timedelta(milliseconds=entry["target_ms"]),
            earlier_row.objective if earlier_row else entry["objective"],
            short,
            long,
            p50,
            p99,
        )
    return [rows[work_class] for work_class in sorted(rows) if rows[work_class].long.offered]
