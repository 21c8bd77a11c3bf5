"""A replica receives nothing for a while and the primary crashes, with `syncReplicas` 1."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))

from world import BROKEN, HELD, TROUBLE, Client, Service, main  # noqa: E402

WRITERS, READERS = 12, 36
# One way between zones of different regions.
FAR_S = 0.020
DEAF_S, CRASH_AFTER_S, DOWN_S = 6.5, 2.5, 7.0


async def writes(world, proxy, acknowledged, name):
    while True:
        try:
            client = await Client.open(world, proxy, "orders", name)
            while True:
                number = Client.new_number()
                answer = await client.ask(f"WRITE {name} {random.randrange(10**6)}", number)
                if answer.succeeded:
                    acknowledged[number] = world.record.now()
                await asyncio.sleep(random.uniform(0.1, 0.5))
        except OSError:
            await asyncio.sleep(0.3)


async def reads(world, proxy, name):
    while True:
        try:
            client = await Client.open(world, proxy, "stock", name)
            while True:
                await client.ask(f"READ c{random.randrange(WRITERS)}")
                await asyncio.sleep(random.uniform(0.0, 0.01))
        except OSError:
            await asyncio.sleep(0.3)


async def trouble(service):
    """`replica_lag`, how "deaf crash": the primary crashes while one replica receives nothing."""
    old = service.primary
    deaf = random.choice([member for member in service.members.values() if member is not old])
    deaf.deaf = True
    service.record.write(f"deaf {deaf.id}")
    await asyncio.sleep(CRASH_AFTER_S)
    service.record.write(f"crash {old.id}, the primary")
    await old.stop()
    await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
    deaf.deaf = False
    await asyncio.sleep(DOWN_S - (DEAF_S - CRASH_AFTER_S))
    await old.start()
    if old is not service.primary:
        old.log = list(service.primary.log)
        old.applied = len(old.log)
    old.beat()


async def case(world):
    acknowledged = {}
    service = Service("books", world.platform, sync=1, slots=2, connections=16, promote_s=0.3)
    for index, zone in enumerate(world.ZONES):
        await service.add(zone, FAR_S if index else 0.0, work_s=0.012)
    world.add_route("orders", service, "primary", timeout_ms=800, target_ms=500)
    world.add_route("stock", service, "bounded_staleness", timeout_ms=1200, target_ms=800)
    await world.start_proxies(3)
    for index in range(WRITERS):
        proxy = world.proxies[index % 3]
        world.spawn(writes(world, proxy, acknowledged, f"c{index}"))
    for index in range(READERS):
        world.spawn(reads(world, world.proxies[index % 3], f"r{index}"))
    await asyncio.sleep(5)
    for _ in range(3):
        if TROUBLE:
            await trouble(service)
        await asyncio.sleep(6)
    broken = 0
    for at, member, lost in service.promotions:
        for commit in lost:
            if commit.statement in acknowledged:
                broken += 1
                world.record.write(
                    f"LOST commit {commit.statement} {commit.writes}, acknowledged at "
                    f"{service.acknowledged[commit.statement]:.4f} by the member and at "
                    f"{acknowledged[commit.statement]:.4f} to the client, not in the log of "
                    f"{member}, promoted at {at:.4f}"
                )
    promotions = len(service.promotions)
    world.record.write(f"{len(acknowledged)} commits, {promotions} promotions, {broken} lost")
    return BROKEN if broken else HELD


main(case, __file__)
