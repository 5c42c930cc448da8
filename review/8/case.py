"""Entries of another writer: the hosts reset the open flows of targets that live and are undisturbed."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import fleet as lib

ROUTES = {"feed": ("198.18.0.1", 8443, "catalogo", "safe", 3000),
          "submit": ("198.18.0.1", 8080, "catalogo", "unsafe", 4000)}
CALLERS = 24


class Fleet(lib.Fleet):
    def on_reset(self, consumer, flow, packet, source):
        self.check_flow_reset(flow, packet, source)


def fleet(folder, seed):
    return Fleet(folder, seed)


async def call(fl, consumer, route, over):
    number = 0
    while not over.is_set():
        flow = await consumer.open(ROUTES[route][:2])
        if flow is None:
            await asyncio.sleep(0.2)
            continue
        while not over.is_set():
            number += 1
            answer = await consumer.request(flow, f"{route}-{consumer.name}-{number}",
                                            round(fl.random.uniform(20, 60), 1), ROUTES[route][4] / 1000)
            if answer is None or answer == "reset":
                break
            await asyncio.sleep(fl.random.uniform(0.1, 0.4))
        consumer.close(flow)


async def play(fl, trouble):
    zones = list(lib.ZONES)
    for n in range(14):
        await fl.add_target("catalogo", zones[n % 3])
    fl.publish(ROUTES)
    await fl.start()
    over = asyncio.Event()
    for n in range(CALLERS):
        fl.spawn(call(fl, await fl.add_consumer(zones[n % 3]), ("feed", "submit")[n % 2], over))
    await asyncio.sleep(8)
    if trouble:
        # Both entries name no target to use: one has a service that no configuration names, the other cannot be read.
        for n, target in enumerate(fl.targets[:4]):
            key = f"servers/m-{0x7000 + n:x}"
            fl.store.put(key, json.dumps({**target.entry(), "service": "monitor"}))
            fl.note(f"another writer: {key} of service monitor at the address of {target.name}")
        await asyncio.sleep(3)
        for target in fl.targets[:4]:
            fl.store.put(f"servers/{target.name}", b"\xff\x00\x01")
            fl.note(f"another writer: servers/{target.name} cannot be read")
    await asyncio.sleep(6)
    over.set()
    return 1 if fl.broken else 0


if __name__ == "__main__":
    lib.main(FOLDER, sys.modules[__name__])
