"""Counts and latencies of served work, in bounded memory."""

from array import array
from datetime import timedelta

from attrs import define, field

from bramleyrill_core._values import Rank
from bramleyrill_core._world import World
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.burn._latencies import Latencies
from bramleyrill_core.text import RankPolicy

SHORT_WINDOW = timedelta(minutes=5)
LONG_WINDOW = timedelta(hours=1)
# Counts move on in steps of 15 s; both windows are whole numbers of steps.
STEP = timedelta(seconds=15)
SHORT_STEPS = SHORT_WINDOW // STEP
STEPS = LONG_WINDOW // STEP
# Latencies are kept per 5 minutes: 12 sketches for the long window and the one being filled.
SKETCH_STEPS = SHORT_STEPS
# Classes beyond this number share one row, so that names cannot fill the memory.
CLASSES_LIMIT = 128
OTHERS = WorkClass("others", "others", Rank.LEAST_URGENT)


@define(eq=False)
class ClassBurn:
    """Counts of one class in a ring of steps; `step` is the newest one, counted from boot."""

    step: int
    target: timedelta
    offered: array = field(factory=lambda: array("L", bytes(8 * STEPS)))
    served: array = field(factory=lambda: array("L", bytes(8 * STEPS)))
    within: array = field(factory=lambda: array("L", bytes(8 * STEPS)))
    sketches: dict[int, Latencies] = field(factory=dict)

    def move_to(self, step: int) -> None:
        """Clear the steps that passed since the newest one."""
        for passed in range(max(self.step + 1, step - STEPS + 1), step + 1):
            slot = passed % STEPS
            self.offered[slot] = self.served[slot] = self.within[slot] = 0
        self.step = max(self.step, step)
        oldest = (self.step - STEPS + 1) // SKETCH_STEPS
        for key in [key for key in self.sketches if key < oldest]:
            del self.sketches[key]

    def add(self, step: int, latency: timedelta, served: bool) -> None:
        """Count one request that ended in `step`."""
        if step > self.step:
            self.move_to(step)
        slot = step % STEPS
        self.offered[slot] += 1
        if not served:
            return
        self.served[slot] += 1
        if latency <= self.target:
            self.within[slot] += 1
        key = step // SKETCH_STEPS
        sketch = self.sketches.get(key)
        if sketch is None:
            sketch = self.sketches[key] = Latencies()
        sketch.add(latency)

    def totals(self, steps: int) -> tuple[int, int, int]:
        """Return offered, served and within target over the last `steps`."""
        slots = [(self.step - back) % STEPS for back in range(steps)]
        return (
            sum(self.offered[slot] for slot in slots),
            sum(self.served[slot] for slot in slots),
            sum(self.within[slot] for slot in slots),
        )


@define
class BurnTables:
    """One row per class."""

    classes: dict[WorkClass, ClassBurn] = field(factory=dict)


def current_step(world: World) -> int:
    """Return the number of the present step."""
    return world.clock.monotonic() // STEP


def policy_of(world: World, work_class: WorkClass) -> RankPolicy | None:
    """Return what the text promises to a class, or None if the text does not have it."""
    fleet = world.text.fleets.get(work_class.fleet)
    service = fleet.services.get(work_class.service) if fleet is not None else None
    return service.ranks.get(work_class.rank) if service is not None else None


def record(world: World, work_class: WorkClass, latency: timedelta, served: bool) -> None:
    """Count one request of a class: its latency, and whether it was served.

    Requests that the proxy refused or whose outcome is unknown are not served. Errors that the
    upstream answered with count as served.
    """
    classes = world.tables(BurnTables).classes
    row = classes.get(work_class)
    if row is None:
        if len(classes) >= CLASSES_LIMIT - 1:
            work_class = OTHERS
        row = classes.get(work_class)
    if row is None:
        policy = policy_of(world, work_class)
        target = policy.target if policy is not None else timedelta(seconds=1)
        row = classes[work_class] = ClassBurn(current_step(world), target)
    row.add(current_step(world), latency, served)
