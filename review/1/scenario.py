"""Another writer's entry can't be read; the platform kills processes that exceed their memory."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins.world import World  # noqa: E402

ZONES = ["sando", "sando", "couva", "couva", "pointe", "pointe"]
ROUTE = ("198.18.0.1", 8443)
MEMORY_BYTES = 80 * 1024 * 1024  # limits.memory_mb
RESTART_DELAY_S = 0.5
VALUE = b"[" * 1048576  # platform.value_bytes
WATCHED_S = 30.0
MAX_ENDS = 3  # "processes end by themselves three times in the day"
MIN_MACHINES = 2  # "on a tenth of the machines in use (two at least)"


def peak_bytes(pid):
    try:
        with open(f"/proc/{pid}/status") as file:
            return next(int(it.split()[1]) * 1024 for it in file if it.startswith("VmHWM:"))
    except (OSError, StopIteration):
        return 0  # it has just ended


async def platform(world, host, ends):
    """Kills the process if it exceeds its memory, and starts it again after a short delay."""
    while True:
        await asyncio.sleep(0.01)
        peak = peak_bytes(host.process.pid) if host.process.returncode is None else 0
        if host.process.returncode is None and peak <= MEMORY_BYTES:
            continue
        if host.process.returncode is None:
            world.record.write(f"{host.name}: exceeds its memory with {peak} bytes")
            host.kill()
        else:
            world.record.write(f"{host.name}: ended with status {host.process.returncode}")
        await host.process.wait()
        ends[host.name] = ends.get(host.name, 0) + 1
        await asyncio.sleep(RESTART_DELAY_S)
        await host.start()


async def served_share(world, callers, name):
    tasks = []
    for n in range(10):
        for i, host in enumerate(world.hosts):
            tasks.append(asyncio.ensure_future(
                callers[(n + i) % len(callers)].request(host, ROUTE, f"{name}-{n}-{i}")))
        await asyncio.sleep(0.2)
    outcomes = [it[0] for it in await asyncio.gather(*tasks)]
    share = outcomes.count("answered") / len(outcomes)
    world.record.write(f"{name}: {len(outcomes)} requests, share served {share:.3f}")
    return share


async def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(FOLDER)
    tasks = []
    try:
        await world.store.start()
        world.services = ["counter"]
        world.routes = [world.route("r-stock", ROUTE, "counter")]
        world.publish()
        for zone in ZONES:
            await world.add_server("counter", zone)
        world.add_hosts(ZONES)
        for it in world.hosts:
            await it.start(bootstrap=True)
        ends = {}
        tasks = [asyncio.ensure_future(platform(world, it, ends)) for it in world.hosts]
        callers = [await world.add_caller() for _ in range(8)]
        if not await world.wait_ready(world.hosts):
            print("the hosts didn't become ready")
            return 2
        await asyncio.sleep(5)
        before = await served_share(world, callers, "before")
        if trouble:
            world.store.put("servers/i-90000000", VALUE)
        await asyncio.sleep(WATCHED_S)
        after = await served_share(world, callers, "after")
        peaks = [peak_bytes(it.process.pid) // 1024 for it in world.hosts if it.process.returncode is None]
        world.record.write(f"ends of processes: {ends}; peak memory of those that run, KiB: {peaks}")
        machines = sum(n >= MAX_ENDS for n in ends.values())
        print(f"hosts whose process ended {MAX_ENDS} times or more: {machines}; ends: {sum(ends.values())}; "
              f"served before {before:.3f}, after {after:.3f}")
        if machines >= MIN_MACHINES:
            world.record.write(f"BROKEN: on {machines} hosts the process ended {MAX_ENDS} times or more")
            return 1
        return 0
    finally:
        for it in tasks:
            it.cancel()
        await world.stop()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as error:  # the case couldn't run
        print(f"could not run: {error!r}")
        sys.exit(2)
