"""Exhaustive exploration of the choice of a successor: logs, lost entries, VMs that forget.

`python -m bramleyrill_core.leadership.explore_choice` visits every state that three members can
reach with a bounded number of commits and changes of primary, and prints the bounds. Members crash
and come back with their logs, lose and regain their entries while they live, and receive nothing
for any time. All VMs may be restarted, and know then what the duty's record and the entries say.
The rules under test are `choose_from` and the starts of the record.
"""

import itertools
import sys
from collections import deque
from collections.abc import Callable, Iterator

from attrs import evolve, frozen

from bramleyrill_core._values import Mark
from bramleyrill_core.leadership._lead_starts import LeadStart, starts_up_to, starts_with
from bramleyrill_core.leadership._successor import Candidate, Poll, choose_from

MEMBERS = ("m1", "m2", "m3")
MAX_COMMITS = 3
MAX_CHANGES = 2
MAX_CRASHES = 2
MAX_LOST_ENTRIES = 1
MAX_RESTARTS = 1

# An entry of a log: its term, and a number that no other entry has.
LogEntry = tuple[int, int]
Choose = Callable[[Poll], str | None]


@frozen
class Member:
    """State of a member. A replica that is `deaf` receives nothing, but answers."""

    log: tuple[LogEntry, ...] = ()
    is_up: bool = True
    is_listed: bool = True
    is_deaf: bool = False

    @property
    def mark(self) -> Mark:
        """Return the mark of the last entry."""
        return Mark(self.log[-1][0] if self.log else 1, len(self.log))


@frozen
class World:
    """State of the members, of what the VMs know, and of what callers were told.

    `known` are the members that the VMs have an entry of, or remember one of; `recorded` those that
    the duty's record names. `acknowledged` are the entries that callers were told of, and
    `given_up` those that a change of primary left behind. `counts` are the numbers of commits,
    changes, crashes, lost entries and restarts so far.
    """

    members: tuple[Member, ...] = (Member(),) * len(MEMBERS)
    primary: int = 0
    term: int = 1
    starts: tuple[LeadStart, ...] = ()
    known: frozenset[int] = frozenset(range(len(MEMBERS)))
    recorded: frozenset[int] = frozenset(range(len(MEMBERS)))
    acknowledged: frozenset[LogEntry] = frozenset()
    given_up: frozenset[LogEntry] = frozenset()
    counts: tuple[int, int, int, int, int] = (0, 0, 0, 0, 0)

    def with_member(self, index: int, **changes: object) -> "World":
        """Return the world with some state of one member replaced."""
        member = evolve(self.members[index], **changes)
        return evolve(self, members=(*self.members[:index], member, *self.members[index + 1 :]))

    def counted(self, kind: int) -> "World":
        """Return the world after one more step of a bounded kind."""
        counts = list(self.counts)
        counts[kind] += 1
        return evolve(self, counts=tuple(counts))


class UnsafeError(Exception):
    """An acknowledged commit was lost, or one that was given up came back."""


def explore(sync_replicas: int, choose: Choose = choose_from, has_record: bool = True) -> int:
    """Visit all states and return their number; raise UnsafeError for an unsafe one.

    Without `has_record` VMs that are restarted know only the members that are listed.
    """
    start = World() if has_record else World(recorded=frozenset())
    visited = {start}
    queue = deque(visited)
    while queue:
        for world in _steps(queue.popleft(), sync_replicas, choose):
            if world not in visited:
                visited.add(world)
                queue.append(world)
    return len(visited)


def _steps(world: World, sync_replicas: int, choose: Choose) -> Iterator[World]:
    commits, changes, crashes, lost_entries, restarts = world.counts
    if commits < MAX_COMMITS and world.members[world.primary].is_up:
        yield from _commit(world, sync_replicas)
    if changes < MAX_CHANGES and not world.members[world.primary].is_up:
        yield from _change(world, sync_replicas, choose)
    for index, member in enumerate(world.members):
        if member.is_up and index == world.primary and crashes < MAX_CRASHES:
            yield world.with_member(index, is_up=False).counted(2)
        if not member.is_up:
            yield from _come_back(world, index)
        if member.is_up and index != world.primary:
            yield from _change_replica(world, index, member, lost_entries)
    if restarts < MAX_RESTARTS:
        listed = {index for index, member in enumerate(world.members) if member.is_listed}
        yield evolve(world, known=frozenset(listed) | world.recorded).counted(4)


def _change_replica(world: World, index: int, member: Member, lost_entries: int) -> Iterator[World]:
    """Let a replica begin or end to receive nothing, or lose or regain its entry."""
    if member.is_deaf:
        yield _follow(world.with_member(index, is_deaf=False), index)
    else:
        yield world.with_member(index, is_deaf=True)
    if not member.is_listed:
        yield world.with_member(index, is_listed=True)
    elif lost_entries < MAX_LOST_ENTRIES:
        yield world.with_member(index, is_listed=False).counted(3)


def _commit(world: World, sync_replicas: int) -> Iterator[World]:
    """Append an entry; any of the replicas that receive get it, and enough of them confirm it."""
    entry = (world.term, world.counts[0])
    done = world.with_member(world.primary, log=(*world.members[world.primary].log, entry)).counted(
        0
    )
    receiving = [
        index
        for index, member in enumerate(world.members)
        if index != world.primary and member.is_up and not member.is_deaf
    ]
    for size in range(len(receiving) + 1):
        for receivers in itertools.combinations(receiving, size):
            after = done
            for index in receivers:
                after = _follow(after, index)
            if size >= sync_replicas:
                after = evolve(after, acknowledged=after.acknowledged | {entry})
            yield after


def _follow(world: World, index: int) -> World:
    """Give a replica the log of a primary that is up."""
    primary = world.members[world.primary]
    return world.with_member(index, log=primary.log) if primary.is_up else world


def _come_back(world: World, index: int) -> Iterator[World]:
    """Let a member that crashed come back with its log; it may receive nothing at first."""
    back = world.with_member(index, is_up=True, is_listed=True, is_deaf=index != world.primary)
    yield evolve(back, known=back.known | {index})


def _poll(world: World, sync_replicas: int) -> Poll:
    """Ask the replicas as a supervisor does: if none is synchronous, only those that are listed."""
    asked = [
        index
        for index in sorted(world.known)
        if index != world.primary and (sync_replicas or world.members[index].is_listed)
    ]
    candidates = [
        Candidate(MEMBERS[index], world.members[index].mark, world.members[index].is_listed)
        for index in asked
        if world.members[index].is_up
    ]
    unheard = [MEMBERS[index] for index in asked if not world.members[index].is_up]
    return Poll(candidates, unheard, sync_replicas, starts_up_to(world.starts, None))


def _change(world: World, sync_replicas: int, choose: Choose) -> Iterator[World]:
    """Appoint a successor of a primary that is down, if the rule names one."""
    chosen = choose(_poll(world, sync_replicas))
    if chosen is None:
        return
    index = MEMBERS.index(chosen)
    successor = world.members[index]
    left_behind = {entry for member in world.members for entry in member.log} - set(successor.log)
    _check(world, successor, sync_replicas)
    start = LeadStart(chosen, ("", index), successor.mark)
    changed = evolve(
        world,
        primary=index,
        term=world.term + 1,
        starts=starts_with(world.starts, start, None),
        given_up=world.given_up | left_behind,
        recorded=world.known if world.recorded else frozenset(),
    )
    changed = changed.with_member(index, is_deaf=False).counted(1)
    for other, member in enumerate(changed.members):
        if other != index and member.is_up and not member.is_deaf:
            changed = _follow(changed, other)
    yield changed


def _check(world: World, successor: Member, sync_replicas: int) -> None:
    if sync_replicas:
        missing = world.acknowledged - set(successor.log)
        if missing:
            raise UnsafeError(f"acknowledged commits are lost: {sorted(missing)} in {world}")
        return
    resurrected = world.given_up & world.acknowledged & set(successor.log)
    if resurrected:
        raise UnsafeError(f"commits that were given up are back: {sorted(resurrected)} in {world}")


def main() -> int:
    """Explore and print the bounds."""
    for sync_replicas in (0, 1):
        states = explore(sync_replicas)
        print(
            f"{len(MEMBERS)} members, {sync_replicas} synchronous replicas, {MAX_COMMITS} commits, "
            f"{MAX_CHANGES} changes, {MAX_CRASHES} crashes, {MAX_LOST_ENTRIES} lost entries, "
            f"{MAX_RESTARTS} restarts: {states} states, no commit lost or resurrected"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
