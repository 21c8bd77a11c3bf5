"""Kinds of fault; each affects processes, members, links or the platform, then ends itself."""

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

# Range from which the duration of a fault is drawn.
MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0
# Number of VMs, and of members, that always stay unaffected by process and member faults.
MIN_UNAFFECTED = 1


def fault(kind: Fault) -> Fault:
    """Register a kind of fault under the name of its function."""
    faults_by_name[kind.__name__] = kind
    return kind


@contextmanager
def _reserve(world: SoakWorld, candidates: list[T], rng: random.Random) -> Iterator[T | None]:
    """Reserve a random candidate for one fault; yield None if too few are left."""
    chosen = rng.choice(candidates) if len(candidates) > MIN_UNAFFECTED else None
    world.reserved.add(chosen)
    try:
        yield chosen
    finally:
        world.reserved.discard(chosen)


def _reserve_vm(world: SoakWorld, rng: random.Random) -> AbstractContextManager[EntryVm | None]:
    return _reserve(world, world.unreserved_vms(), rng)


def _reserve_member(
    world: SoakWorld, rng: random.Random
) -> AbstractContextManager[LineMember | None]:
    """Reserve a member, which may be the primary."""
    return _reserve(world, world.unreserved_members(), rng)


def _wait_for_order(world: SoakWorld) -> None:
    """Wait until the next primary has been ordered, or for MAX_FAULT_S."""
    appointments = world.deployment.platform.appointments
    orders = len(appointments)
    with gevent.Timeout(MAX_FAULT_S, False):
        while len(appointments) == orders:
            gevent.sleep(0.02)


# Processes.


@fault
def pause_vm(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Suspend a process, then continue it."""
    with _reserve_vm(world, rng) as vm:
        if vm is not None:
            vm.send_signal(signal.SIGSTOP)
            gevent.sleep(fault_s)
            vm.send_signal(signal.SIGCONT)


@fault
def kill_vm(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Kill a process and start it again."""
    with _reserve_vm(world, rng) as vm:
        if vm is not None:
            vm.kill()
            gevent.sleep(fault_s / 4)
            vm.start()


@fault
def kill_all_vms(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Kill all processes, sometimes right after the primary, and start them again."""
    vms = world.unreserved_vms()
    primary = world.deployment.group.primary
    if len(vms) < len(world.deployment.vms):
        return
    world.reserved.update(vms)
    is_primary_lost = rng.random() < 0.5 and primary in world.unreserved_members()
    if is_primary_lost:
        world.reserved.add(primary)
        world.deployment.stop_member(primary.name)
    for vm in vms:
        vm.kill()
    gevent.joinall([gevent.spawn(vm.start) for vm in vms], raise_error=True)
    world.reserved.difference_update(vms)
    if is_primary_lost:
        gevent.sleep(fault_s)
        world.deployment.start_member(primary.name)
        world.reserved.discard(primary)


@fault
def restart_vm(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Stop a process in order, sometimes right after a settings reload, and start it again."""
    with _reserve_vm(world, rng) as vm:
        if vm is not None:
            if rng.random() < 0.5:
                vm.send_signal(signal.SIGHUP)
            world.exit_codes.append(vm.stop())
            vm.start()


@fault
def reload_vms(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Make all unreserved processes reload their settings."""
    for vm in world.unreserved_vms():
        vm.send_signal(signal.SIGHUP)


# Members.


@fault
def crash_member(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Stop a member and start it again with its log."""
    with _reserve_member(world, rng) as member:
        if member is not None:
            world.deployment.stop_member(member.name)
            gevent.sleep(fault_s)
            world.deployment.start_member(member.name)


@fault
def return_primary(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Stop the primary, and start it again as soon as its successor has been ordered."""
    deployment = world.deployment
    primary = deployment.group.primary
    if primary is None or primary not in world.unreserved_members():
        return
    world.reserved.add(primary)
    deployment.stop_member(primary.name)
    _wait_for_order(world)
    deployment.start_member(primary.name)
    world.reserved.discard(primary)


@fault
def change_primary_twice(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Stop the primary while the replicas receive nothing, then its successor as it comes back."""
    deployment, members = world.deployment, world.unreserved_members()
    first = deployment.group.primary
    if first not in members or len(members) < len(deployment.group.members_by_name):
        return
    world.reserved.update(members)
    replicas = [member for member in members if member is not first]
    for replica in replicas:
        replica.deaf = True
    gevent.sleep(fault_s / 4)
    deployment.stop_member(first.name)
    _wait_for_order(world)
    second = deployment.group.primary
    for replica in replicas:
        replica.deaf = replica is not second
    gevent.sleep(fault_s / 4)
    if second not in (None, first):
        deployment.stop_member(second.name)
    deployment.start_member(first.name)
    _wait_for_order(world)
    if second not in (None, first):
        deployment.start_member(second.name)
    for replica in replicas:
        replica.hear()
    world.reserved.difference_update(members)


@fault
def cut_member_from_store(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Remove a member's entry for a while, which lives and is reached by all others."""
    with _reserve_member(world, rng) as member:
        if member is not None:
            world.deployment.hide_member(member.name)
            gevent.sleep(fault_s)
            world.deployment.show_member(member.name)


@fault
def lag_replica(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Delay replication to a member."""
    with _reserve_member(world, rng) as member:
        if member is not None:
            usual_lag = member.lag
            member.lag = timedelta(seconds=rng.uniform(0.05, 3.0))
            gevent.sleep(fault_s)
            member.lag = usual_lag


@fault
def fail_reads(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Make a member that appears healthy fail all reads."""
    with _reserve_member(world, rng) as member:
        if member is not None:
            member.failing = True
            gevent.sleep(fault_s)
            member.failing = False


@fault
def lose_answers(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Make a member run statements and lose their answers."""
    with _reserve_member(world, rng) as member:
        if member is not None:
            member.lose_answers = True
            gevent.sleep(fault_s / 4)
            member.lose_answers = False


# Links.


@fault
def silence_member(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Cut a member off in one or both directions; held bytes arrive when the fault ends."""
    with _reserve_member(world, rng) as member:
        if member is not None:
            link_faults = world.deployment.member_proxies[member.name].link_faults
            link_faults.hold_requests, link_faults.hold_responses = rng.choice(
                [(True, False), (False, True), (True, True)]
            )
            gevent.sleep(fault_s)
            link_faults.hold_requests = link_faults.hold_responses = False


@fault
def delay_member(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Delay all bytes on a member's connections."""
    with _reserve_member(world, rng) as member:
        if member is not None:
            link_faults = world.deployment.member_proxies[member.name].link_faults
            link_faults.delay_s = rng.uniform(0.005, 0.2)
            gevent.sleep(fault_s)
            link_faults.delay_s = 0.0


@fault
def reset_member(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Reset all connections to a member."""
    name = rng.choice(sorted(world.deployment.member_proxies))
    world.deployment.member_proxies[name].reset_all()


@fault
def cut_from_store(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Hold the store's answers to one VM, sometimes after a reset of its connections."""
    proxy = rng.choice(world.deployment.store_proxies)
    if rng.random() < 0.5:
        proxy.reset_all()
    proxy.link_faults.hold_responses = True
    gevent.sleep(fault_s)
    proxy.link_faults.hold_responses = False


@fault
def reset_callers(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Reset all caller connections of one VM."""
    rng.choice(world.deployment.caller_proxies).reset_all()


@fault
def silence_callers(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Hold either the answers of one VM to its callers or their requests."""
    link_faults = rng.choice(world.deployment.caller_proxies).link_faults
    link_faults.hold_responses = rng.random() < 0.5
    link_faults.hold_requests = not link_faults.hold_responses
    gevent.sleep(fault_s)
    link_faults.hold_responses = link_faults.hold_requests = False


# The platform.


@fault
def store_unavailable(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Make the store answer every call with an error."""
    world.deployment.platform.unavailable = True
    gevent.sleep(fault_s)
    world.deployment.platform.unavailable = False


@fault
def store_loses_answers(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Make the store apply writes without answering them."""
    world.deployment.platform.lose_answers = True
    gevent.sleep(fault_s)
    world.deployment.platform.lose_answers = False


@fault
def store_forgets(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Make the store drop its history, so that watches must list all objects again."""
    world.deployment.platform.forget_history()


@fault
def store_restored(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Bring the store back from a copy; members and operator write again what it has lost."""
    platform = world.deployment.platform
    copy = platform.copy()
    gevent.sleep(fault_s)
    platform.unavailable = True
    gevent.sleep(rng.uniform(0.0, 1.0))
    platform.restore(copy)
    platform.unavailable = False
    world.put_configuration_again()


@fault
def change_configuration(world: SoakWorld, rng: random.Random, fault_s: float) -> None:
    """Add a route and remove it again."""
    world.put_next_configuration("other-db")
    gevent.sleep(fault_s)
    world.put_next_configuration()


def pick_duration(rng: random.Random) -> float:
    """Return the random duration of a fault in seconds."""
    return rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
