"""Planned replacements of primaries while clients commit, on a service with `syncReplicas` 1."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))

from world import BROKEN, HELD, TROUBLE, Client, Service, main  # noqa: E402

SERVICES = 3
CLIENTS = 120
RELEASES = 11
DRAIN_S = 7.5
# One way between zones of different regions, and within a zone.
FAR_S, NEAR_S = 0.020, 0.0005


async def transactions(world, proxy, database, acknowledged, name):
    """Run transactions with pauses; note each commit that was acknowledged."""
    while True:
        try:
            client = await Client.open(world, proxy, database, name)
            while True:
                for text in ("BEGIN", f"WRITE {name} {random.randrange(10**6)}"):
                    if not (await client.ask(text)).succeeded:
                        raise ConnectionError("refused")
                for _ in range(random.randrange(2, 4)):
                    await asyncio.sleep(random.uniform(0.7, 1.3))
                    answer = await client.ask(f"WRITE {name} {random.randrange(10**6)}")
                    if not answer.succeeded:
                        raise ConnectionError("refused")
                await asyncio.sleep(random.uniform(0.3, 1.0))
                number = Client.new_number()
                answer = await client.ask("COMMIT", number)
                if not answer.succeeded:
                    raise ConnectionError("refused")
                acknowledged[number] = world.record.now()
                await asyncio.sleep(random.uniform(0.0, 0.2))
        except OSError:
            await asyncio.sleep(random.uniform(0.2, 0.5))


async def release(service):
    """Replace the primary as planned: the new member starts first, then the old one drains."""
    old = service.primary
    for member in service.members.values():
        member.receive_s = NEAR_S if member.zone == old.zone else FAR_S
    new = await service.add(old.zone, NEAR_S)
    new.beat()
    await asyncio.sleep(0.5)
    old.state = "draining"
    service.record.write(f"draining {old.id} of {service.name}, the primary")
    old.beat()
    await asyncio.sleep(DRAIN_S)
    await old.stop()
    del service.members[old.id]
    service.platform.remove("servers", old.id)


async def releases(service):
    await asyncio.sleep(random.uniform(0.5, 2.0))
    for _ in range(RELEASES):
        await release(service)


async def case(world):
    acknowledged = {}
    services = []
    for number in range(SERVICES):
        service = Service(
            f"ledger{number}", world.platform, sync=1, slots=6, connections=156, promote_s=0.3
        )
        services.append(service)
        for index, zone in enumerate(world.ZONES):
            await service.add(zone, FAR_S if index else 0.0)
        world.add_route(f"db{number}", service, "primary")
    await world.start_proxies(3)
    for number in range(SERVICES):
        for index in range(CLIENTS):
            proxy = world.proxies[index % len(world.proxies)]
            name = f"c{number}x{index}"
            world.spawn(transactions(world, proxy, f"db{number}", acknowledged, name))
    if TROUBLE:
        await asyncio.gather(*(releases(service) for service in services))
    else:
        await asyncio.sleep(60)
    await asyncio.sleep(3)
    broken = 0
    for service in services:
        for at, member, lost in service.promotions:
            for commit in lost:
                if commit.statement in acknowledged:
                    broken += 1
                    world.record.write(
                        f"LOST commit {commit.statement} {commit.writes}, acknowledged at "
                        f"{service.acknowledged[commit.statement]:.4f} by the member and at "
                        f"{acknowledged[commit.statement]:.4f} to the client, not in the log of {member}, "
                        f"promoted at {at:.4f}"
                    )
    promotions = sum(len(service.promotions) for service in services)
    world.record.write(f"{len(acknowledged)} commits, {promotions} promotions, {broken} lost")
    return BROKEN if broken else HELD


main(case, __file__)
