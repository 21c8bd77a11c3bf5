"""VMs that reach the store do not follow it while the two that watch it for them are cut off."""

import os
import pathlib
import time

import gevent
from storepath import StorePath
from world import DATABASE, LineCaller, World, finish

VMS = 6
CUT_SHARE = 0.35
CUT_S = float(os.environ.get("CUT_S", "12.0"))
CONFIG_APPLY_S = 4.0
STABLE_WINDOW_S = 5.0
ADDED, REMOVED = "added-db", "removed-db"


class CutWorld(World):
    """Each VM has a path of its own to the store."""

    def __init__(self, record):
        super().__init__(record, vms=VMS, consistency="primary")
        self.paths = []

    def store_address(self, number, platform):
        self.paths.append(StorePath(platform))
        return self.paths[-1].address


def ask(vm, database):
    """Return the answer of a VM to a read of a database, or to its OPEN if that is refused."""
    try:
        caller = LineCaller(vm.caller_address, database)
        if not caller.opening_answer.startswith("READY"):
            answer = caller.opening_answer
        else:
            answer = caller.ask("READ a", f"x{time.monotonic_ns():x}")[0]
        caller.close()
        return answer
    except OSError as error:
        return f"no answer: {error}"


def main(record, trouble):
    broken = []
    with CutWorld(record) as world:
        world.put_configuration(2, REMOVED)
        # Everything has been calm for longer than stableWindowMs.
        gevent.sleep(9.0)
        for vm in world.vms:
            record.add(f"{vm.name}: {DATABASE} -> {ask(vm, DATABASE)}, {REMOVED} -> {ask(vm, REMOVED)}")
        cut = []
        if trouble:
            cut = sorted(range(VMS), key=lambda i: -world.paths[i].long_waits(2.0))
            cut = cut[: int(CUT_SHARE * VMS)]
            for number in cut:
                record.add(f"{world.vms[number].name} is partitioned from the store for {CUT_S} s")
                world.paths[number].cut()
        cut_at = time.monotonic()
        gevent.sleep(1.0)
        world.put_configuration(3, ADDED)
        acknowledged_at = time.monotonic()
        record.add(f"store: version 3 is acknowledged, with {ADDED} and without {REMOVED}")
        gevent.sleep(CONFIG_APPLY_S + 0.5)
        while time.monotonic() < cut_at + CUT_S - 0.5:
            for number, vm in enumerate(world.vms):
                if number in cut:
                    continue
                age = time.monotonic() - acknowledged_at
                added, removed = ask(vm, ADDED), ask(vm, REMOVED)
                record.add(f"{vm.name}: {age:.1f} s after: {ADDED} -> {added}, {REMOVED} -> {removed}")
                if added.startswith("ERROR NODB"):
                    broken.append(f"{vm.name} refuses {ADDED} {age:.1f} s after")
                if removed.startswith(("COMPLETE s", "ROW")):
                    broken.append(f"{vm.name} runs {REMOVED} {age:.1f} s after")
            gevent.sleep(0.5)
        for path in world.paths:
            path.heal()
        record.add("the partition ends")
        gevent.sleep(8.0)
        for vm in world.vms:
            record.add(f"{vm.name}: at the end: {ADDED} -> {ask(vm, ADDED)}")
            if ask(vm, DATABASE).startswith("no answer"):
                raise RuntimeError(f"{vm.name} does not answer")
    for line in broken:
        record.add(f"broken: {line}")
    return bool(broken)


finish(main, pathlib.Path(__file__).parent)
