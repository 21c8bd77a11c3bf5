"""Exhaustive exploration of one change of primary under permits.

`python -m bramleyrill_core.permits.explore` visits every state that a holder with one write and a
supervisor with one order can reach: answers that come late, a holder that is suspended between any
two of its steps, an order that takes effect at any time after it was sent. The decision of the
holder is that of `LeadEvidence`. Which VM may order is explored in `leadership.explore`.
"""

import sys
from collections import deque
from collections.abc import Iterator
from enum import Enum, auto

from attrs import evolve, frozen

from bramleyrill_core._rules import Rules
from bramleyrill_core._values import Mark
from bramleyrill_core.permits._evidence import LeadEvidence, StatusReport
from bramleyrill_core.permits._permit import wait_after_fence

OLD, SUCCESSOR, THIRD = "m1", "m2", "m3"
TERM = 1
# The supervisor's wait has two steps; a permit expires within the second one.
WAIT_STEPS = 2
STEP = wait_after_fence(Rules()) / WAIT_STEPS
# Ages are not told apart above this one; every permit has expired by then.
MAX_AGE_STEPS = WAIT_STEPS + 1


class Write(Enum):
    """Progress of the holder's write at the old primary."""

    NOT_SENT = auto()
    SENT = auto()
    COMMITTED = auto()
    COMMITTED_TOO_LATE = auto()


@frozen
class Question:
    """A question of the holder: steps since it was sent, and the answer once there is one."""

    age: int
    answer: str | bool | None = None


@frozen
class Breach:
    """A step that is left out, to show that the exploration finds what it prevents."""

    wait_steps: int = WAIT_STEPS
    fences: bool = True
    writes_record: bool = True
    clock_counts_suspension: bool = True


@frozen
class World:
    """State of the record, the successor, the holder and the supervisor.

    `waited` is the number of steps since the record and the fence were both in place. The ages are
    those of the holder's evidence on its own clock, None without evidence; `record_allows` is
    what the record said when it was read last.
    """

    ordered: bool = False
    fenced: bool = False
    waited: int | None = None
    order_sent: bool = False
    promoted: bool = False
    record_age: int | None = None
    record_allows: bool = False
    replica_age: int | None = None
    store_question: Question | None = None
    replica_question: Question | None = None
    write: Write = Write.NOT_SENT


class UnsafeError(Exception):
    """A write was acknowledged that the old primary committed after its successor was promoted."""


def explore(breach: Breach | None = None) -> int:
    """Visit all states and return their number; raise UnsafeError for an unsafe one."""
    breach = breach or Breach()
    start = World()
    visited = {start}
    queue = deque(visited)
    while queue:
        for world in _steps(queue.popleft(), breach):
            if world not in visited:
                visited.add(world)
                queue.append(world)
    return len(visited)


def _has_permit(world: World) -> bool:
    evidence = LeadEvidence()
    now = MAX_AGE_STEPS * STEP
    if world.record_age is not None:
        member = OLD if world.record_allows else SUCCESSOR
        evidence.record_order(member, now - world.record_age * STEP)
    if world.replica_age is not None:
        unfenced = StatusReport(False, TERM, Mark(TERM, 0))
        reports = {SUCCESSOR: unfenced, THIRD: unfenced}
        evidence.record_reports(OLD, TERM, reports, now - world.replica_age * STEP)
    return evidence.covers(OLD, (SUCCESSOR, THIRD), now)


def _steps(world: World, breach: Breach) -> Iterator[World]:
    yield _pass_time(world, True)
    if not breach.clock_counts_suspension:
        yield _pass_time(world, False)
    yield from _ask(world)
    yield from _write(world)
    yield from _supervise(world, breach)


def _pass_time(world: World, on_holder_clock: bool) -> World:
    """Let a step pass; a suspended holder with a wrong clock does not notice it."""
    waited = None if world.waited is None else min(world.waited + 1, MAX_AGE_STEPS)
    later = evolve(world, waited=waited)
    if not on_holder_clock:
        return later
    return evolve(
        later,
        record_age=_older(world.record_age),
        replica_age=_older(world.replica_age),
        store_question=_older_question(world.store_question),
        replica_question=_older_question(world.replica_question),
    )


def _older(age: int | None) -> int | None:
    return None if age is None else min(age + 1, MAX_AGE_STEPS)


def _older_question(question: Question | None) -> Question | None:
    return None if question is None else evolve(question, age=_older(question.age))


def _ask(world: World) -> Iterator[World]:
    """Send a question, let it be answered, or let the holder read the answer or lose it."""
    if world.store_question is None:
        yield evolve(world, store_question=Question(0))
    elif world.store_question.answer is None:
        answered = evolve(world.store_question, answer=not world.ordered)
        yield evolve(world, store_question=answered)
    else:
        done = evolve(world, store_question=None)
        yield done
        question = world.store_question
        if world.record_age is None or question.age <= world.record_age:
            yield evolve(done, record_age=question.age, record_allows=question.answer)
    if world.replica_question is None:
        yield evolve(world, replica_question=Question(0))
    elif world.replica_question.answer is None:
        unfenced = not world.fenced and not world.promoted
        yield evolve(world, replica_question=evolve(world.replica_question, answer=unfenced))
    else:
        done = evolve(world, replica_question=None)
        yield done
        age = world.replica_question.age if world.replica_question.answer else None
        yield evolve(done, replica_age=age)


def _write(world: World) -> Iterator[World]:
    """Send the write under a permit, commit it, and acknowledge it under a permit."""
    if world.write is Write.NOT_SENT:
        if _has_permit(world):
            yield evolve(world, write=Write.SENT)
    elif world.write is Write.SENT:
        late = Write.COMMITTED_TOO_LATE if world.promoted else Write.COMMITTED
        yield evolve(world, write=late)
    elif world.write is Write.COMMITTED_TOO_LATE and _has_permit(world):
        raise UnsafeError(f"a write after the promotion is acknowledged: {world}")


def _supervise(world: World, breach: Breach) -> Iterator[World]:
    """Write the record, fence the successor, wait, and send the order, which takes effect late."""
    if not world.ordered and breach.writes_record:
        yield evolve(world, ordered=True)
    if not world.fenced and breach.fences and (world.ordered or not breach.writes_record):
        yield evolve(world, fenced=True)
    prepared = (world.ordered or not breach.writes_record) and (world.fenced or not breach.fences)
    if prepared and world.waited is None:
        yield evolve(world, waited=0)
    if world.waited is not None and world.waited >= breach.wait_steps:
        yield evolve(world, order_sent=True)
    if world.order_sent:
        yield evolve(world, promoted=True)


def main() -> int:
    """Explore and print the bounds."""
    states = explore()
    print(
        f"one write, one order, a wait of {WAIT_STEPS} steps: {states} states, no write of the old "
        "term acknowledged after the promotion"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
