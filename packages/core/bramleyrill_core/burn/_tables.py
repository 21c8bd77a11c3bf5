"""Request counts and latencies by class, in bounded memory."""

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
# Resolution of the windows; each window is a whole number of steps.
STEP = timedelta(seconds=15)
SHORT_STEPS = SHORT_WINDOW // STEP
LONG_STEPS = LONG_WINDOW // STEP
# Each sketch covers 5 minutes: 12 for the long window, and the current one.
SKETCH_STEPS = SHORT_STEPS
# Bounds the memory: further classes share the row of OTHER_CLASSES.
MAX_CLASSES = 128
OTHER_CLASSES = WorkClass("others", "others", Rank.LEAST_URGENT)


@define(eq=False)
class ClassBurn:
    """Ring buffer with the counts of one class per step; `step` is the number of the newest one."""

    step: int
    target: timedelta
    offered: array = field(factory=lambda: array("L", bytes(8 * LONG_STEPS)))
    served: array = field(factory=lambda: array("L", bytes(8 * LONG_STEPS)))
    within_target: array = field(factory=lambda: array("L", bytes(8 * LONG_STEPS)))
    sketches: dict[int, Latencies] = field(factory=dict)

    def move_to(self, step: int) -> None:
        """Advance the ring to `step`: clear the steps in between and drop expired sketches."""
        for cleared_step in range(max(self.step + 1, step - LONG_STEPS + 1), step + 1):
            index = cleared_step % LONG_STEPS
            self.offered[index] = self.served[index] = self.within_target[index] = 0
        self.step = max(self.step, step)
        oldest = (self.step - LONG_STEPS + 1) // SKETCH_STEPS
        for key in [key for key in self.sketches if key < oldest]:
            del self.sketches[key]

    def add(self, step: int, latency: timedelta, served: bool) -> None:
        """Count one request that ended in `step`."""
        if step > self.step:
            self.move_to(step)
        index = step % LONG_STEPS
        self.offered[index] += 1
        if not served:
            return
        self.served[index] += 1
        if latency <= self.target:
            self.within_target[index] += 1
        key = step // SKETCH_STEPS
        sketch = self.sketches.get(key)
        if sketch is None:
            sketch = self.sketches[key] = Latencies()
        sketch.add(latency)

    def totals(self, steps: int) -> tuple[int, int, int]:
        """Return the (offered, served, within target) counts over the last `steps` steps."""
        indexes = [(self.step - age) % LONG_STEPS for age in range(steps)]
        return (
            sum(self.offered[index] for index in indexes),
            sum(self.served[index] for index in indexes),
            sum(self.within_target[index] for index in indexes),
        )


@define
class BurnTables:
    """Counts by class."""

    classes: dict[WorkClass, ClassBurn] = field(factory=dict)


def current_step(world: World) -> int:
    """Return the number of the current step since boot."""
    return world.clock.monotonic() // STEP


def policy_of(world: World, work_class: WorkClass) -> RankPolicy | None:
    """Return the policy of a class, or None if the text has no such class."""
    fleet = world.text.fleets.get(work_class.fleet)
    service = fleet.services.get(work_class.service) if fleet is not None else None
    return service.ranks.get(work_class.rank) if service is not None else None


def record_request(world: World, work_class: WorkClass, latency: timedelta, served: bool) -> None:
    """Count one request of a class with its latency and whether it was served.

    A request that the proxy refused or whose outcome is unknown is not served. An error that the
    upstream answered with counts as served.
    """
    classes = world.tables(BurnTables).classes
    row = classes.get(work_class)
    if row is None:
        if len(classes) >= MAX_CLASSES - 1:
            work_class = OTHER_CLASSES
        row = classes.get(work_class)
    if row is None:
        policy = policy_of(world, work_class)
        target = policy.target if policy is not None else timedelta(seconds=1)
        row = classes[work_class] = ClassBurn(current_step(world), target)
    row.add(current_step(world), latency, served)
