"""The reader's host is lost right after a change; the idle channels of the others to the store have gone silent."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import fleet as lib

FEED = {"feed": ("127.198.18.1", 8443, "catalogo", "safe", 3000)}
ROUTES = {**FEED, "submit": ("127.198.18.1", 8080, "catalogo", "unsafe", 4000)}
CALLERS = 24
BUSY = 4.5  # for_s of platform_down (busy) in lomoclaro-edge


def fleet(folder, seed):
    return lib.Fleet(folder, seed)


async def call(fl, consumer, over):
    number = 0
    while not over.is_set():
        flow = await consumer.open(FEED["feed"][:2])
        if flow is None:
            await asyncio.sleep(0.2)
            continue
        while not over.is_set():
            number += 1
            answer = await consumer.request(flow, f"feed-{consumer.name}-{number}",
                                            round(fl.random.uniform(20, 60), 1), 3)
            if answer is None or answer == "reset":
                break
            await asyncio.sleep(fl.random.uniform(0.3, 1.0))
        consumer.close(flow)


async def submit(fl, consumer, acked_at):
    """Opens flows on the new route. The first packet of each goes to the host that the router chooses."""
    route = ROUTES["submit"]
    while lib.now() - acked_at < 6:
        sent_at = lib.now()
        flow = await consumer.open(route[:2])
        late = sent_at - acked_at
        if flow is None:
            host = consumer.refused_by
            fl.note(f"{consumer.name}: a flow on the new route, sent {late:.3f} s after the ack, is refused by "
                    f"{host.name if host else 'nobody: no answer'}")
            if host is not None and late > lib.PROPAGATION and fl.in_touch(host):
                fl.report(f"CONFIG: {host.name} refused a flow on the new route, sent {late:.3f} s after the ack")
        else:
            fl.note(f"{consumer.name}: a flow on the new route, sent {late:.3f} s after the ack, is open")
            consumer.close(flow)
        await asyncio.sleep(fl.random.uniform(0.05, 0.1))


async def play(fl, trouble):
    zones = list(lib.ZONES)
    store = fl.store
    for n in range(14):
        await fl.add_target("catalogo", zones[n % 3])
    fl.publish(FEED)
    await fl.start()
    over = asyncio.Event()
    for n in range(CALLERS):
        fl.spawn(call(fl, await fl.add_consumer(zones[n % 3]), over))
    await asyncio.sleep(3)
    if trouble:
        fl.note("the store is busy: it answers 503")
        store.disturbed_at = lib.now()
        store.turned_away = {it.number: 503 for it in fl.hosts}
        await asyncio.sleep(BUSY)
        store.turned_away, store.disturbed_at = {}, lib.now()
        fl.note("the store is back")
    await asyncio.sleep(6)
    reader = store.calls[-1][1]
    fl.note(f"calls by host: {[sum(1 for it in store.calls if it[1] == n + 1) for n in range(8)]}, reader {reader}")
    if trouble:
        fl.note("all channels to the store that are idle go silent, those of the reader go on")
        store.silenced = {it.number: lib.now() for it in fl.hosts if it.number != reader}
    await asyncio.sleep(8)
    calls = len(store.calls)
    while not any(it[1] == reader and it[3] == 200 for it in store.calls[calls:]):
        await asyncio.sleep(0.002)
    fl.publish(ROUTES)
    acked_at = lib.now()
    if trouble:
        lost = fl.hosts[reader - 1]
        lost.disturbed_at = lib.now()
        lost.process.kill()
        fl.note(f"{lost.name} loses power")
    await asyncio.gather(*(submit(fl, it, acked_at) for it in fl.consumers))
    over.set()
    return 1 if fl.broken else 0


if __name__ == "__main__":
    lib.main(FOLDER, sys.modules[__name__])
