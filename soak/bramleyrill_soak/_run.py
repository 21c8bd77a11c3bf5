"""One soak: runs callers under overlapping faults and checks the promises."""

import itertools
import random
import time
from collections.abc import Sequence

import gevent
from attrs import define, field
from bramleyrill_standins.prepared import LineCaller

from bramleyrill_soak._callers import SoakCaller, operations_by_database
from bramleyrill_soak._faults import faults_by_name, pick_duration
from bramleyrill_soak._history import History, Promise, Violation
from bramleyrill_soak._world import (
    BOUNDED,
    KEY_BY_TEAM,
    WITHDRAWN_KEY,
    SoakDeployment,
    SoakWorld,
)

VM_COUNT = 3
CALLERS_PER_DATABASE = 3
# Longest pause before the next fault, which is left out while the maximum number is active.
MAX_FAULT_PAUSE_S = 1.5
MAX_CONCURRENT_FAULTS = 3
# Time after the last fault within which every caller must be served again. It is far longer than
# needed, so that the result does not depend on the load of the machine.
SERVED_AGAIN_LIMIT_S = 40.0
# Time within which a change of the configuration has to be in force at every VM.
CONFIGURATION_LIMIT_S = 4.0
LAST_DATABASE = "last-db"


@define(eq=False)
class SoakReport:
    """Faults, counts, violations and logs of a soak."""

    seed: int
    faults: list[str] = field(factory=list)
    served: int = 0
    commits: int = 0
    violations: list[Violation] = field(factory=list)
    logs_by_vm: dict[str, str] = field(factory=dict)


def soak(
    seed: int,
    duration_s: float,
    kinds: Sequence[str] = (),
    fenced_orders: bool = True,
    sync_replicas: int = 0,
) -> SoakReport:
    """Run one soak that starts faults of the given kinds, or of all, for `duration_s` seconds.

    A seed gives the same sequence of faults only with the same kinds. Without `fenced_orders` a
    replaced primary goes on until it is demoted. With `sync_replicas` that many replicas confirm a
    commit before it is acknowledged, and promotions take PROMOTE_TIME.

    Example: `soak(7, 10.0).violations` is empty if all promises held.
    """
    rng = random.Random(seed)
    report = SoakReport(seed)
    with SoakDeployment(VM_COUNT, fenced_orders, sync_replicas) as deployment:
        world = SoakWorld(deployment)
        history = History(deployment.group)
        callers = _make_callers(world, history, rng)
        jobs = [gevent.spawn(caller.run) for caller in callers]
        _inject_faults(world, rng, duration_s, kinds or sorted(faults_by_name), report)
        _wait_until_served(callers, history)
        _wait_for_configuration(world, history)
        gevent.killall(jobs)
        for caller in callers:
            caller.disconnect()
        _stop_all(world, history)
        history.check()
        history.check_orders(deployment.platform.appointments)
        history.check_teams({caller.name: caller.team for caller in callers})
        report.served = sum(caller.served for caller in callers)
        report.commits = len(deployment.group.history)
        report.violations = history.violations
        report.logs_by_vm = {vm.name: vm.log() for vm in deployment.vms}
    return report


def _make_callers(world: SoakWorld, history: History, rng: random.Random) -> list[SoakCaller]:
    callers = [
        SoakCaller(
            f"{database}-{number}",
            database,
            team,
            world,
            history,
            random.Random(rng.random()),
        )
        for database in operations_by_database
        for number, team in zip(range(CALLERS_PER_DATABASE), itertools.cycle(KEY_BY_TEAM))
    ]
    world.writers = [caller.name for caller in callers if caller.database != BOUNDED]
    return callers


def _inject_faults(
    world: SoakWorld,
    rng: random.Random,
    duration_s: float,
    kinds: Sequence[str],
    report: SoakReport,
) -> None:
    """Start faults until the duration is over, then wait until all have ended."""
    jobs: list[gevent.Greenlet] = []
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        gevent.sleep(rng.uniform(0.0, MAX_FAULT_PAUSE_S))
        name = rng.choice(kinds)
        fault_rng = random.Random(rng.random())
        if sum(not job.ready() for job in jobs) < MAX_CONCURRENT_FAULTS:
            fault_s = pick_duration(fault_rng)
            report.faults.append(f"{name} {fault_s:.1f} s")
            jobs.append(gevent.spawn(faults_by_name[name], world, fault_rng, fault_s))
    for job in gevent.joinall(jobs):
        job.get()


def _wait_until_served(callers: list[SoakCaller], history: History) -> None:
    faults_ended_at = time.monotonic()
    while waiting := [caller.name for caller in callers if caller.served_at < faults_ended_at]:
        if time.monotonic() - faults_ended_at > SERVED_AGAIN_LIMIT_S:
            history.record_violation(Promise.SERVED_AGAIN, ", ".join(waiting))
            return
        gevent.sleep(0.05)


def _wait_for_configuration(world: SoakWorld, history: History) -> None:
    """Restore the store and wait until every VM serves a database that a last change adds.

    The change also withdraws a key, which no VM accepts from then on.
    """
    world.withdraw_key()
    world.change_configuration_in_restore(LAST_DATABASE)
    deadline = time.monotonic() + CONFIGURATION_LIMIT_S
    for address in world.deployment.caller_addresses:
        while not _serves(address, LAST_DATABASE, KEY_BY_TEAM["harbour"]):
            if time.monotonic() > deadline:
                history.record_violation(Promise.CONFIGURATION_IN_FORCE, str(address))
                break
            gevent.sleep(0.1)
        if _serves(address, LAST_DATABASE, WITHDRAWN_KEY):
            history.record_violation(Promise.WITHDRAWN_KEY, str(address))


def _serves(address: tuple[str, int], database: str, key: str) -> bool:
    try:
        caller = LineCaller(address, database, key)
    except OSError:
        return False
    caller.close()
    return caller.opening_answer.startswith("READY")


def _stop_all(world: SoakWorld, history: History) -> None:
    stops = [gevent.spawn(vm.stop) for vm in world.deployment.vms]
    codes = [stop.get() for stop in gevent.joinall(stops)]
    if any(codes + world.exit_codes):
        history.record_violation(Promise.CLEAN_EXIT, f"exit codes {codes + world.exit_codes}")
