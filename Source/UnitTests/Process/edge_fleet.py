"""Runs a fleet of auburnedge processes on loopback and injects faults.

Registry, routers, backend servers and callers are simulated in this process. It
injects faults from outside (signals, a registry that is down or doesn't answer,
backend servers that stop answering) and checks the guarantees from what callers
and backend servers observe.

usage: edge_fleet.py BIN_DIR --seed N [--seconds S] [--calm] [--net N] [--hosts N]
"""
import argparse
import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
import urllib.parse

from odd_entries import OddEntryWriter

PACKET_HEADER = struct.Struct(">IBIIHIHIIH")
SYN, ACK, FIN, RST = 8, 128, 64, 4
READY_PORT, CONTROL_PORT, PEER_PORT, PACKET_PORT = 8167, 8166, 7720, 8172
CHANGE_BOUND_SECONDS = 3.0  # until a change is in force on all hosts
EVACUATION_BOUND_SECONDS = 5.0  # until an evacuation is in force on all hosts
SETTLE_SECONDS = 4.0  # without a fault, after which the bounds hold
REQUEST_TIMEOUT_SECONDS = 3.0  # after which a caller gives up a request
STRAY_SECONDS, STRAY_PACKETS = 2.0, 3  # packets to other servers, none to the own, that break an open flow
MAX_MEMORY_KIB = 80 * 1024  # memory of the smallest hosts
KEYED_CHECKSUM = 0x5EED  # any value other than 0, which marks a reset by a host

now = time.monotonic


def address_to_int(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def address_to_string(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, dst, flags, seq=0, ack=0, echo=0, data=b"", keyed=KEYED_CHECKSUM):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, seq, ack
        self.echo, self.data, self.keyed = echo, data, keyed

    def encode(self):
        return PACKET_HEADER.pack(self.keyed, self.flags, self.seq, self.ack, self.src[1], address_to_int(self.src[0]),
                         self.dst[1], address_to_int(self.dst[0]), self.echo, len(self.data)) + self.data

    @staticmethod
    def decode(buf):
        keyed, flags, seq, ack, sport, src, dport, dst, echo, size = PACKET_HEADER.unpack(buf[:31])
        assert len(buf) == 31 + size
        return Packet((address_to_string(src), sport), (address_to_string(dst), dport), flags, seq, ack, echo,
                      buf[31:], keyed)


class DatagramHandler(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.handler(data, addr)


async def open_udp(at, handler):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: DatagramHandler(handler), local_addr=at)
    return transport


class Registry:
    """Simulates the metadata store: items, watches and failure modes."""

    PAGE_ITEMS, PAGE_BYTES = 10, 1_000_000  # the platform's pages have 500 items; fewer make lists of several pages

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 1
        self.mode = "up"
        self.changed = asyncio.Event()
        self.calls = 0
        self.disturbed_at = -100.0
        self.silenced_before = -100.0
        self.era = 1
        self.copies = []  # (time, revision, items), oldest first

    def restore(self, age):
        """Goes back to the state of some seconds ago. What was written since is lost, and its revisions are given
        out again."""
        copies = [it for it in self.copies if it[0] <= now() - age]
        if not copies:
            return
        _, self.revision, items = copies[-1]
        self.items = dict(items)
        self.copies = copies
        self.events = [it for it in self.events if it["revision"] <= self.revision]
        self.era += 1

    def silence_connections(self):
        """Stops answering on the open connections for good; new connections work."""
        self.silenced_before = self.disturbed_at = now()

    def set_mode(self, mode):
        self.mode = mode
        self.disturbed_at = now()

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        data = value if isinstance(value, bytes) else value.encode()
        self.items[key] = {"key": key, "value": base64.b64encode(data).decode(),
                           "revision": self.revision, "created": created, "lease": 0}
        self.notify(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.notify({"key": key, "revision": self.revision, "tombstone": True})

    def notify(self, event):
        self.copies.append((now(), self.revision, dict(self.items)))
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        opened = now()
        try:
            while True:
                request = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.calls += 1
                target = request.split(" ")[1]
                path, _, query = target.partition("?")
                parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, body = await self.answer(path, parameters)
                if self.mode == "silent" or opened < self.silenced_before:
                    await asyncio.sleep(30)
                if self.mode == "slow":
                    await asyncio.sleep(random.uniform(0.2, 0.6))
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                text = json.dumps(body)
                writer.write(f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n{text}".encode())
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, parameters):
        if self.mode in ("down", "busy"):
            return (503 if self.mode == "down" else 429), {}
        if path == "/kv-range":
            items = [it for key, it in sorted(self.items.items()) if key > parameters.get("after", "")]
            page, size = [], 0
            for it in items[:self.PAGE_ITEMS]:
                size += len(it["value"])
                if page and size > self.PAGE_BYTES:
                    break
                page.append(it)
            return 200, {"items": page, "has_more": len(items) > len(page), "at_rev": self.revision}
        after = int(parameters["after"])
        if after > self.revision:
            return 410, {}
        changed = self.changed
        found = [it for it in self.events if it["revision"] > after]
        if not found:
            try:
                await asyncio.wait_for(changed.wait(), int(parameters["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
            found = [it for it in self.events if it["revision"] > after]
        return 200, {"events": found, "at_rev": self.revision}


class RegistryProxy:
    """Proxies the connections of one host to the registry and injects faults."""

    MODES = ("delay", "reset", "silent", "one_way")

    def __init__(self, at, to):
        self.at, self.to, self.mode, self.open = at, to, "pass", set()

    async def start(self):
        await asyncio.start_server(self.serve, *self.at)

    async def inject_fault(self, mode, seconds):
        self.mode = mode
        if mode == "reset":
            for it in self.open:
                it.transport.abort()
        await asyncio.sleep(seconds)
        self.mode = "pass"
        # A connection that has lost bytes can't be used any more.
        if mode in ("silent", "one_way"):
            for it in self.open:
                it.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        upstream_reader, upstream_writer = await asyncio.open_connection(*self.to)
        self.open |= {writer, upstream_writer}
        await asyncio.gather(self.copy_bytes(reader, upstream_writer, False),
                             self.copy_bytes(upstream_reader, writer, True))
        self.open -= {writer, upstream_writer}

    async def copy_bytes(self, reader, writer, answers):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(random.uniform(0.1, 0.8))
                if self.mode == "silent" or (self.mode == "one_way" and answers):
                    continue
                writer.write(data)
        except ConnectionError:
            pass
        writer.close()


class BackendServer:
    def __init__(self, fleet, number, service, zone, host):
        self.fleet, self.number, self.service, self.zone = fleet, number, service, zone
        self.identity = 0x1000000000 + number
        self.name = f"i-{self.identity:x}"
        self.host = host
        self.flows, self.alive, self.draining_since = {}, True, None
        self.disturbed_at = -100.0
        self.busy = 0
        self.entries_written = 0
        self.state = "ready"

    async def start(self):
        self.transport = await open_udp((self.host, 8000), self.on_datagram)
        self.register("ready")

    def entry(self):
        return json.dumps({
            "service": self.service, "address": f"{self.host}:8000", "zone": self.zone, "version": "v1",
            "slots": 2, "state": self.state, "cold_left_ms": 0, "sequence": self.entries_written, "born": 1})

    def register(self, state):
        self.state = state
        self.entries_written += 1
        self.fleet.registry.put(f"servers/{self.name}", self.entry())

    async def register_again(self):
        """Writes the entry again if a restored registry has another one."""
        await asyncio.sleep(random.uniform(0, 0.7))
        item = self.fleet.registry.items.get(f"servers/{self.name}")
        stored = json.loads(base64.b64decode(item["value"])) if item else {}
        if self.alive and stored.get("state") != self.state:
            self.register(self.state)
        elif not self.alive:
            await self.fleet.expire_entry(self)

    def drain(self):
        self.draining_since = now()
        self.register("draining")

    def crash(self):
        """Stops answering; its registry entry expires after three heartbeats."""
        self.alive = False
        self.disturbed_at = now()
        self.flows.clear()

    def end(self):
        self.alive = False
        self.transport.close()
        self.fleet.registry.remove(f"servers/{self.name}")

    def send(self, packet):
        host, port = packet.dst[0], PACKET_PORT
        if self.alive and not self.transport.is_closing():
            self.transport.sendto(packet.encode(), (host, port))

    def on_datagram(self, data, addr):
        if self.fleet.is_cut(self, addr[0]) or random.random() < self.fleet.loss_rate:
            return
        identity = struct.unpack(">Q", data[:8])[0]
        p = Packet.decode(data[8:])
        self.fleet.on_packet_arrived(self, p)
        if not self.alive or identity not in (0, self.identity):
            return
        if p.keyed != KEYED_CHECKSUM:
            self.fleet.report_failure(f"{self.name}: received a packet with checksum {p.keyed:#x}, "
                                      f"expected {KEYED_CHECKSUM:#x}")
        flow = self.flows.get(p.src)
        if p.flags & SYN:
            self.fleet.on_syn_arrived(self, p, addr[0])
            if flow is None:
                flow = self.flows[p.src] = {"seq": random.getrandbits(31), "next": p.seq + 1, "open": False}
            flow["echo"] = p.echo
            self.send(Packet(p.dst, p.src, SYN | ACK, flow["seq"], p.seq + 1, p.echo))
            return
        if flow is None:
            self.send(Packet(p.dst, p.src, RST, p.ack, 0, p.echo))
            return
        flow["echo"] = p.echo
        flow["open"] = True
        if p.flags & (FIN | RST):
            self.flows.pop(p.src, None)
        elif p.data:
            if p.seq == flow["next"]:
                flow["next"] += len(p.data)
                flow["answer"] = None
                asyncio.ensure_future(self.run(p, flow))
            elif flow.get("answer"):
                self.send(flow["answer"])

    async def run(self, p, flow):
        request = p.data.decode()
        self.busy += 1
        self.fleet.on_request_run(self, request)
        await asyncio.sleep(0.01 * self.fleet.random.uniform(0.5, 2) * max(1, self.busy - 1))
        self.busy -= 1
        body = f"{request}|{self.service}|{self.name}".encode()
        answer = Packet(p.dst, p.src, ACK, flow["seq"] + 1, p.seq + len(p.data), flow["echo"], body)
        flow["seq"] += len(body)
        flow["answer"] = answer
        self.send(answer)


class Host:
    def __init__(self, fleet, number, zone):
        self.fleet, self.number, self.zone = fleet, number, zone
        self.ip = fleet.address(1, number)
        self.name = f"front-{zone}-{number}"
        # The programs of --odd-bin-dir may be of an earlier version.
        self.knows_evacuations = fleet.bin_dir_of(number) == fleet.bin_dir
        self.process, self.in_rotation, self.misses = None, False, 0
        self.proxy = RegistryProxy((fleet.address(4, number), 8169), (fleet.address(4, 0), 8169))
        self.disturbed_at = -100.0
        self.stopping = False

    async def start(self):
        file = os.path.join(self.fleet.folder, f"{self.name}.json")
        with open(file, "w") as out:
            json.dump({"host": self.name, "zone": self.zone, "packets": f"{self.ip}:{PACKET_PORT}",
                       "ready": f"{self.ip}:{READY_PORT}", "control": f"{self.ip}:{CONTROL_PORT}",
                       "peers": f"{self.ip}:{PEER_PORT}", "registry": f"{self.fleet.address(4, self.number)}:8169",
                       "seeds": [f"{self.fleet.address(1, n)}:{CONTROL_PORT}" for n in range(1, 4)],
                       "serverHeartbeat": "700ms", "changeBound": "3s", "stopTimeout": "6s",
                       **({"evacuationBound": "5s"} if self.knows_evacuations else {})}, out)
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(self.fleet.bin_dir_of(self.number), "auburnedge"), "--settings", file, stdout=log, stderr=log)
        log.close()

    def mark_disturbed(self):
        self.disturbed_at = now()

    def check_process(self):
        """Reports a process that ended by itself or exceeded its memory."""
        if self.process.returncode not in (None, 0, -signal.SIGKILL):
            self.fleet.report_failure(f"{self.name}: ended by itself with status {self.process.returncode}")
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                peak = next((int(it.split()[1]) for it in file if it.startswith("VmHWM:")), 0)
        except OSError:
            return  # it has just ended
        self.fleet.counts["max_memory_kib"] = max(self.fleet.counts["max_memory_kib"], peak)
        if peak > MAX_MEMORY_KIB:
            self.fleet.report_failure(f"{self.name}: used {peak} KiB of memory, limit {MAX_MEMORY_KIB} KiB")

    async def kill(self, down_seconds=0.3):
        self.mark_disturbed()
        self.check_process()
        self.process.kill()
        await self.process.wait()
        await asyncio.sleep(down_seconds)
        self.mark_disturbed()
        await self.start()

    async def stop(self):
        self.stopping = True
        self.check_process()
        began = now()
        self.process.terminate()
        code = await self.process.wait()
        self.stopping = False
        if code != 0 or now() - began > 6:
            self.fleet.report_failure(f"{self.name}: ended with status {code} after {now() - began:.1f} s, "
                                      "expected status 0 within 6 s")
        await asyncio.sleep(0.2)
        self.mark_disturbed()
        await self.start()

    async def pause(self, seconds):
        self.mark_disturbed()
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)
        self.mark_disturbed()

    async def get(self, path):
        reader, writer = await asyncio.open_connection(self.ip, CONTROL_PORT)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        text = (await reader.read()).decode()
        writer.close()
        return text.partition("\r\n\r\n")[2]

    async def disrupt_registry_link(self, mode, seconds):
        self.mark_disturbed()
        await self.proxy.inject_fault(mode, seconds)
        self.mark_disturbed()

    async def metrics(self):
        text = await self.get("/metrics")
        return {it.split()[0]: float(it.split()[1]) for it in text.splitlines() if it.startswith("auburnedge_")}

    async def probe(self):
        """Probes readiness as the routers do.

        Two failures take the host out of rotation, one success puts it back.
        """
        while not self.fleet.is_over:
            ready = False
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY_PORT), 0.4)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                ready = b" 200 " in await asyncio.wait_for(reader.readline(), 0.4)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            self.misses = 0 if ready else self.misses + 1
            if ready:
                self.in_rotation = True
            elif self.misses >= 2:
                self.in_rotation = False
            await asyncio.sleep(0.25)


class Caller:
    def __init__(self, fleet, number, zone):
        self.fleet, self.zone = fleet, zone
        self.ip = fleet.address(2, number)
        self.flows, self.port = {}, 1024  # queues of arrived packets

    async def start(self):
        self.transport = await open_udp((self.ip, PACKET_PORT), self.on_datagram)

    def send(self, packet):
        host = self.fleet.route(self.zone, packet)
        if random.random() >= self.fleet.loss_rate:
            self.transport.sendto(packet.encode(), (host.ip, PACKET_PORT))

    def on_datagram(self, data, addr):
        p = Packet.decode(data)
        if p.flags & RST:
            self.fleet.on_reset(p, addr[0])
        queue = self.flows.get(p.dst[1])
        if queue is not None:
            queue.put_nowait((p, addr[0]))

    async def exchange(self, queue, packet, wanted, limit):
        """Sends with retransmissions until wanted(answer) or a reset.

        Returns the answer and its source, or None and None after the limit.
        """
        began, pause, copies = now(), 0.2, 0
        while now() - began < limit:
            self.send(packet)
            deadline = now() + min(pause, limit - (now() - began))
            while now() < deadline:
                try:
                    p, source = await asyncio.wait_for(queue.get(), deadline - now())
                except asyncio.TimeoutError:
                    break
                if p.flags & RST or wanted(p):
                    return p, source
            pause *= 2
            copies += 1
            if packet.flags == SYN:
                packet.ack = copies
        return None, None

    async def open(self, route):
        self.port = 1024 + (self.port - 1023) % 60000
        me, to = (self.ip, self.port), route
        queue = self.flows[self.port] = asyncio.Queue()
        seq = random.getrandbits(31)
        syn = Packet(me, to, SYN, seq)
        p, source = await self.exchange(queue, syn, lambda it: it.flags & SYN, 1.4)
        if p is None or p.flags & RST:
            self.flows.pop(me[1], None)
            return None, p
        self.fleet.counts["opened"] += 1
        flow = {"me": me, "to": to, "queue": queue, "seq": seq + 1, "ack": p.seq + 1, "echo": p.echo,
                "server": next(it for it in self.fleet.servers if it.host == source),
                "is_reset": False, "reached_at": now(), "strays": []}
        self.fleet.flows[me] = flow
        self.send(Packet(me, to, ACK, flow["seq"], flow["ack"], flow["echo"]))
        return flow, None

    async def request(self, flow, text, limit):
        data = text.encode()
        packet = Packet(flow["me"], flow["to"], ACK, flow["seq"], flow["ack"], flow["echo"], data)
        p, _ = await self.exchange(flow["queue"], packet, lambda it: it.data and it.seq == flow["ack"], limit)
        if p is None or p.flags & RST:
            return None
        flow["seq"] += len(data)
        flow["ack"] += len(p.data)
        flow["echo"] = p.echo
        self.send(Packet(flow["me"], flow["to"], ACK, flow["seq"], flow["ack"], flow["echo"]))
        return p.data.decode()

    def close(self, flow):
        self.fleet.check_strays(flow)
        self.send(Packet(flow["me"], flow["to"], FIN | ACK, flow["seq"], flow["ack"], flow["echo"]))
        self.flows.pop(flow["me"][1], None)


class Fleet:
    ROUTES = {"orders": ("198.18.0.1", 443), "sheets": ("198.18.0.2", 443)}
    IDLE_ROUTE = ("198.18.0.9", 443)

    def __init__(self, bin_dir, seed, folder, net, odd_bin_dir=None):
        self.bin_dir, self.folder, self.net = bin_dir, folder, net
        self.odd_bin_dir = odd_bin_dir or bin_dir
        self.seed = seed
        self.random, self.fault_random = random.Random(seed), random.Random(f"overlapping faults {seed}")
        self.evacuation_random = random.Random(f"evacuations {seed}")
        self.registry = Registry()
        self.evacuated = {}  # zones, and when the registry accepted their evacuation
        self.hosts, self.servers, self.callers = [], [], []
        self.flows = {}  # opened flows by the caller's address
        self.run_counts, self.failures = {}, []
        self.watched = []  # shares of the live servers of which a reset would be reported, every 50 ms
        self.counts = {"sent": 0, "answered": 0, "unanswered": 0, "refused": 0, "feeds": 0, "opened": 0, "resets": 0,
                       "max_lag_ms": 0, "max_memory_kib": 0, "odd_entries": 0, "evacuations": 0, "syns_in_evacuation": 0}
        self.version, self.idle_route_dropped_at = 0, None
        self.number = 0
        self.planned_only = True
        self.loss_rate = 0.0  # fraction of the packets that are lost
        self.cut_zone = None  # zone without links to other zones
        self.log = []

    def bin_dir_of(self, host_number):
        return self.odd_bin_dir if host_number % 2 else self.bin_dir

    def address(self, group, high, low=1):
        """Returns a loopback address; fleets with different nets can run concurrently."""
        return f"127.{10 * self.net + group}.{high}.{low}"

    def report_failure(self, text):
        self.failures.append(f"{now() - self.began:.2f} s: {text}")

    def log_event(self, text):
        self.log.append(f"{now() - self.began:7.2f} {text}")

    # Checks on what callers and backend servers observe.
    def on_request_run(self, server, request):
        kind, wanted, _ = request.split("/")
        if wanted != server.service:
            self.report_failure(f"{request} was run by a server of {server.service}, expected {wanted}")
        self.run_counts[request] = self.run_counts.get(request, 0) + 1
        if kind == "order" and self.run_counts[request] > 1:
            self.report_failure(f"{request} was run twice")

    def is_cut(self, server, source):
        if self.cut_zone is None:
            return False
        host = next((it for it in self.hosts if it.ip == source), None)
        return host is not None and host.zone != server.zone and self.cut_zone in (host.zone, server.zone)

    def is_settled(self, *times):
        return all(now() - it > SETTLE_SECONDS for it in (*times, self.registry.disturbed_at))

    def on_syn_arrived(self, server, packet, source):
        host = next((it for it in self.hosts if it.ip == source), None)
        if server.draining_since and now() - server.draining_since > CHANGE_BOUND_SECONDS and host is not None \
                and self.registry.mode == "up" and self.is_settled(host.disturbed_at):
            self.report_failure(f"{host.name} sent a new flow to {server.name}, "
                      f"draining for {now() - server.draining_since:.1f} s")
        self.check_evacuation(server, host)
        if packet.dst == self.IDLE_ROUTE and self.idle_route_dropped_at \
                and now() - self.idle_route_dropped_at > CHANGE_BOUND_SECONDS and self.is_settled(host.disturbed_at):
            self.report_failure(f"{host.name} used a route {now() - self.idle_route_dropped_at:.1f} s after its removal")

    def check_evacuation(self, server, host):
        """Reports a new flow in a zone that has been evacuated for longer than the bound."""
        if host is None or not host.knows_evacuations or self.registry.mode != "up" or not self.evacuated \
                or now() - max(host.disturbed_at, self.registry.disturbed_at) < EVACUATION_BOUND_SECONDS:
            return
        over = {zone for zone, since in self.evacuated.items() if now() - since > EVACUATION_BOUND_SECONDS}
        self.counts["syns_in_evacuation"] += bool(over)
        if server.zone in over:
            self.report_failure(f"{host.name} sent a new flow to {server.name} of zone {server.zone}, evacuated for "
                                f"{now() - self.evacuated[server.zone]:.1f} s")

    def must_stay_open(self, flow):
        """Whether only the flow's server may reset it: the server got the end of the handshake and lives, and neither
        it nor its links were disturbed of late. The state of hosts and registry excuses nothing."""
        server = flow["server"]
        return server.flows.get(flow["me"], {}).get("open", False) and self.is_undisturbed(server)

    def is_undisturbed(self, server):
        return server.alive and now() - server.disturbed_at > SETTLE_SECONDS and self.cut_zone is None \
            and not self.loss_rate

    def on_reset(self, packet, source):
        flow = self.flows.get(packet.dst)
        if flow is None or flow["is_reset"]:
            return
        self.counts["resets"] += 1
        flow["is_reset"] = True
        if source != flow["server"].host and self.must_stay_open(flow):
            self.report_failure(f"{self.name_at(source)} reset {self.flow_name(flow)}, an open flow of "
                                f"{flow['server'].name}, which is alive")

    def on_packet_arrived(self, server, packet):
        flow = self.flows.get(packet.src)
        if flow is None:
            return
        if server is not flow["server"]:
            flow["strays"].append((now(), server.name))
        self.check_strays(flow)
        if server is flow["server"]:
            flow["reached_at"], flow["strays"] = now(), []

    def check_strays(self, flow):
        """Reports packets of an open flow that reach other servers while none reaches its own."""
        strays = flow["strays"]
        close = any(last[0] - first[0] <= STRAY_SECONDS for first, last in zip(strays, strays[STRAY_PACKETS - 1:]))
        if close and now() - flow["reached_at"] >= STRAY_SECONDS and self.must_stay_open(flow):
            self.report_failure(f"{len(strays)} packets of {self.flow_name(flow)}, an open flow of "
                                f"{flow['server'].name}, reached {sorted({it[1] for it in strays})}, none its server")
            flow["strays"] = []

    def name_at(self, ip):
        names = {it.ip: it.name for it in self.hosts} | {it.host: it.name for it in self.servers}
        return names.get(ip, ip)

    @staticmethod
    def flow_name(flow):
        """Returns the flow as the log lines of the hosts name it."""
        return "%s:%d>%s:%d" % (*flow["me"], *flow["to"])

    def route(self, zone, packet):
        """Returns the host that the routers choose for a packet."""
        near = [it for it in self.hosts if it.zone == zone]
        ready = [it for it in near if it.in_rotation]
        if not ready:
            ready = [it for it in self.hosts if it.in_rotation] or near
        elif len(ready) * 2 < len(near):
            ready = near
        return ready[hash((packet.src, packet.dst)) % len(ready)]

    # The operator.
    def publish(self, with_idle=True):
        self.version += self.random.randint(1, 3)
        routes = [{"name": name, "host": at[0], "prefix": f"/{at[1]}/", "type": "safe", "timeout_ms": 3000,
                   "aim_ms": 200, "service": name} for name, at in self.ROUTES.items()]
        if with_idle:
            routes.append({"name": "idle", "host": self.IDLE_ROUTE[0], "prefix": f"/{self.IDLE_ROUTE[1]}/",
                           "type": "safe", "service": "orders"})
        self.idle_route_dropped_at = None if with_idle else now()
        self.configuration = json.dumps({"version": self.version, "routes": routes, "services": [],
                                         "limits": {"idle_timeout_ms": 15000}})
        self.registry.put("op/config", self.configuration)

    def evacuate(self, zone, is_active):
        """Begins or ends the evacuation of a zone, if the registry takes the write."""
        if self.registry.mode != "up" or is_active == (zone in self.evacuated):
            return
        self.log_event(f"zone {zone} {'evacuated' if is_active else 'used again'}")
        if is_active:
            self.evacuated[zone] = now()
            self.counts["evacuations"] += 1
        else:
            del self.evacuated[zone]
        self.write_evacuations()

    def write_evacuations(self):
        """Brings the registry, which may have been restored, in line with what the operator wants."""
        for zone in {it.zone for it in self.hosts}:
            key = f"op/evacuate/{zone}"
            if zone not in self.evacuated:
                self.registry.remove(key)
            elif key not in self.registry.items:
                self.registry.put(key, self.evacuation_random.choice([b"", b"{}", b"\xff\0", b'{"by": "operator"}']))

    async def evacuate_zones(self):
        """Evacuates zones for a short or a long time, at times all; one may stay evacuated in the end."""
        pick = self.evacuation_random
        zones = sorted({it.zone for it in self.hosts})
        while not self.events_over.is_set():
            await self.wait_for_events(pick.uniform(0.2, 2))
            chosen = zones if pick.random() < 0.1 else [pick.choice(zones)]
            for zone in chosen:
                self.evacuate(zone, True)
            await self.wait_for_events(pick.choice([pick.uniform(0.2, 3), pick.uniform(6, 12)]))
            for zone in chosen:
                self.evacuate(zone, False)
        last = pick.choice([None, *zones])
        for zone in zones:
            while (zone in self.evacuated) != (zone == last):
                self.evacuate(zone, zone == last)
                await asyncio.sleep(0.1)

    async def wait_for_events(self, seconds):
        """Waits, but no longer than until the events are over."""
        try:
            await asyncio.wait_for(self.events_over.wait(), seconds)
        except asyncio.TimeoutError:
            pass

    async def add_server(self, service, zone):
        self.number += 1
        server = BackendServer(self, self.number, service, zone,
                               self.address(3, self.number // 250, self.number % 250 + 1))
        self.servers.append(server)
        await server.start()
        return server

    async def start(self, zones=("a", "b"), hosts_per_zone=2, servers_per_zone=4):
        self.began = now()
        await asyncio.start_server(self.registry.serve, self.address(4, 0), 8169)
        self.publish()
        for zone in zones:
            for n in range(servers_per_zone):
                await self.add_server("sheets" if n == 0 else "orders", zone)
        for zone in zones:
            for _ in range(hosts_per_zone):
                host = Host(self, len(self.hosts) + 1, zone)
                self.hosts.append(host)
                await host.proxy.start()
                await host.start()
                asyncio.ensure_future(host.probe())
        # More callers than this would take the whole processor.
        for n in range(min(4 * hosts_per_zone, 24)):
            caller = Caller(self, n + 1, zones[n % len(zones)])
            self.callers.append(caller)
            await caller.start()
        deadline = now() + 10
        while not all(it.in_rotation for it in self.hosts):
            if now() > deadline:
                raise SystemExit("the hosts did not become ready within 10 s")
            await asyncio.sleep(0.05)

    def check_answer(self, request, answer, service):
        self.counts["answered"] += 1
        text, by, _ = answer.split("|")
        if text != request or by != service:
            self.report_failure(f"{request} to {service} got the answer {answer}")

    async def send_requests(self, caller):
        while not self.is_over:
            service = self.random.choice(["orders", "orders", "sheets"])
            kind = "order" if service == "orders" else "sheet"
            self.number_of_request = getattr(self, "number_of_request", 0) + 1
            request = f"{kind}/{service}/{self.number_of_request}"
            self.counts["sent"] += 1
            flow, reset = await caller.open(self.ROUTES[service])
            if flow is None:
                self.counts["refused" if reset else "unanswered"] += 1
                if reset is not None and request in self.run_counts:
                    self.report_failure(f"{request} was refused, but also run")
            else:
                answer = await caller.request(flow, request, REQUEST_TIMEOUT_SECONDS)
                caller.close(flow)
                if answer is None:
                    self.counts["unanswered"] += 1
                else:
                    self.check_answer(request, answer, service)
            await asyncio.sleep(self.pause_factor * self.random.uniform(0.01, 0.1))

    async def keep_feed(self, caller):
        """Keeps a flow open as long as it works and replaces it when it breaks."""
        while not self.is_over:
            flow, _ = await caller.open(self.ROUTES["orders"])
            if flow is None:
                await asyncio.sleep(0.1)
                continue
            self.counts["feeds"] += 1
            while not self.is_over:
                self.number_of_request = getattr(self, "number_of_request", 0) + 1
                request = f"feed/orders/{self.number_of_request}"
                self.counts["sent"] += 1
                answer = await caller.request(flow, request, REQUEST_TIMEOUT_SECONDS)
                # A caller uses an open connection as long as its server is there.
                while answer is None and flow["server"].alive and not flow["is_reset"] and not self.planned_only \
                        and not self.is_over:
                    self.counts["unanswered"] += 1
                    answer = await caller.request(flow, request, REQUEST_TIMEOUT_SECONDS)
                if answer is None:
                    self.counts["unanswered"] += 1
                    server = flow["server"]
                    if self.planned_only and server.alive:
                        self.report_failure(f"a feed to {server.name} broke during planned changes")
                    caller.close(flow)
                    break
                self.check_answer(request, answer, "orders")
                await asyncio.sleep(self.pause_factor * self.random.uniform(0.05, 0.4))

    # Faults and planned changes.
    async def expire_entry(self, server):
        await asyncio.sleep(2.1 + self.random.uniform(0, 0.7))
        self.registry.remove(f"servers/{server.name}")

    async def replace(self, server, planned):
        await self.add_server(server.service, server.zone)
        if planned:
            server.drain()
            await asyncio.sleep(CHANGE_BOUND_SECONDS + self.random.uniform(1, 3))
            server.end()
        else:
            server.crash()
            await self.expire_entry(server)

    async def cut_zone_links(self, zone, seconds):
        self.cut_zone = zone
        await asyncio.sleep(seconds)
        self.cut_zone = None
        for it in self.servers + self.hosts:
            it.disturbed_at = now()

    async def drop_packets(self, share, seconds):
        self.loss_rate = share
        await asyncio.sleep(seconds)
        self.loss_rate = 0.0
        for it in self.servers + self.hosts:
            it.disturbed_at = now()

    async def disrupt_registry(self, mode, seconds):
        self.registry.set_mode(mode)
        await asyncio.sleep(seconds)
        self.registry.set_mode("up")
        self.log_event("registry back")

    async def restore_registry(self, age, seconds):
        self.registry.restore(age)
        await self.disrupt_registry(self.random.choice(["down", "silent", "reset"]), seconds)
        rewrites = [asyncio.ensure_future(it.register_again()) for it in self.servers]
        await asyncio.sleep(self.random.uniform(0, 1))
        item = self.registry.items.get("op/config")
        if item is None or json.loads(base64.b64decode(item["value"]))["version"] < self.version:
            self.registry.put("op/config", self.configuration)
        self.write_evacuations()
        await asyncio.gather(*rewrites)
        self.registry.disturbed_at = now()

    async def restore_after_changes(self):
        """Loses two versions and has the next one written at the revision that the hosts know."""
        began = now()
        for n in range(6):
            self.registry.put("other/key", str(n))
        for _ in range(2):
            self.publish()
            await asyncio.sleep(1)
        known = self.registry.revision
        await self.restore_registry(now() - began, 0.5)
        await asyncio.sleep(1)
        while self.registry.revision < known - 1:
            self.registry.put("other/key", "again")
        self.publish()
        self.registry.put("other/key", "last")
        self.log_event(f"registry restored; revision {known} is that of version {self.version}")

    # Faults that overlap: hosts that start or pause while the registry or links are away, servers without an entry.
    # They have a random stream of their own, so that a seed's other events stay the same.
    async def restart_hosts(self, hosts, gap_seconds=0.0):
        """Kills those hosts that have no other event and starts them again, gap_seconds after each other."""
        hosts = [it for it in hosts if it.name not in self.busy and it.process.returncode is None]
        names = {it.name for it in hosts}
        self.busy |= names
        self.log_event(f"hosts killed {sorted(names)}, {gap_seconds:.1f} s apart")

        async def restart(wait_seconds, host):
            await asyncio.sleep(wait_seconds)
            await host.kill()
        await asyncio.gather(*(restart(n * gap_seconds, it) for n, it in enumerate(hosts)))
        self.log_event(f"hosts started {sorted(names)}")
        self.busy -= names

    async def unlist(self, servers, absent_seconds):
        """Removes entries of living servers, which come back later, or at the end if absent_seconds is None."""
        self.log_event(f"entries removed {[it.name for it in servers]}, back after {absent_seconds} s")
        for it in servers:
            self.registry.remove(f"servers/{it.name}")
        if absent_seconds is None:
            await self.events_over.wait()
        else:
            await asyncio.sleep(absent_seconds)
        for it in servers:
            # A server that drains or was restored has written an entry meanwhile.
            if it.alive and f"servers/{it.name}" not in self.registry.items:
                it.register(it.state)
        self.log_event(f"entries back {[it.name for it in servers]}")

    async def open_and_give_up(self, seconds, flows_per_second):
        """Has each caller open further flows and give up those whose SYNs no server answers in time."""
        async def open_one(caller):
            flow, _ = await caller.open(self.ROUTES["orders"])
            if flow is not None:
                caller.close(flow)
        end, opening = now() + seconds, []
        while now() < end:
            opening += [asyncio.ensure_future(open_one(it)) for it in self.callers]
            await asyncio.sleep(1 / flows_per_second)
        await asyncio.gather(*opening)

    async def use_after_idling(self, seconds, flows_per_caller):
        """Opens flows, sends nothing on them for the given time, and then one request on each."""
        async def use(caller, number, idle_seconds):
            flow, _ = await caller.open(self.ROUTES["orders"])
            if flow is None:
                return
            await asyncio.sleep(idle_seconds)
            self.counts["sent"] += 1
            request = f"idle/orders/{number}"
            answer = await caller.request(flow, request, REQUEST_TIMEOUT_SECONDS)
            caller.close(flow)
            if answer is None:
                self.counts["unanswered"] += 1
            else:
                self.check_answer(request, answer, "orders")
        await asyncio.gather(*(use(it, number, seconds + self.fault_random.uniform(0, 3))
                               for it in self.callers for number in range(flows_per_caller)))

    async def start_without_registry(self, mode, away_seconds, killed_after, groups, gap_seconds, unlisted, back_after):
        """Restarts groups of hosts, the first ones while the registry is away, so that packets wait in their sockets."""
        lapses = []

        async def lapse():
            # A lease lasts for three heartbeats of 0.7 s. Servers write again once the registry is back.
            lapsed_after = min(2.1, away_seconds - 0.1)
            await asyncio.sleep(lapsed_after)
            absent = None if back_after is None else away_seconds - lapsed_after + back_after
            lapses.append(asyncio.ensure_future(self.unlist(unlisted, absent)))

        async def restart_groups():
            await asyncio.sleep(killed_after)
            for n, hosts in enumerate(groups):
                await asyncio.sleep(5 if n else 0)
                await self.restart_hosts(hosts, gap_seconds)
        # The last of these callers have given up when the registry is back: their SYNs stay unanswered.
        others = [restart_groups(), self.open_and_give_up(away_seconds - 1.5, 10)] + ([lapse()] if unlisted else [])
        others.append(self.use_after_idling(away_seconds, 5))
        await asyncio.gather(self.disrupt_registry(mode, away_seconds), *others)
        await asyncio.gather(*lapses)

    async def unlist_and_restart(self, servers, back_after, groups, gap_seconds):
        async def restart_groups():
            for hosts in groups:
                await asyncio.sleep(5)
                await self.restart_hosts(hosts, gap_seconds)
        await asyncio.gather(self.unlist(servers, back_after), restart_groups())

    async def pause_hosts(self, pauses):
        """Pauses hosts, each after a while: (host, wait_seconds, pause_seconds)."""
        async def pause(host, wait_seconds, pause_seconds):
            await asyncio.sleep(wait_seconds)
            if host.name in self.busy or host.process.returncode is not None:
                return
            self.busy.add(host.name)
            self.log_event(f"pause {host.name} {pause_seconds:.1f} s")
            await host.pause(pause_seconds)
            self.busy.discard(host.name)
        await asyncio.gather(*(pause(*it) for it in pauses))

    async def restart_cut_zone(self, zone, cut_seconds, killed_after, registry_mode):
        """Restarts all hosts of a zone while its links to the other zones, and to the registry, are cut."""
        hosts = [it for it in self.hosts if it.zone == zone]

        async def restart():
            await asyncio.sleep(killed_after)
            await self.restart_hosts(hosts)
        links = [it.disrupt_registry_link(registry_mode, cut_seconds) for it in hosts] if registry_mode else []
        await asyncio.gather(self.cut_zone_links(zone, cut_seconds), restart(), *links)

    def choose_hosts(self):
        """One host, a zone, most hosts of each zone (then the routers use all of them), or all."""
        pick = self.fault_random
        zones = [[it for it in self.hosts if it.zone == zone] for zone in sorted({it.zone for it in self.hosts})]
        most = [it for hosts in zones for it in pick.sample(hosts, len(hosts) // 2 + 1)]
        return pick.choice([[pick.choice(self.hosts)], pick.choice(zones), most, self.hosts])

    def trigger_overlapping_fault(self):
        pick = self.fault_random
        live = [it for it in self.servers if it.alive]
        servers = pick.sample(live, pick.choice([1, 2, 3, len(live) // 2, len(live)]))
        absent = pick.choice([pick.uniform(0, 2), pick.uniform(2, 9), None])
        groups = [self.choose_hosts() for _ in range(pick.choice([1, 2, 2]))]
        gap = pick.choice([0, 0, 0.3, 1])
        away = pick.uniform(2, 7)
        mode = pick.choice(["silent", "reset", "busy", "down"])
        kind = pick.choice(["away", "away", "lapse", "lapse", "unlist", "pauses", "cut"])
        zone = pick.choice(sorted({it.zone for it in self.hosts}))
        link_mode = pick.choice([None, "silent", "reset", "one_way"])
        pauses = [(pick.choice(self.hosts), pick.uniform(0, 4), pick.uniform(0.2, 3)) for _ in range(2 * len(self.hosts))]
        subject, action = {
            "away": ("registry", lambda: self.start_without_registry(mode, away, pick.uniform(0, away), groups, gap, [], 0)),
            "lapse": ("registry", lambda: self.start_without_registry(mode, away, pick.uniform(0, away), groups, gap,
                                                                      servers, absent)),
            "unlist": ("entries", lambda: self.unlist_and_restart(servers, absent, groups, gap)),
            "pauses": ("pauses", lambda: self.pause_hosts(pauses)),
            "cut": ("links", lambda: self.restart_cut_zone(zone, away, pick.uniform(0, away), link_mode)),
        }[kind]
        if subject in self.busy or (subject == "links" and not self.has_link_faults):
            return
        self.log_event(f"overlapping fault: {kind}, registry {mode}, {away:.1f} s")
        self.begin(subject, action())

    async def inject_overlapping_faults(self, end):
        while now() < end:
            await asyncio.sleep(min(self.fault_random.uniform(0.5, 3), end - now()))
            if now() < end:
                self.trigger_overlapping_fault()

    async def start_all_without_registry(self):
        """All hosts start while the registry is away, so no peer has a view: packets wait in their sockets until the
        registry is back, when the callers of the oldest ones have given up."""
        mode = self.fault_random.choice(["silent", "reset", "busy"])
        await self.start_without_registry(mode, 6, 1, [self.hosts], 0, [], 0)

    async def start_hosts_after_lapse(self):
        """Entries lapse while the registry is away and aren't written again; hosts start 5 s and more after its return."""
        servers = self.fault_random.sample(self.servers, len(self.servers) // 3)
        halves = [self.hosts[0::2], self.hosts[1::2]]
        await self.start_without_registry("reset", 3, 8, halves, 0, servers, None)

    def begin(self, subject, action):
        """Runs an event; its subject can have no other meanwhile."""
        self.busy.add(subject)
        task = asyncio.ensure_future(action)
        task.add_done_callback(lambda it: (self.busy.discard(subject),
                                           it.exception() and self.report_failure(repr(it.exception()))))
        self.tasks.append(task)

    def trigger_event(self):
        host = self.random.choice(self.hosts)
        live = [it for it in self.servers if it.alive and not it.draining_since]
        server = self.random.choice(live)
        planned = [("stop", host.name, lambda: host.stop()),
                   ("drain", server.name, lambda: self.replace(server, True)),
                   ("publish", "", None), ("reload", host.name, None)]
        faults = [("kill", host.name, lambda: host.kill()),
                  ("pause", host.name, lambda: host.pause(self.random.uniform(0.7, 3))),
                  ("crash", server.name, lambda: self.replace(server, False)),
                  ("links cut", host.zone, lambda: self.cut_zone_links(host.zone, self.random.uniform(1, 5))),
                  ("links lossy", "", lambda: self.drop_packets(0.03, self.random.uniform(1, 4))),
                  ("silence", "", None)]
        faults += [(f"registry {mode}", "", lambda mode=mode: self.disrupt_registry(mode, self.random.uniform(1, 4)))
                   for mode in ("down", "silent", "slow", "reset")]
        faults += [("registry restored", "", lambda: self.restore_registry(self.random.uniform(0.5, 10),
                                                                            self.random.uniform(0.1, 3)))] * 2
        faults += [(f"registry-link {mode}", host.name,
                    lambda mode=mode: host.disrupt_registry_link(mode, self.random.uniform(1, 5)))
                   for mode in RegistryProxy.MODES]
        name, what, action = self.random.choice(planned if self.planned_only else planned + faults)
        # Hosts, servers and the registry have at most one event at a time.
        subject = name.split()[0] if " " in name else what or name
        if subject == "links" and not self.has_link_faults:
            return
        if subject in self.busy or (name != "publish" and host.process.returncode is not None):
            return
        self.log_event(f"{name} {what}")
        if name == "publish":
            self.publish(self.random.random() < 0.5)
            return
        if name == "silence":
            self.registry.silence_connections()
            return
        if name == "reload":
            host.process.send_signal(signal.SIGHUP)
            return
        self.begin(subject, action())

    async def measure_lag(self):
        """Records the longest time for which callers and backend servers stood still, as a busy machine makes them."""
        while not self.is_over:
            due = now() + 0.05
            await asyncio.sleep(0.05)
            live = [it for it in self.servers if it.alive]
            self.watched.append(sum(self.is_undisturbed(it) for it in live) / len(live))
            lag = round(1000 * (now() - due))
            if lag > 150:
                self.log_event(f"the stand-ins stood still for {lag} ms")
            self.counts["max_lag_ms"] = max(self.counts["max_lag_ms"], lag)

    async def flows_placed(self):
        all_metrics = await asyncio.gather(*(it.metrics() for it in self.hosts))
        return sum(it["auburnedge_flows_placed_total"] - it["auburnedge_syns_repeated_total"] for it in all_metrics)

    async def run_to_the_end(self, *arguments):
        """Runs, and reports an exception at once: tasks that go on would delay it for ever."""
        try:
            await self.run(*arguments)
        except Exception:
            self.report_failure(traceback.format_exc())
        finally:
            self.is_over = True

    async def write_odd_entries(self):
        while not self.events_over.is_set():
            await asyncio.sleep(self.odd_entries.random.uniform(0.05, 1))
            self.counts["odd_entries"] += self.odd_entries.write_some()
            if self.odd_entries.random.random() < 0.2:
                self.odd_entries.remove_some()

    async def run(self, seconds, planned_only, course, hosts_per_zone, has_odd_entries, has_evacuations):
        self.planned_only = planned_only
        # Cut and lossy links excuse resets, so half of the runs have none.
        self.has_link_faults = self.fault_random.random() < 0.5
        # With few requests a host sees no answer of a server for some time, which must not end flows either.
        self.pause_factor = 8 if course in SLOW_COURSES else 1 if planned_only else self.fault_random.choice([1, 1, 6])
        self.is_over, self.busy, self.tasks, self.events_over = False, set(), [], asyncio.Event()
        await self.start(hosts_per_zone=hosts_per_zone, servers_per_zone=2 * hosts_per_zone)
        self.log_event("ready")
        load = [asyncio.ensure_future(it) for caller in self.callers
                for it in (self.send_requests(caller), self.keep_feed(caller), self.keep_feed(caller))]
        load.append(asyncio.ensure_future(self.measure_lag()))
        end = now() + seconds
        if has_odd_entries:
            self.odd_entries = OddEntryWriter(self.registry, self.seed)
            self.tasks.append(asyncio.ensure_future(self.write_odd_entries()))
        if has_evacuations and not course:
            self.tasks.append(asyncio.ensure_future(self.evacuate_zones()))
        if course:
            await asyncio.sleep(seconds)
            self.begin("registry", course(self))
            # Entries that come back at the end wait for events_over.
            await asyncio.wait(self.tasks, timeout=15)
        elif not planned_only:
            self.tasks.append(asyncio.ensure_future(self.inject_overlapping_faults(end)))
        while now() < end and not course:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            self.trigger_event()
        self.events_over.set()
        # Tasks can begin others.
        while any(not it.done() for it in self.tasks):
            await asyncio.wait(self.tasks)
        # All requests must be answered once the fleet has settled.
        await asyncio.sleep(SETTLE_SECONDS)
        await self.check_views()
        before = dict(self.counts)
        placed = await self.flows_placed()
        await asyncio.sleep(2)
        placed = await self.flows_placed() - placed
        opened = self.counts["opened"] - before["opened"]
        # Flows that are being opened at a snapshot may count on one side only.
        if abs(placed - opened) > 2 * 3 * len(self.callers):
            self.report_failure(f"the metrics count {placed:.0f} new flows, the callers {opened}")
        self.is_over = True
        await asyncio.wait(load, timeout=REQUEST_TIMEOUT_SECONDS + 2)
        lost = self.counts["unanswered"] + self.counts["refused"] - before["unanswered"] - before["refused"]
        if lost or self.counts["answered"] - before["answered"] < 20:
            self.report_failure(f"{lost} requests were lost after the last fault, "
                      f"{self.counts['answered'] - before['answered']} answered")
        await self.check_causes_outlive_host()
        for host in self.hosts:
            if host.process.returncode is None:
                host.process.kill()
                await host.process.wait()

    async def check_views(self):
        """Checks that all hosts have the registry's configuration, servers and era."""
        own = {f"servers/{it.name}" for it in self.servers}
        entries = [json.loads(base64.b64decode(it["value"])) for key, it in self.registry.items.items() if key in own]
        if self.counts["odd_entries"]:
            self.odd_entries.remove_all(own | {"op/config"} | {f"op/evacuate/{it}" for it in self.evacuated})
            await asyncio.sleep(CHANGE_BOUND_SECONDS)
        for host in self.hosts:
            host.check_process()
        expected = {"auburnedge_configuration_version": self.version, "auburnedge_registry_era": self.registry.era,
                    "auburnedge_view_revision": self.registry.revision,
                    "auburnedge_evacuated_zones": len(self.evacuated),
                    "auburnedge_ready_servers": sum(it["state"] == "ready" for it in entries)}
        for host in self.hosts:
            metrics = await host.metrics()
            for name, value in expected.items():
                if metrics.get(name, value if not host.knows_evacuations else None) != value:
                    self.report_failure(f"{host.name}: {name} is {metrics.get(name)}, expected {value}")
        status = await asyncio.create_subprocess_exec(
            os.path.join(self.bin_dir, "auburnctl"), "status", "--hosts", f"{self.hosts[0].ip}:{CONTROL_PORT}",
            stdout=asyncio.subprocess.PIPE)
        text = (await status.communicate())[0].decode()
        if text.count(f"registry era {self.registry.era} ") != len(self.hosts):
            self.report_failure(f"auburnctl status does not show era {self.registry.era} of {len(self.hosts)} hosts: "
                                f"{text!r}")

        zones = ", evacuated zones: " + " ".join(sorted(self.evacuated)) if self.evacuated else " backend servers"
        if text.count(zones + "\n") < sum(it.knows_evacuations for it in self.hosts):
            self.report_failure(f"auburnctl status does not show {zones!r} of all hosts: {text!r}")

    async def check_causes_outlive_host(self):
        """Checks that the other hosts report the causes of a host that was killed."""
        gone, *others = self.random.sample(self.hosts, len(self.hosts))
        key = lambda it: (it["origin"], it["minute"], it["cause"], it["service"], it["subject"])
        entries = json.loads(await gone.get("/cause?since=3600"))["entries"]
        # The wall clock of a daemon doesn't advance while it is stopped.
        settled = max((it["last_ms"] for it in entries), default=0) - 1000 * SETTLE_SECONDS
        recorded = {key(it) for it in entries if it["origin"] == gone.name and it["first_ms"] < settled}
        gone.process.kill()
        await gone.process.wait()
        told = await asyncio.create_subprocess_exec(
            os.path.join(self.bin_dir, "auburnctl"), "cause", "--hosts", f"{others[0].ip}:{CONTROL_PORT}", "--json",
            stdout=asyncio.subprocess.PIPE)
        report = json.loads((await told.communicate())[0])
        known = {key(it) for host in others for it in json.loads(await host.get("/cause?since=3600"))["entries"]}
        self.counts["causes"] = len(recorded)
        if recorded - known:
            self.report_failure(f"{len(recorded - known)} of {len(recorded)} causes are lost with {gone.name}: "
                      f"{sorted(recorded - known)[:3]}")
        started = [it for it in report["changes_and_failures"] if it["cause"] == "HostStarted"]
        if not any(it["subject"] == gone.ip for it in started):
            self.report_failure(f"auburnctl cause does not report the start of {gone.name}")


# Runs of one fault instead of random events.
COURSES = (("--restored", Fleet.restore_after_changes, "the registry is restored from a copy"),
           ("--registry-away", Fleet.start_all_without_registry, "hosts start while the registry is away"),
           ("--unlisted", Fleet.start_hosts_after_lapse, "hosts start while the registry lacks entries of living servers"))
SLOW_COURSES = (Fleet.start_all_without_registry, Fleet.start_hosts_after_lapse)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bin_dir")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--calm", action="store_true", help="planned changes only, no faults")
    courses = parser.add_mutually_exclusive_group()
    for name, course, help_text in COURSES:
        courses.add_argument(name, dest="course", action="store_const", const=course, help=help_text)
    parser.add_argument("--odd-entries", action="store_true", help="another writer leaves odd entries in the registry")
    parser.add_argument("--evacuations", action="store_true",
                        help="operators evacuate zones, as in every second run of random events without this option")
    parser.add_argument("--hosts", type=int, default=2, help="hosts per zone, of which there are two")
    parser.add_argument("--net", type=int, default=0, choices=range(25), help="loopback network, to run several at once")
    parser.add_argument("--odd-bin-dir", help="programs of the hosts with odd numbers, for a fleet of two versions")
    parser.add_argument("--logs", help="folder for the logs; kept")
    options = parser.parse_args()
    folder = options.logs or tempfile.mkdtemp(prefix="edge-fleet-")
    os.makedirs(folder, exist_ok=True)
    random.seed(options.seed)
    has_evacuations = options.evacuations or options.seed % 2 == 0
    fleet = Fleet(options.bin_dir, options.seed, folder, options.net, options.odd_bin_dir)
    try:
        asyncio.run(fleet.run_to_the_end(options.seconds, options.calm, options.course, options.hosts,
                                         options.odd_entries, has_evacuations))
    finally:
        for host in fleet.hosts:
            if host.process is not None and host.process.returncode is None:
                try:
                    host.process.kill()
                except ProcessLookupError:
                    pass
    print(json.dumps({"seed": options.seed, "planned_only": options.calm, **fleet.counts,
                      "watched_percent": round(100 * sum(fleet.watched) / max(1, len(fleet.watched))),
                      "registry_calls": fleet.registry.calls, "faults": fleet.failures}))
    with open(os.path.join(folder, "events.log"), "w") as out:
        out.write("\n".join(fleet.log + fleet.failures) + "\n")
    if fleet.failures:
        print("\n".join(fleet.log), file=sys.stderr)
        print(f"logs: {folder}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
