"""Exhaustive exploration of lends and grants between two hubs and three other VMs.

`python -m bramleyrill_core.limits.explore` visits every state that two VMs that lend a fraction of
a limit, one VM that asks for tokens and two hubs can reach: messages that are late, lost or
repeated, restarts of each, and pauses, since every party may let time pass before its next step.
When a lender may lend is decided by `Loan`; which hub it chooses is left open, so that the VMs may
have any views.

In each state a fraction must accrue at one hub at most, and all tokens that could still be used
must not exceed what the lent fractions may hold. Both together bound each window: what runs in it
was unused at its start or has accrued since.
"""

import sys
from collections import deque
from collections.abc import Iterator

from attrs import evolve, frozen

from bramleyrill_core.limits._lender import Loan
from bramleyrill_core.limits._terms import LOCK

HUBS = ("a", "b")
# The other one only accrues: its tokens count as usable too, and it differs in nothing else.
GRANTING_HUB = "a"
LENDERS = (0, 1)
# The lives of a lend, a grant and a lock in steps; the step that has begun counts as a whole.
LEND_STEPS = 2
GRANT_STEPS = 1
LOCK_STEPS = LEND_STEPS + GRANT_STEPS
STEP = LOCK / LOCK_STEPS
# Unused tokens that the whole of the limit may hold; each lender owns its half.
STOCK = 2
# Age of a hub's time stamp up to which a lender may return it; later ones lend for no time.
MAX_STAMP_AGE = LEND_STEPS - 1


@frozen
class Breach:
    """A rule that is left out, to show that the exploration finds what it prevents."""

    lock_steps: int = LOCK_STEPS
    waits_after_restart: bool = True
    counts_from_stamp: bool = True
    numbers_grants: bool = True
    counts_outstanding: bool = True


@frozen(cache_hash=True)
class LendMessage:
    """A lend on its way, with the age of the hub's time stamp in it."""

    hub: str
    age: int


@frozen(cache_hash=True)
class Lender:
    """The hub that is lent to, the steps until another may be, and a lend on its way."""

    hub: str | None = None
    locked: int = 0
    message: LendMessage | None = None


@frozen(cache_hash=True)
class Tokens:
    """Tokens on their way or at the VM that asks, and the steps for which they can be used."""

    count: int
    left: int


@frozen(cache_hash=True)
class HubState:
    """What a hub has been lent, by lender in steps, its tokens, and what it counts at the VM.

    `grant` is a grant on its way or delivered that a network may still repeat, `arrived` whether
    the VM has accepted it, and `at_vm` what the VM holds of this hub.
    """

    lends: tuple[int, ...] = (0, 0)
    tokens: int = 0
    counted: Tokens | None = None
    grant: Tokens | None = None
    arrived: bool = False
    at_vm: Tokens | None = None

    @property
    def room(self) -> int:
        """Return how many tokens the lent fractions may hold."""
        return sum(left > 0 for left in self.lends) * STOCK // len(LENDERS)


@frozen(cache_hash=True)
class World:
    """State of the lenders and of the hubs with the VM that asks them."""

    lenders: tuple[Lender, ...] = (Lender(), Lender())
    hubs: tuple[HubState, ...] = (HubState(), HubState())


class UnsafeError(Exception):
    """A fraction is used twice, or there are more tokens than the limit may hold."""


def explore(breach: Breach | None = None) -> int:
    """Visit all states and return their number; raise UnsafeError for an unsafe one."""
    breach = breach or Breach()
    start = World()
    visited = {start}
    queue = deque(visited)
    while queue:
        for reached in _steps(queue.popleft(), breach):
            world = _in_order(reached)
            if world not in visited:
                _check(world)
                visited.add(world)
                queue.append(world)
    return len(visited)


def _in_order(world: World) -> World:
    """Return the world with its lenders in a fixed order; they differ in nothing else."""
    first, second = (_order_key(world, index) for index in LENDERS)
    if first <= second:
        return world
    hubs = tuple(evolve(hub, lends=hub.lends[::-1]) for hub in world.hubs)
    return World(world.lenders[::-1], hubs)


def _order_key(world: World, index: int) -> tuple:
    lender = world.lenders[index]
    message = lender.message
    sent = ("", 0) if message is None else (message.hub, message.age)
    return lender.hub or "", lender.locked, sent, [hub.lends[index] for hub in world.hubs]


def _check(world: World) -> None:
    for lender in LENDERS:
        if sum(hub.lends[lender] > 0 for hub in world.hubs) > 1:
            raise UnsafeError(f"both hubs use the fraction of lender {lender}: {world}")
    usable = sum(
        hub.tokens + _usable(hub.at_vm) + (0 if hub.arrived else _usable(hub.grant))
        for hub in world.hubs
    )
    if usable > STOCK:
        raise UnsafeError(f"{usable} tokens can be used: {world}")


def _usable(tokens: Tokens | None) -> int:
    return 0 if tokens is None else tokens.count


def _steps(world: World, breach: Breach) -> Iterator[World]:
    yield _pass_time(world, breach)
    for index in LENDERS:
        for lender, hub_name, left in _lender_steps(world.lenders[index], breach):
            changed = evolve(world, lenders=_replaced(world.lenders, index, lender))
            yield changed if hub_name is None else _lend(changed, hub_name, index, left)
    for index, name in enumerate(HUBS):
        if name == GRANTING_HUB:
            for hub in _hub_steps(world.hubs[index], breach):
                yield evolve(world, hubs=_replaced(world.hubs, index, hub))
        yield _restart_hub(world, index, name)


def _replaced(items: tuple, index: int, item: object) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


# Lenders.


def _lender_steps(lender: Lender, breach: Breach) -> Iterator[tuple[Lender, str | None, int]]:
    """Yield the lender after each of its steps, and the hub and duration of a delivered lend."""
    now = LOCK_STEPS * STEP
    loan = Loan(now + lender.locked * STEP, lender.hub)
    for hub in HUBS:
        if lender.message is None and loan.may_lend(hub, now):
            for age in range(MAX_STAMP_AGE + 1):
                yield Lender(hub, breach.lock_steps, LendMessage(hub, age)), None, 0
    if lender.message is not None:
        lost = evolve(lender, message=None)
        yield lost, None, 0
        age = lender.message.age if breach.counts_from_stamp else 0
        left = max(LEND_STEPS - age, 0)
        # Delivered, and delivered with a copy still on its way.
        yield lost, lender.message.hub, left
        yield lender, lender.message.hub, left
    # A restart; a lend that the earlier process has sent may still arrive.
    locked = LOCK_STEPS if breach.waits_after_restart else 0
    yield evolve(lender, hub=None, locked=locked), None, 0


def _lend(world: World, name: str, lender: int, left: int) -> World:
    index = HUBS.index(name)
    hub = world.hubs[index]
    lends = _replaced(hub.lends, lender, max(hub.lends[lender], left))
    return evolve(world, hubs=_replaced(world.hubs, index, evolve(hub, lends=lends)))


# Hubs, and the VM that asks them.


def _hub_steps(hub: HubState, breach: Breach) -> Iterator[HubState]:
    """Let the VM use a token or accept a grant, and the hub learn what it holds or grant more."""
    if hub.at_vm is not None:
        yield evolve(hub, at_vm=_spent(hub.at_vm))
    if hub.grant is not None:
        yield evolve(hub, grant=None)
        if not hub.arrived or not breach.numbers_grants:
            yield _accept(hub)
    counted = _usable(hub.counted) if breach.counts_outstanding else 0
    if hub.counted is not None and (hub.grant is None or hub.arrived):
        # A report that arrives at once; a later one tells of no fewer tokens.
        yield evolve(hub, counted=_limited(hub.at_vm, hub.counted.left))
    if hub.tokens and hub.grant is None and hub.tokens + counted <= hub.room:
        total = Tokens(_usable(hub.counted) + hub.tokens, GRANT_STEPS)
        granted = Tokens(hub.tokens, GRANT_STEPS)
        yield evolve(hub, tokens=0, counted=total, grant=granted, arrived=False)


def _spent(tokens: Tokens) -> Tokens | None:
    return Tokens(tokens.count - 1, tokens.left) if tokens.count > 1 else None


def _limited(tokens: Tokens | None, left: int) -> Tokens | None:
    return None if tokens is None else Tokens(tokens.count, left)


def _accept(hub: HubState) -> HubState:
    at_vm = Tokens(min(_usable(hub.at_vm) + hub.grant.count, STOCK + 1), hub.grant.left)
    return evolve(hub, at_vm=at_vm, arrived=True)


def _restart_hub(world: World, index: int, name: str) -> World:
    """Forget what is lent; lenders treat the new process as another hub.

    Lends to the earlier process do not reach the new one, but its grants may still arrive.
    """
    hub = evolve(world.hubs[index], lends=(0, 0), tokens=0, counted=None)
    lenders = tuple(_forget_hub(lender, name) for lender in world.lenders)
    return World(lenders, _replaced(world.hubs, index, hub))


def _forget_hub(lender: Lender, name: str) -> Lender:
    message = lender.message
    if message is not None and message.hub == name:
        message = None
    return evolve(lender, hub=None if lender.hub == name else lender.hub, message=message)


# Time.


def _pass_time(world: World, breach: Breach) -> World:
    return World(
        tuple(_later_lender(lender) for lender in world.lenders),
        tuple(_later_hub(hub, breach) for hub in world.hubs),
    )


def _later_lender(lender: Lender) -> Lender:
    message = lender.message
    if message is not None:
        # A lend that is too old to be used makes no difference any more.
        older = LendMessage(message.hub, message.age + 1)
        message = older if older.age <= LEND_STEPS else None
    return evolve(lender, locked=max(lender.locked - 1, 0), message=message)


def _later_hub(hub: HubState, breach: Breach) -> HubState:
    """Accrue a token for each fraction, and end what has run out."""
    accrued = hub.tokens + sum(left > 0 for left in hub.lends)
    later = evolve(
        hub,
        lends=tuple(max(left - 1, 0) for left in hub.lends),
        counted=_later_tokens(hub.counted),
        grant=_later_tokens(hub.grant),
        at_vm=_later_tokens(hub.at_vm),
    )
    counted = _usable(later.counted) if breach.counts_outstanding else 0
    room = later.room - counted
    return evolve(later, tokens=max(min(accrued, room), 0))


def _later_tokens(tokens: Tokens | None) -> Tokens | None:
    if tokens is None or not tokens.left:
        return None
    return Tokens(tokens.count, tokens.left - 1)


def main() -> int:
    """Explore and print the bounds."""
    states = explore()
    print(f"two lenders, two hubs, one VM that asks: {states} states, the limit held in each")
    return 0


if __name__ == "__main__":
    sys.exit(main())
