"""After a final fault no primary is appointed for a minute if the old one is lost for good."""

import itertools
import os
import pathlib
import time

import gevent
from world import DATABASE, LineCaller, World, finish

RECOVERY_S = 12.0
DOWN_S = 0.5
AFTER_CRASH_S = 0.3
JUDGED_S = 35.0
# all: both faults; kill: only the final fault; crash: only the lost primary.
FAULTS = os.environ.get("FAULTS", "all")
STATEMENTS_BY_DATABASE = {DATABASE: "WRITE", "read-db": "READ"}


class RoutesWorld(World):
    """A primary route and one of bounded staleness."""

    def types_by_database(self):
        return {DATABASE: "primary", "read-db": "bounded_staleness"}


def client(vms, first, database, record, sent):
    """Send one operation after the other; move to another VM after each that was not served."""
    caller, turn = None, first
    for number in itertools.count(1):
        verb = STATEMENTS_BY_DATABASE[database]
        text = f"{verb} c{first}" + (f" v{number}" if verb == "WRITE" else "")
        sent_at, vm = time.monotonic(), vms[turn % len(vms)]
        try:
            with gevent.Timeout(10):
                caller = caller or LineCaller(vm.caller_address, database)
                answer = " | ".join(caller.ask(text, f"{database}x{first}x{number}"))
        except (OSError, gevent.Timeout) as error:
            answer = f"no answer: {error!r}"
        served = "COMPLETE s" in answer
        sent.append((sent_at, served))
        record.add(f"{vm.name}: {database}x{first}x{number} {text} -> {answer}")
        if not served:
            if caller is not None:
                caller.close()
            caller, turn = None, turn + 1
            gevent.sleep(0.2)
        gevent.sleep(0.1)


def main(record, trouble):
    sent = []
    with RoutesWorld(record, vms=3, sync_replicas=1) as world:
        gevent.sleep(3.0)
        for database in STATEMENTS_BY_DATABASE:
            for number in range(6):
                gevent.spawn(client, world.vms, number, database, record, sent)
        began = time.monotonic()
        gevent.sleep(10.0)
        faulted = time.monotonic()
        if trouble and FAULTS in ("all", "crash"):
            record.add("m1, the primary, is lost for good")
            world.group.members_by_name["m1"].stop()
            gevent.sleep(AFTER_CRASH_S)
        if trouble and FAULTS in ("all", "kill"):
            record.add("all processes of the system are killed")
            for vm in world.vms:
                vm.kill()
            gevent.sleep(DOWN_S)
            starts = [gevent.spawn(vm.start) for vm in world.vms]
            gevent.joinall(starts, raise_error=False)
        back = time.monotonic()
        record.add("all machines are back")
        gevent.sleep(RECOVERY_S + JUDGED_S)
        before = [served for at, served in sent if began <= at < faulted - 1.0]
        after = [served for at, served in sent if at > back + RECOVERY_S]
        record.add(f"before the fault: {sum(before)} of {len(before)} served")
        record.add(f"sent later than {RECOVERY_S} s after: {sum(after)} of {len(after)} served")
        if not before or sum(before) < len(before) / 4 or not after:
            raise RuntimeError("too little was served before the fault")
        return sum(after) < len(after) / 4


finish(main, pathlib.Path(__file__).parent)
