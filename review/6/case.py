"""A primary with a synchronous replica crashes and is back before its successor leads."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common-2"))
from standins import (  # noqa: E402
    HOST,
    Client,
    EntryVm,
    Group,
    Platform,
    configuration,
    free_ports,
    route,
    run_case,
)

ZONES = {"ub-bayanzurkh": "ulaanbaatar", "ub-khan-uul": "ulaanbaatar", "darkhan-uul": "darkhan"}
SERVICE, DATABASE = "member-ledger-1", "huvo11a"
PROMOTE_S = 1.0
SAME_REGION_S, OTHER_REGION_S = 0.0005, 0.020
CRASH_AT_S, DOWN_S, END_S = 6.0, 1.8, 11.0
SESSIONS = 12


def one_way_s(source, target):
    """Return the delay between two members in seconds."""
    return SAME_REGION_S if ZONES[source.zone] == ZONES[target.zone] else OTHER_REGION_S


async def write_all_the_time(number, vms, record, acknowledged, stop):
    """One session after the other: single writes, each with an item of its own."""
    count = 0
    while not stop.is_set():
        client = Client(vms[(number + count) % len(vms)].front, DATABASE)
        try:
            if not await client.open():
                await asyncio.sleep(0.1)
                continue
            while not stop.is_set():
                count += 1
                item = f"i{number}-{count}"
                record.say(f"client {number}: sent WRITE {item}")
                lines = await client.ask(f"w{number}-{count}", f"WRITE {item} d{count}")
                record.say(f"client {number}: {item} answered {lines}")
                if lines[0].startswith("COMPLETE s"):
                    acknowledged[item] = record.now()
                elif not lines[-1]:
                    break
                await asyncio.sleep(0.02)
        except (OSError, TimeoutError) as error:
            record.say(f"client {number}: {error!r}")
            await asyncio.sleep(0.1)
        finally:
            client.close()


async def main(record, folder, trouble, vms):
    """Run the case and return the breaches."""
    platform = Platform(record, PROMOTE_S)
    port = await platform.start()
    group = Group(SERVICE, record, platform, sync=1, slots=6, max_conns=79, one_way_s=one_way_s)
    logs_at_promotion = []
    group.promoted = lambda member: logs_at_promotion.append(
        (record.now(), member.name, {item for entry in member.log for item, _ in entry.writes})
    )
    group.ran = lambda member, number, text: record.say(
        f"member {member.name}: got {number} {text}"
    )
    for name, zone in zip(("i-m1", "i-m2", "i-m3"), ZONES, strict=True):
        await group.add(name, zone)
    routes = [route(DATABASE, "primary", SERVICE)]
    backends = [{"name": SERVICE, "maxConns": 79, "syncReplicas": 1}]
    platform.put("config", "main", configuration(7, routes, backends))
    ports = free_ports(12)
    seeds = [f"{HOST}:{ports[4 * index]}" for index in range(3)]
    for index, zone in enumerate(ZONES):
        own = ports[4 * index : 4 * index + 4]
        vms.append(EntryVm(f"edge-{zone}-1", zone, ZONES, own, seeds, port))
        vms[-1].start(folder)
    for vm in vms:
        await vm.wait_ready()
    record.say("all entry processes are ready")
    began, acknowledged, stop = record.now(), {}, asyncio.Event()
    tasks = [
        asyncio.create_task(write_all_the_time(number, vms, record, acknowledged, stop))
        for number in range(SESSIONS)
    ]
    await asyncio.sleep(CRASH_AT_S)
    if trouble:
        primary = group.primary
        primary.crash()
        await asyncio.sleep(DOWN_S)
        record.say(f"member {primary.name}: is back, leads: {group.primary is primary}")
        await primary.start()
    await asyncio.sleep(began + END_S - record.now())
    stop.set()
    await asyncio.gather(*tasks)
    record.say(f"{len(acknowledged)} writes were acknowledged")
    breaches = []
    for at, name, items in logs_at_promotion:
        # An acknowledgement that a client has was given before the old primary lost its lead, so
        # one that arrived up to 50 ms later may belong to it; those of the new primary do not.
        for item, acked_at in acknowledged.items():
            if acked_at < at and item not in items:
                breaches.append(
                    f"LOST: {item}, acknowledged at {acked_at:.4f}, is not in the log of {name},"
                    f" promoted at {at:.4f}"
                )
    return breaches


run_case(os.path.dirname(os.path.abspath(__file__)), main)
