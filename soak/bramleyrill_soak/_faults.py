"""Kinds of fault; each harms something from outside for a while and takes the harm back."""

import random
import signal
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from datetime import timedelta
from typing import TypeVar

import gevent
from bramleyrill_standins.prepared import EntryVm, LineMember

from bramleyrill_soak._world import SoakWorld

T = TypeVar("T")
Fault = Callable[[SoakWorld, random.Random, float], None]

faults_by_name: dict[str, Fault] = {}

# How long faults last.
SHORTEST_S, LONGEST_S = 0.3, 4.0
# Some VM and some member always stay out of harm's way.
SPARED = 1


def fault(kind: Fault) -> Fault:
    """Register a kind of fault under its name."""
    faults_by_name[kind.__name__] = kind
    return kind


@contextmanager
def _held(world: SoakWorld, calm: list[T], rng: random.Random) -> Iterator[T | None]:
    """Hold one of what no other fault holds, or none if too few are left."""
    chosen = rng.choice(calm) if len(calm) > SPARED else None
    world.held.add(chosen)
    try:
        yield chosen
    finally:
        world.held.discard(chosen)


def _one_vm(world: SoakWorld, rng: random.Random) -> AbstractContextManager[EntryVm | None]:
    return _held(world, world.calm_vms(), rng)


def _one_member(world: SoakWorld, rng: random.Random) -> AbstractContextManager[LineMember | None]:
    """Hold a member, at times the primary."""
    return _held(world, world.calm_members(), rng)


# Processes.


@fault
def pause_vm(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Stop a process without ending it."""
    with _one_vm(world, rng) as vm:
        if vm is not None:
            vm.send_signal(signal.SIGSTOP)
            gevent.sleep(for_s)
            vm.send_signal(signal.SIGCONT)


@fault
def kill_vm(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """End a process at once, and start it again."""
    with _one_vm(world, rng) as vm:
        if vm is not None:
            vm.kill()
            gevent.sleep(for_s / 4)
            vm.start()


@fault
def restart_vm(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Ask a process to stop, at times with settings read again, and start it again."""
    with _one_vm(world, rng) as vm:
        if vm is not None:
            if rng.random() < 0.5:
                vm.send_signal(signal.SIGHUP)
            world.exit_codes.append(vm.stop())
            vm.start()


@fault
def reload_vms(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Tell all processes to read their settings again."""
    for vm in world.calm_vms():
        vm.send_signal(signal.SIGHUP)


# Members.


@fault
def crash_member(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """End a member; it comes back with its log."""
    with _one_member(world, rng) as member:
        if member is not None:
            world.deployment.stop_member(member.name)
            gevent.sleep(for_s)
            world.deployment.start_member(member.name)


@fault
def lag_replica(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Let a member receive commits late."""
    with _one_member(world, rng) as member:
        if member is not None:
            member.lag = timedelta(seconds=rng.uniform(0.05, 3.0))
            gevent.sleep(for_s)
            member.lag = timedelta()


@fault
def fail_reads(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Let a member that looks well fail the reads that it runs."""
    with _one_member(world, rng) as member:
        if member is not None:
            member.failing = True
            gevent.sleep(for_s)
            member.failing = False


@fault
def lose_answers(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Let a member run statements and lose their answers."""
    with _one_member(world, rng) as member:
        if member is not None:
            member.lose_answers = True
            gevent.sleep(for_s / 4)
            member.lose_answers = False


# Links.


@fault
def silence_member(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Cut a member off in one direction or both; the bytes arrive when the cut ends."""
    with _one_member(world, rng) as member:
        if member is not None:
            harm = world.deployment.member_proxies[member.name].harm
            harm.silent_there, harm.silent_back = rng.choice(
                [(True, False), (False, True), (True, True)]
            )
            gevent.sleep(for_s)
            harm.silent_there = harm.silent_back = False


@fault
def delay_member(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Make a member's link slow."""
    with _one_member(world, rng) as member:
        if member is not None:
            harm = world.deployment.member_proxies[member.name].harm
            harm.delay_s = rng.uniform(0.005, 0.2)
            gevent.sleep(for_s)
            harm.delay_s = 0.0


@fault
def reset_member(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Reset all connections to a member."""
    name = rng.choice(sorted(world.deployment.member_proxies))
    world.deployment.member_proxies[name].reset_all()


@fault
def cut_from_store(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Cut one VM off from the store, silently or by resets."""
    proxy = rng.choice(world.deployment.store_proxies)
    if rng.random() < 0.5:
        proxy.reset_all()
    proxy.harm.silent_back = True
    gevent.sleep(for_s)
    proxy.harm.silent_back = False


@fault
def reset_callers(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Reset the connections of all callers of one VM."""
    rng.choice(world.deployment.caller_proxies).reset_all()


@fault
def silence_callers(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Hold the answers of one VM, or the requests to it, for a while."""
    harm = rng.choice(world.deployment.caller_proxies).harm
    harm.silent_back = rng.random() < 0.5
    harm.silent_there = not harm.silent_back
    gevent.sleep(for_s)
    harm.silent_back = harm.silent_there = False


# The platform.


@fault
def store_unavailable(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Let the store answer every call with an error."""
    world.deployment.platform.unavailable = True
    gevent.sleep(for_s)
    world.deployment.platform.unavailable = False


@fault
def store_loses_answers(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Let the store carry writes out without an answer."""
    world.deployment.platform.lose_answers = True
    gevent.sleep(for_s)
    world.deployment.platform.lose_answers = False


@fault
def store_forgets(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Let the store drop its history, so that watches must list again."""
    world.deployment.platform.forget_history()


@fault
def change_configuration(world: SoakWorld, rng: random.Random, for_s: float) -> None:
    """Add a route and take it away again."""
    world.put_next_configuration("other-db")
    gevent.sleep(for_s)
    world.put_next_configuration()


def pick_duration(rng: random.Random) -> float:
    """Return how long the next fault lasts, in seconds."""
    return rng.uniform(SHORTEST_S, LONGEST_S)
