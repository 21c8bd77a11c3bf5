"""The machines are stopped and started in turn, as planned, while clients write."""

import asyncio
import collections
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))

from world import BROKEN, HELD, TROUBLE, Client, Service, main  # noqa: E402

MACHINES = 6
SERVICES, JOB_SESSIONS, BOOKING_SESSIONS = 3, 40, 60
TIMEOUT_S, DEADLINE_S, LOSS_SLACK_S, GRACE_S = 3.0, 12.0, 0.2, 6.0
# Seconds between two operations of a session.
THINK_S = {"jobs": (0.2, 0.8), "bookings": (0.2, 1.2)}
WRITES, TRANSACTIONS = {"jobs": 0.35, "bookings": 0.12}, {"jobs": 0.25, "bookings": 0.12}


class Balancer:
    """The platform's entry: two misses of `GET /ready` in a row take a machine out."""

    def __init__(self, world):
        self.world = world
        self.misses = collections.Counter()

    async def run(self):
        while True:
            for proxy in self.world.proxies:
                ready = await proxy.is_ready()
                self.misses[proxy.id] = 0 if ready else self.misses[proxy.id] + 1
            await asyncio.sleep(1.0)

    def choose(self):
        proxies = self.world.proxies
        return random.choice([each for each in proxies if self.misses[each.id] < 2] or proxies)


class Session:
    """A long session of a client, opened again after it ended."""

    def __init__(self, world, balancer, kind, database, name, ended):
        self.world, self.balancer, self.kind = world, balancer, kind
        self.database, self.name = database, name
        self.ended = ended
        self.sent = None
        self.proxy = None

    async def run(self):
        while True:
            client = None
            try:
                self.proxy = self.balancer.choose()
                client = await Client.open(self.world, self.proxy, self.database, self.name)
                while await self._operation(client):
                    await asyncio.sleep(random.uniform(*THINK_S[self.kind]))
            except OSError:
                if self.sent is not None:
                    self.ended.append((self.world.record.now(), self.proxy.id, *self.sent))
                await asyncio.sleep(0.1)
            if client is not None:
                client.close()

    async def _operation(self, client):
        item, draw = self.name, random.random()
        if draw < TRANSACTIONS[self.kind]:
            texts = ["BEGIN", *[f"WRITE {item} 1"] * random.randrange(1, 5), "COMMIT"]
        elif draw < TRANSACTIONS[self.kind] + WRITES[self.kind]:
            texts = [f"WRITE {item} 1"]
        else:
            texts = [f"READ {item}"]
        for text in texts:
            number = Client.new_number()
            self.sent = (self.world.record.now(), number)
            answer = await client.ask(text, number, DEADLINE_S + 1)
            self.sent = None
            if not answer.succeeded:
                return False
            if len(texts) > 1:
                await asyncio.sleep(random.uniform(0.05, 0.6))
        return True


async def restart(world, proxy, stopped_at):
    """Stop a machine as planned, and start it again."""
    world.record.write(f"SIGTERM {proxy.id}")
    stopped_at.append((world.record.now(), proxy.id))
    proxy.signal(signal.SIGTERM)
    end = world.record.now() + GRACE_S
    while proxy.running and world.record.now() < end:
        await asyncio.sleep(0.02)
    if proxy.running:
        proxy.signal(signal.SIGKILL)
        proxy.child.wait()
    world.record.write(f"{proxy.id} has ended")
    await asyncio.sleep(0.5)
    proxy.start()
    await proxy.wait_ready()


async def case(world):
    timeout_ms = round(TIMEOUT_S * 1000)
    zones = list(world.ZONES)
    services = []
    for number in range(SERVICES):
        service = Service(f"ledger{number}", world.platform, slots=2, connections=16, promote_s=0.3)
        services.append(service)
        # The first member leads; each service has its primary in another zone.
        for index in range(len(zones)):
            zone = zones[(number + index) % len(zones)]
            await service.add(zone, 0.020 if index else 0.0, work_s=0.005)
        world.add_route(f"jobs{number}", service, "primary", timeout_ms, 500)
        world.add_route(
            f"bookings{number}", service, "read_your_writes", timeout_ms, 2000, priority=2
        )
    await world.start_proxies(MACHINES, grace_s=GRACE_S)
    balancer, ended, stopped_at = Balancer(world), [], []
    world.spawn(balancer.run())
    for number in range(SERVICES):
        for kind, count in (("jobs", JOB_SESSIONS), ("bookings", BOOKING_SESSIONS)):
            for index in range(count):
                name = f"{kind[0]}{number}x{index}"
                session = Session(world, balancer, kind, f"{kind}{number}", name, ended)
                world.spawn(session.run())
    await asyncio.sleep(7)
    if TROUBLE:
        for proxy in world.proxies:
            await restart(world, proxy, stopped_at)
            await asyncio.sleep(6)
    else:
        await asyncio.sleep(50)
    broken = 0
    for at, machine, sent_at, number in ended:
        stops = [t for t, name in stopped_at if name == machine and t <= at < t + GRACE_S + 1]
        waited = at - sent_at
        if not stops or waited <= LOSS_SLACK_S or waited >= min(TIMEOUT_S, DEADLINE_S):
            continue
        members = [each for service in services for each in service.members.values()]
        ran = [run for member in members for run in member.runs if run[1] == number and run[0] < at]
        if ran and ran[-1][0] > at - GRACE_S / 6 and sent_at <= stops[-1] + 3:
            # The member was at work on it at the end of the grace.
            continue
        broken += 1
        world.record.write(
            f"LOST {number}, sent {sent_at - stops[-1]:.3f} s after the SIGTERM of {machine}, "
            f"ended without an answer {waited:.3f} s later, {'run' if ran else 'not run'} by then"
        )
    world.record.write(f"{len(stopped_at)} stops, {broken} requests cut without an answer")
    return BROKEN if broken else HELD


main(case, __file__)
