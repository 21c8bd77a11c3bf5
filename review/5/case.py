"""Two clients prepare statements of different shapes, which share a connection to the member."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))

from world import BROKEN, HELD, TROUBLE, Client, Service, main  # noqa: E402

FIRST, SECOND = ("lot by", "lot_by") if TROUBLE else ("lot by", "lot at")


async def case(world):
    service = Service("books", world.platform)
    for index, zone in enumerate(world.ZONES):
        await service.add(zone, 0.012 if index else 0.0)
    world.add_route("stock", service, "primary")
    await world.start_proxies(1)
    shape_by_number = {}
    clients = []
    for number, shape in enumerate((FIRST, SECOND)):
        client = await Client.open(world, world.proxies[0], "stock", f"c{number}")
        assert (await client.ask(f"PREPARE s1 WRITE {shape}")).succeeded
        clients.append((client, shape))
    for turn in range(20):
        for client, shape in clients:
            number = Client.new_number()
            shape_by_number[number] = shape
            await client.ask(f"EXECUTE s1 item{turn} data{turn}", number)
    await asyncio.sleep(0.2)
    broken = 0
    for number, shape in shape_by_number.items():
        ran = world.record.shapes.get(number)
        if ran is not None and ran[1] != shape:
            broken += 1
            world.record.write(f"PINNED {number} ran the shape {ran[1]!r}, prepared as {shape!r}")
    world.record.write(f"{len(shape_by_number)} executed, {broken} ran another shape")
    return BROKEN if broken else HELD


main(case, __file__)
