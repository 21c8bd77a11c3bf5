"""A replica that is cut off from the store goes on acknowledging commits, and is left out."""

import itertools
import os
import pathlib
import time
from datetime import timedelta

import gevent
from world import DATABASE, LineCaller, World, finish

CUT_S = float(os.environ.get("CUT_S", "7.0"))
# One replica_lag "deaf crash": m2 receives nothing for DEAF_S, and m1 crashes meanwhile.
DEAF_S = 6.0
DEAF_BEFORE_CRASH_S = 1.5
CRASH_AFTER_CUT_S = float(os.environ.get("CRASH_AFTER_CUT_S", "5.6"))
# all: both disruptions; cut, lag: one of them alone.
FAULTS = os.environ.get("FAULTS", "all")
WRITERS_PER_VM = 2
PAUSE_S = 0.05


def write_forever(world, vm, name, acknowledged, record):
    """Write one new item after the other; note each that was acknowledged with a signature."""
    caller = None
    for number in itertools.count(1):
        item, statement = f"{name}-{number}", f"{name}x{number}"
        try:
            caller = caller or LineCaller(vm.caller_address, DATABASE)
            answer = caller.ask(f"WRITE {item} v{number}", statement)
        except OSError as error:
            answer = [f"no answer: {error}"]
        if answer[0].startswith("COMPLETE s"):
            acknowledged[item] = time.monotonic()
        else:
            caller = None
        record.add(f"{vm.name}: {statement} WRITE {item} -> {' | '.join(answer)}")
        gevent.sleep(PAUSE_S)


def main(record, trouble):
    acknowledged, lost = {}, []
    with World(record, vms=3, sync_replicas=1) as world:
        group = world.group

        def check(member):
            """An acknowledged commit must be in the log of the member that is promoted."""
            items = {item for entry in member.log for item in entry.data}
            missing = sorted(set(acknowledged) - items)
            lost.extend(missing)
            record.add(
                f"check: {len(acknowledged)} acknowledged, missing in {member.name}: "
                f"{missing}"
            )

        group.on_promotion = check
        for replica in ("m2", "m3"):
            group.members_by_name[replica].lag = timedelta(milliseconds=2)
        gevent.sleep(4.0)
        for vm in world.vms:
            for number in range(WRITERS_PER_VM):
                name = f"{vm.name}w{number}"
                gevent.spawn(write_forever, world, vm, name, acknowledged, record)
        gevent.sleep(6.0)
        if trouble:
            # Just before a heartbeat of m3 is due.
            while time.monotonic() - world.last_beat["m3"] < 1.1:
                gevent.sleep(0.01)
            began = time.monotonic()
            if FAULTS in ("all", "cut"):
                record.add(f"m3 is partitioned from the store for {CUT_S} s")
                world.cut_from_store.add("m3")
                gevent.spawn_later(CUT_S, world.cut_from_store.discard, "m3")
            gevent.sleep(CRASH_AFTER_CUT_S - DEAF_BEFORE_CRASH_S)
            if FAULTS in ("all", "lag"):
                record.add("m2 receives nothing")
                group.deaf.add("m2")
            gevent.sleep(began + CRASH_AFTER_CUT_S - time.monotonic())
            if FAULTS in ("all", "lag"):
                record.add("m1 crashes")
                group.members_by_name["m1"].stop()
            gevent.sleep(DEAF_S - DEAF_BEFORE_CRASH_S)
            if FAULTS in ("all", "lag"):
                group.members_by_name["m1"].start()
                group.deaf.discard("m2")
                record.add("m1 is back, m2 receives again")
        gevent.sleep(8.0)
        record.add(f"{len(acknowledged)} writes were acknowledged, {len(lost)} of them are lost")
        if len(acknowledged) < 100:
            raise RuntimeError("too few writes were acknowledged")
    return bool(lost)


finish(main, pathlib.Path(__file__).parent)
