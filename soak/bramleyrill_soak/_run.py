"""One soak: callers run, faults come in series and overlap, and the promises are checked."""

import random
import time
from collections.abc import Sequence

import gevent
from attrs import define, field

from bramleyrill_soak._callers import SoakCaller, behaviours_by_database
from bramleyrill_soak._faults import faults_by_name, pick_duration
from bramleyrill_soak._history import Breach, History, Promise
from bramleyrill_soak._world import BOUNDED, SoakDeployment, SoakWorld

VMS = 3
CALLERS_PER_DATABASE = 3
# Pause from the start of one fault to that of the next.
LONGEST_GAP_S = 1.5
MOST_FAULTS = 3
# Within this time after the last fault every caller is served; far beyond what it takes, so that
# a busy machine gives the same verdict.
SERVED_AGAIN_S = 40.0


@define(eq=False)
class SoakReport:
    """What a soak did and found."""

    seed: int
    faults: list[str] = field(factory=list)
    served: int = 0
    commits: int = 0
    breaches: list[Breach] = field(factory=list)
    logs_by_vm: dict[str, str] = field(factory=dict)


def soak(seed: int, duration_s: float, kinds: Sequence[str] = ()) -> SoakReport:
    """Run one soak with faults of some kinds, or of all.

    A seed stands for the same faults only with the same kinds.

    Example: `soak(7, 10.0).breaches` is empty if all promises held.
    """
    rng = random.Random(seed)
    report = SoakReport(seed)
    with SoakDeployment(VMS) as deployment:
        world = SoakWorld(deployment)
        history = History(deployment.group)
        callers = _make_callers(world, history, rng)
        jobs = [gevent.spawn(caller.run) for caller in callers]
        _harm(world, rng, duration_s, kinds or sorted(faults_by_name), report)
        _wait_until_served(callers, history)
        gevent.killall(jobs)
        for caller in callers:
            caller.leave()
        _stop_all(world, history)
        history.check()
        report.served = sum(caller.served for caller in callers)
        report.commits = len(deployment.group.history)
        report.breaches = history.breaches
        report.logs_by_vm = {vm.name: vm.log() for vm in deployment.vms}
    return report


def _make_callers(world: SoakWorld, history: History, rng: random.Random) -> list[SoakCaller]:
    callers = [
        SoakCaller(f"{database}-{number}", database, world, history, random.Random(rng.random()))
        for database in behaviours_by_database
        for number in range(CALLERS_PER_DATABASE)
    ]
    world.writers = [caller.name for caller in callers if caller.database != BOUNDED]
    return callers


def _harm(
    world: SoakWorld,
    rng: random.Random,
    duration_s: float,
    kinds: Sequence[str],
    report: SoakReport,
) -> None:
    """Let faults come until the time is over, then wait for their ends."""
    jobs: list[gevent.Greenlet] = []
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        gevent.sleep(rng.uniform(0.0, LONGEST_GAP_S))
        name = rng.choice(kinds)
        fault_rng = random.Random(rng.random())
        if sum(not job.ready() for job in jobs) < MOST_FAULTS:
            for_s = pick_duration(fault_rng)
            report.faults.append(f"{name} {for_s:.1f} s")
            jobs.append(gevent.spawn(faults_by_name[name], world, fault_rng, for_s))
    for job in gevent.joinall(jobs):
        job.get()


def _wait_until_served(callers: list[SoakCaller], history: History) -> None:
    calm_at = time.monotonic()
    while waiting := [caller.name for caller in callers if caller.served_at < calm_at]:
        if time.monotonic() - calm_at > SERVED_AGAIN_S:
            history.report(Promise.SERVED_AGAIN, ", ".join(waiting))
            return
        gevent.sleep(0.05)


def _stop_all(world: SoakWorld, history: History) -> None:
    stops = [gevent.spawn(vm.stop) for vm in world.deployment.vms]
    codes = [stop.get() for stop in gevent.joinall(stops)]
    if any(codes + world.exit_codes):
        history.report(Promise.ORDERLY_STOP, f"exit codes {codes + world.exit_codes}")
