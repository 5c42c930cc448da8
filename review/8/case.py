"""After an outage of the store that is long over, hosts still send new flows to targets whose entries the store has
removed."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import fleet as lib

ROUTES = {"submit": ("127.198.18.1", 8080, "catalogo", "unsafe", 4000),
          "sheet": ("127.198.18.2", 8443, "pliegos", "download", 8000)}
CALLERS = 16
OUTAGE = 4.5  # for_s of platform_down in lomoclaro-edge


class Fleet(lib.Fleet):
    def __init__(self, folder, seed):
        super().__init__(folder, seed)
        self.gone_at = {}  # target: when the store removed its entry

    def on_syn(self, target, packet, source):
        at = self.gone_at.get(target.name)
        host = next((it for it in self.hosts if it.ip == source), None)
        if at and lib.now() - at > lib.DRAIN and host and self.in_touch(host):
            self.report(f"DRAIN: {host.name} sent the new flow {packet.src[0]}:{packet.src[1]} to {target.name}, whose "
                        f"entry the store removed {lib.now() - at:.1f} s before")


def fleet(folder, seed):
    return Fleet(folder, seed)


async def call(fl, consumer, over):
    number = 0
    while not over.is_set():
        number += 1
        route = fl.random.choice(sorted(ROUTES))
        flow = await consumer.open(ROUTES[route][:2])
        if flow is not None:
            await consumer.request(flow, f"{route}-{consumer.name}-{number}", round(fl.random.uniform(5, 40), 1),
                                   ROUTES[route][4] / 1000)
            consumer.close(flow)
        await asyncio.sleep(fl.random.uniform(0.1, 0.4))


async def play(fl, trouble):
    zones = list(lib.ZONES)
    store = fl.store
    for n in range(14):
        await fl.add_target("catalogo", zones[n % 3])
    sheets = [await fl.add_target("pliegos", zone) for zone in ("med-a", "med-a", "med-b", "med-c")]
    fl.publish(ROUTES)
    await fl.start()
    over = asyncio.Event()
    for n in range(CALLERS):
        fl.spawn(call(fl, await fl.add_consumer(zones[n % 3]), over))
    await asyncio.sleep(5)
    if trouble:
        fl.note("the store is down: its connections are reset, and entries expire meanwhile")
        store.down, store.disturbed_at = True, lib.now()
        store.changed.set()
        await asyncio.sleep(3 * lib.HEARTBEAT)
        for target in fl.targets:
            store.remove(f"servers/{target.name}")
        await asyncio.sleep(OUTAGE - 3 * lib.HEARTBEAT)
        store.down, store.disturbed_at = False, lib.now()
        fl.note("the store is back")
    await asyncio.sleep(10)
    missing = [it.name for it in fl.targets if f"servers/{it.name}" not in store.items]
    fl.note(f"entries of living targets that the store lacks: {missing}")
    if missing:
        raise RuntimeError("entries are missing")
    # In both runs: the targets of one service cannot reach the store any more.
    for target in sheets:
        target.reaches_store = False
    fl.note("the targets of pliegos cannot reach the store")
    while any(f"servers/{it.name}" in store.items for it in sheets):
        await asyncio.sleep(0.02)
        for target in sheets:
            if f"servers/{target.name}" not in store.items:
                fl.gone_at.setdefault(target.name, lib.now())
    for target in sheets:
        fl.gone_at.setdefault(target.name, lib.now())
    await asyncio.sleep(lib.DRAIN + 8)
    over.set()
    return 1 if fl.broken else 0


if __name__ == "__main__":
    lib.main(FOLDER, sys.modules[__name__])
