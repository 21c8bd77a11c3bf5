"""Reports of service levels: rows, and snapshots that merge over several VMs."""

from datetime import timedelta

from attrs import frozen

from bramleyrill_core._values import Rank
from bramleyrill_core._world import World
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.burn._latencies import Latencies
from bramleyrill_core.burn._tables import (
    SHORT_STEPS,
    STEPS,
    BurnTables,
    ClassBurn,
    current_step,
    policy_of,
)

_QUANTILES = (0.5, 0.99)


@frozen
class WindowCounts:
    """Requests of one window: all that ended, those served, those served within the target."""

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
        """Return the share within the target; 1 when nothing was asked."""
        return self.within_target / self.offered if self.offered else 1.0


@frozen
class BurnRow:
    """One class: its promise and what came of it over 5 minutes and over 1 hour.

    A burn rate of 1 spends the budget exactly; `budget_left` is the part of the hour's budget
    that is not spent, negative once it is overdrawn. `p50` and `p99` are of served requests.
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
        return _burn(self.short, self.objective)

    @property
    def long_burn(self) -> float:
        """Return the burn rate over 1 hour."""
        return _burn(self.long, self.objective)

    @property
    def budget_left(self) -> float:
        """Return the share of the hour's budget that is left."""
        return 1.0 - self.long_burn


# An objective of 1 leaves no budget; the rate is then relative to one request in 10,000.
_LEAST_BUDGET = 1e-4


def _burn(counts: WindowCounts, objective: float) -> float:
    return (1.0 - counts.share) / max(1.0 - objective, _LEAST_BUDGET)


def report(world: World) -> list[BurnRow]:
    """Return one row for each class that had work within the last hour, by fleet and rank."""
    return rows_of([snapshot(world)])


def snapshot(world: World) -> dict:
    """Return this VM's counts in a form of plain JSON values, to be collected and merged."""
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
                "long": row.totals(STEPS),
                "latencies": _merged(row).to_pairs(),
            }
        )
        if policy is not None:
            row.target = policy.target
    return {"vm": world.identity.id, "classes": classes}


def _merged(row: ClassBurn) -> Latencies:
    merged = Latencies()
    for latencies in row.sketches.values():
        merged.merge(latencies)
    return merged


def rows_of(snapshots: list[dict]) -> list[BurnRow]:
    """Return the rows of the snapshots of several VMs, merged by class.

    Targets and objectives are those of the first snapshot that has the class.
    """
    found: dict[WorkClass, BurnRow] = {}
    sketches: dict[WorkClass, Latencies] = {}
    for item in (item for one in snapshots for item in one["classes"]):
        key = WorkClass(item["fleet"], item["service"], Rank(item["rank"]))
        short, long = WindowCounts(*item["short"]), WindowCounts(*item["long"])
        sketch = Latencies.from_pairs(item["latencies"])
        known = found.get(key)
        if known is not None:
            short, long = known.short.plus(short), known.long.plus(long)
            sketches[key].merge(sketch)
            sketch = sketches[key]
            item = item | {"target_ms": known.target / timedelta(milliseconds=1)}
        sketches[key] = sketch
        p50, p99 = (sketch.quantile(share) for share in _QUANTILES)
        found[key] = BurnRow(
            key,
            timedelta(milliseconds=item["target_ms"]),
            known.objective if known else item["objective"],
            short,
            long,
            p50,
            p99,
        )
    return [found[key] for key in sorted(found) if found[key].long.offered]
