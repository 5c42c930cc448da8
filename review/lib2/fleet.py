"""A small deployment on loopback: auburnedge as real processes; routers, metadata store, targets and consumers as
stand-ins that follow the users' pages.

The routers hash flows by `mod` over the hosts in rotation and probe readiness twice a second. The store answers lists
and watches and can turn away single hosts. Targets check in every HEARTBEAT; an entry without check-ins is removed
after three of them. All addresses are loopback addresses of one network 127.N.
"""
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
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "auburnedge")  # `run` of deploy/system.toml
HEAD = struct.Struct(">IBIIHIHIIH")  # sum, flags, seq, ack, sport, src, dport, dst, echo, len
SYN, ACK, FIN, RST = 8, 128, 64, 4
HEARTBEAT = 1.2  # heartbeat_ms of lomoclaro-edge
STABLE = 4.0  # stable_window_ms
DRAIN = 3.0  # drain_ms
PROPAGATION = 3.0  # propagation_ms
FLOW_LIFETIME = 60.0  # flow_lifetime_s
ZONES = {"med-a": 3, "med-b": 3, "med-c": 2}  # hosts of each
CHECKSUM = 0x5EED  # stands for the keyed sum, which hosts cannot compute

now = time.monotonic


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


class Packet:
    def __init__(self, src, dst, flags, seq=0, ack=0, echo=0, data=b"", checksum=CHECKSUM):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
        self.echo, self.data, self.checksum = echo, data, checksum

    def encode(self):
        return HEAD.pack(self.checksum, self.flags, self.seq, self.ack, self.src[1], ip_number(self.src[0]),
                         self.dst[1], ip_number(self.dst[0]), self.echo, len(self.data)) + self.data

    @staticmethod
    def decode(buf):
        checksum, flags, seq, ack, sport, src, dport, dst, echo, size = HEAD.unpack(buf[:31])
        if len(buf) != 31 + size:
            raise ValueError("length")
        as_text = lambda it: socket.inet_ntoa(struct.pack(">I", it))
        return Packet((as_text(src), sport), (as_text(dst), dport), flags, seq, ack, echo, buf[31:], checksum)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)


async def open_udp(at, handler):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(handler), local_addr=at)
    return transport


class Store:
    """The platform's metadata store. Each host has an address of its own, so that the store can turn it away."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.items, self.events, self.revision, self.first_event = {}, [], 100, 0
        self.changed = asyncio.Event()
        self.down = False  # for all: connections are reset
        self.turned_away = {}  # host number: status
        self.check_ins = {}  # key: time of the last one
        self.era = 1
        self.disturbed_at = -100.0
        self.silenced = {}  # host number: channels opened before this time answer no more
        self.calls = []  # (time, host, target, status)

    def put(self, key, value):
        self.revision += 1
        data = value if isinstance(value, bytes) else value.encode()
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                           "created": created, "lease": 0}
        self.notify(self.items[key])
        return now()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.notify({"key": key, "revision": self.revision, "tombstone": True})

    def notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def check_in(self, key, entry):
        """A target's check-in: the entry changes only if more than its sequence differs."""
        if self.down:
            return False
        self.check_ins[key] = now()
        known = self.items.get(key)
        if known is not None:
            try:
                stored = json.loads(base64.b64decode(known["value"]))
                same = {**stored, "sequence": 0, "cold_left_ms": 0} == {**entry, "sequence": 0, "cold_left_ms": 0}
            except (ValueError, TypeError):
                same = False
            if same:
                return True
        self.put(key, json.dumps(entry))
        return True

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for key, at in list(self.check_ins.items()):
                if not self.down and now() - at > 3 * HEARTBEAT:
                    del self.check_ins[key]
                    self.fleet.note(f"store: {key} removed after three check-in intervals of silence")
                    self.remove(key)

    async def serve(self, number, reader, writer):
        opened = now()
        try:
            while True:
                request = (await reader.readuntil(b"\r\n\r\n")).decode()
                if opened < self.silenced.get(number, 0):
                    self.fleet.note(f"store: a call of host {number} comes in on a silent channel")
                    await asyncio.sleep(60)
                target = request.split(" ")[1]
                path, _, query = target.partition("?")
                args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                if self.down:
                    writer.transport.abort()
                    return
                if number in self.turned_away:
                    status, body = self.turned_away[number], {}
                else:
                    status, body = await self.answer(path, args)
                if self.down:
                    writer.transport.abort()
                    return
                self.calls.append((now(), number, target, status))
                text = json.dumps(body)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n{text}".encode())
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, args):
        await asyncio.sleep(0.004)
        prefix = args.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(it for it in self.items if it.startswith(prefix) and it > args.get("after", ""))
            return 200, {"items": [self.items[it] for it in keys[:500]], "has_more": len(keys) > 500,
                         "at_rev": self.revision}
        if path != "/kv-watch":
            return 404, {}
        after = int(args["after"])
        if after > self.revision or after < self.first_event:
            return 410, {}
        deadline = now() + int(args["wait_ms"]) / 1000
        while True:
            found = [it for it in self.events if it["revision"] > after and it["key"].startswith(prefix)]
            if found or now() >= deadline or self.down:
                return 200, {"events": found, "at_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, deadline - now()))
            except asyncio.TimeoutError:
                pass


class Target:
    def __init__(self, fleet, number, service, zone, slots=3, ident=None, ip=None, born=None):
        self.fleet, self.service, self.zone, self.slots = fleet, service, zone, slots
        self.identity = ident or (0x5000000000 + fleet.random.getrandbits(24) * 256 + number)
        self.name = f"i-{self.identity:x}"
        self.ip = ip or fleet.address(3, number)
        self.state, self.sequence = "ready", 0
        self.born = born or int(time.time() * 1000)
        self.alive, self.reaches_store = True, True
        self.flows, self.busy, self.queue = {}, 0, []
        self.disturbed_at = -100.0

    async def start(self):
        self.transport = await open_udp((self.ip, self.fleet.target_port), self.on_datagram)
        self.task = asyncio.ensure_future(self.beat())

    def entry(self):
        return {"service": self.service, "address": f"{self.ip}:{self.fleet.target_port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born}

    def check_in(self):
        self.sequence += 1
        if self.reaches_store:
            self.fleet.store.check_in(f"servers/{self.name}", self.entry())

    async def beat(self):
        while self.alive:
            self.check_in()
            self.beat_at = now()
            await asyncio.sleep(HEARTBEAT)

    def drain(self):
        self.state = "draining"
        self.check_in()
        return now()

    def end(self, removes_entry=True):
        self.alive = False
        self.task.cancel()
        self.transport.close()
        self.flows.clear()
        if removes_entry:
            self.fleet.store.check_ins.pop(f"servers/{self.name}", None)
            self.fleet.store.remove(f"servers/{self.name}")

    def send(self, packet):
        if self.alive:
            self.transport.sendto(packet.encode(), (packet.dst[0], self.fleet.packet_port))

    def on_datagram(self, data, addr):
        identity = struct.unpack(">Q", data[:8])[0]
        p = Packet.decode(data[8:])
        if not self.alive or identity not in (0, self.identity):
            return
        flow = self.flows.get(p.src)
        if p.flags & SYN:
            if flow is None:
                flow = self.flows[p.src] = {"seq": random.getrandbits(31), "next": p.seq + 1, "open": False,
                                            "answer": None, "running": False}
                self.fleet.note(f"target {self.name}: SYN of {p.src[0]}:{p.src[1]} from {self.fleet.name_at(addr[0])}")
                self.fleet.on_syn(self, p, addr[0])
            flow["echo"] = p.echo
            self.send(Packet(p.dst, p.src, SYN | ACK, flow["seq"], p.seq + 1, p.echo))
            return
        if flow is None:
            if not p.flags & RST:
                self.send(Packet(p.dst, p.src, RST, p.ack, 0, p.echo))
            return
        if not flow["open"]:
            if p.ack != (flow["seq"] + 1) & 0xFFFFFFFF:
                self.send(Packet(p.dst, p.src, RST, p.ack, 0, p.echo))
                return
            flow["open"], flow["seq"] = True, flow["seq"] + 1
        flow["echo"] = p.echo
        if p.flags & RST:
            self.flows.pop(p.src)
        elif p.flags & FIN:
            self.send(Packet(p.dst, p.src, FIN | ACK, flow["seq"], p.seq + 1, p.echo))
            self.flows.pop(p.src)
        elif p.data:
            if p.seq == flow["next"] & 0xFFFFFFFF:
                flow["next"] = p.seq + len(p.data)
                flow["answer"] = None
                self.queue.append((p, flow))
                self.work()
            elif flow["answer"] is not None:
                self.send(flow["answer"])
            else:  # every second packet is acknowledged
                self.send(Packet(p.dst, p.src, ACK, flow["seq"], flow["next"], flow["echo"]))

    def work(self):
        while self.busy < self.slots and self.queue:
            self.busy += 1
            asyncio.ensure_future(self.run(*self.queue.pop(0)))

    async def run(self, p, flow):
        request, work_ms = parse_request(p.data)
        self.fleet.note(f"target {self.name} runs {request}")
        self.fleet.runs.setdefault(request, []).append(self.name)
        self.fleet.on_run(self, request)
        await asyncio.sleep(work_ms / 1000)
        self.busy -= 1
        self.work()
        if self.flows.get(p.src) is not flow:
            return
        body = f"{request}|{self.service}|{self.name}"
        data = (f"HTTP/1.1 200 OK\r\nAuburnroute-Server-Stamp: {self.name}\r\nContent-Length: {len(body)}\r\n\r\n"
                f"{body}").encode()
        flow["answer"] = Packet(p.dst, p.src, ACK, flow["seq"], flow["next"], flow["echo"], data)
        flow["seq"] += len(data)
        self.send(flow["answer"])


def make_request(request, work_ms):
    return f"POST /{work_ms} HTTP/1.1\r\nHost: x\r\nAuburnroute-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n".encode()


def parse_request(data):
    text = data.decode()
    return text.split("Auburnroute-Request-Id: ")[1].split("\r\n")[0], float(text.split(" ")[1][1:])


class Host:
    def __init__(self, fleet, number, zone):
        self.fleet, self.number, self.zone = fleet, number, zone
        self.ip = fleet.address(1, number)
        self.name = f"front-{zone}-{number}"
        self.process, self.in_rotation, self.misses = None, False, 0
        self.disturbed_at = -100.0

    async def start(self, bootstrap=False):
        fleet = self.fleet
        self.file = os.path.join(fleet.folder, f"{self.name}.json")
        # What the template deploy/edge.json gives for lomoclaro-edge.
        settings = {
            "host": self.name, "zone": self.zone, "packets": f"{self.ip}:{fleet.packet_port}",
            "ready": f"{self.ip}:{fleet.ready_port}", "control": f"{self.ip}:{fleet.control_port}",
            "metrics": f"{self.ip}:{fleet.metrics_port}", "peers": f"{self.ip}:{fleet.peer_port}",
            "registry": f"{fleet.address(4, self.number)}:{fleet.store_port}",
            "seeds": [f"{fleet.address(1, n)}:{fleet.control_port}" for n in fleet.seeds],
            **({"start": "first"} if bootstrap else {}), "serverHeartbeat": "1200ms", "changeBound": "3000ms",
            "outlierDetection": "on", "flowLifetime": "60s", "stopTimeout": "6s"}
        with open(self.file, "w") as out:
            json.dump(settings, out)
        with open(os.path.join(fleet.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, cwd=ROOT, stdout=log, stderr=log, env={
                    "PATH": "/usr/bin:/bin", "HOME": "/", "LANG": "C", "AUBURNROUTE_CONFIG": self.file})
        self.disturbed_at = now()

    async def kill(self, down_s=0.5):
        self.disturbed_at = now()
        self.process.kill()
        await self.process.wait()
        await asyncio.sleep(down_s)
        await self.start()

    async def terminate(self):
        """A planned restart: SIGTERM, SIGKILL after grace_s, and a new start."""
        self.disturbed_at = now()
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), 6)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        await self.start()

    async def probe(self):
        while True:
            ready = False
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.fleet.ready_port), 0.4)
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
            await asyncio.sleep(0.5)

    async def get(self, path):
        reader, writer = await asyncio.open_connection(self.ip, self.fleet.control_port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        text = (await reader.read()).decode()
        writer.close()
        return text.partition("\r\n\r\n")[2]


class Consumer:
    def __init__(self, fleet, number, zone):
        self.fleet, self.zone = fleet, zone
        self.ip = fleet.address(2, number)
        self.name = f"consumer-{number}"
        self.flows, self.port = {}, 20000
        self.refused_by = None  # the host that reset the last flow that was not opened

    async def start(self):
        self.transport = await open_udp((self.ip, self.fleet.packet_port), self.on_datagram)

    def send(self, packet, via=None):
        host = via or self.fleet.route(self.zone, packet)
        self.transport.sendto(packet.encode(), (host.ip, self.fleet.packet_port))

    def on_datagram(self, data, addr):
        p = Packet.decode(data)
        flow = self.flows.get(p.dst[1])
        if p.flags & RST:
            self.fleet.on_reset(self, flow, p, addr[0])
        if flow is not None:
            flow["queue"].put_nowait((p, addr[0]))

    async def receive(self, flow, wanted, limit):
        deadline = now() + limit
        while (left := deadline - now()) > 0:
            try:
                p, source = await asyncio.wait_for(flow["queue"].get(), left)
            except asyncio.TimeoutError:
                return None, None
            if p.flags & RST or wanted(p):
                return p, source
        return None, None

    async def open(self, route, via=None):
        """Opens a flow; None if it was refused or not answered within 1.4 s."""
        self.port += 1
        me = (self.ip, self.port)
        flow = {"me": me, "to": route, "queue": asyncio.Queue(), "open": False, "reset": None, "via": via,
                "seq": random.getrandbits(31), "ack": 0, "echo": 0, "target": None, "consumer": self, "sent": None}
        self.flows[me[1]] = flow
        flow["syn_at"] = now()
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self.send(Packet(me, route, SYN, flow["seq"], copy), via)
            p, source = await self.receive(flow, lambda it: it.flags & SYN, pause)
            if p is not None:
                break
        if p is None or p.flags & RST:
            self.refused_by = None if p is None else next((it for it in self.fleet.hosts if it.ip == source), None)
            self.flows.pop(me[1])
            return None
        flow["seq"] += 1
        flow["ack"], flow["echo"], flow["open"] = p.seq + 1, p.echo, True
        flow["target"] = next(it for it in self.fleet.targets if it.ip == source and it.alive)
        self.send(Packet(me, route, ACK, flow["seq"], flow["ack"], flow["echo"]), via)
        return flow

    async def request(self, flow, request, work_ms, limit):
        """Sends a request and returns the answer's body, "reset" or None."""
        data = make_request(request, work_ms)
        self.fleet.note(f"{self.name}:{flow['me'][1]} sends {request} ({work_ms} ms of work)")
        packet = Packet(flow["me"], flow["to"], ACK, flow["seq"], flow["ack"], flow["echo"], data)
        deadline, pause, acked = now() + limit, 0.2, False
        flow["sent"] = request
        answer = None
        while now() < deadline:
            if not acked:
                self.send(packet, flow["via"])
            p, _ = await self.receive(flow, lambda it: it.data or it.ack == packet.seq + len(data),
                                      (deadline - now()) if acked else min(pause, deadline - now()))
            if p is None:
                pause = min(1.6, pause * 2)
                continue
            if p.flags & RST:
                self.fleet.note(f"{self.name}:{flow['me'][1]} is reset while it waits for {request}")
                self.flows.pop(flow["me"][1], None)
                return "reset"
            acked = True
            if p.data and p.seq == flow["ack"] & 0xFFFFFFFF:
                answer = p
                break
        if answer is None:
            self.fleet.note(f"{self.name}:{flow['me'][1]} gets no answer to {request}")
            return None
        flow["seq"] += len(data)
        flow["ack"] += len(answer.data)
        flow["echo"] = answer.echo
        flow["sent"] = None
        self.send(Packet(flow["me"], flow["to"], ACK, flow["seq"], flow["ack"], flow["echo"]), flow["via"])
        body = answer.data.decode().partition("\r\n\r\n")[2]
        self.fleet.note(f"{self.name}:{flow['me'][1]} is answered: {body}")
        return body

    def close(self, flow):
        if self.flows.pop(flow["me"][1], None):
            flow["open"] = False
            self.send(Packet(flow["me"], flow["to"], FIN | ACK, flow["seq"], flow["ack"], flow["echo"]), flow["via"])


class Fleet:
    """Subclasses overwrite the handlers on_syn, on_reset and on_run."""

    def __init__(self, folder, seed):
        self.folder = folder
        self.random = random.Random(seed)
        self.net = self.random.randint(20, 250) if seed else random.randint(20, 250)
        self.hosts, self.targets, self.consumers = [], [], []
        self.runs, self.broken, self.lines = {}, [], []
        self.began = now()
        self.store = Store(self)
        self.number, self.version = 0, 0
        self.tasks = []

    def address(self, group, number):
        return f"127.{self.net}.{group}.{number}"

    def find_ports(self):
        """Ports that are free on all addresses that are used; they are the same on all machines."""
        addresses = [self.address(1, n) for n in range(1, 10)] + [self.address(4, n) for n in range(1, 10)] + \
                    [self.address(g, n) for g in (2, 3) for n in range(1, 40)]
        ports = []
        for port in random.sample(range(7000, 19000), 400):
            sockets = []
            try:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    for it in addresses:
                        s = socket.socket(socket.AF_INET, kind)
                        sockets.append(s)
                        s.bind((it, port))
                ports.append(port)
            except OSError:
                pass
            for s in sockets:
                s.close()
            if len(ports) == 7:
                break
        (self.packet_port, self.ready_port, self.control_port, self.peer_port, self.metrics_port, self.store_port,
         self.target_port) = ports

    def note(self, text):
        self.lines.append(f"{now() - self.began:8.3f} {text}")

    def report(self, text):
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    def name_at(self, ip):
        for it in (*self.hosts, *self.targets):
            if it.ip == ip:
                return it.name
        return ip

    def on_syn(self, target, packet, source):
        pass

    def on_reset(self, consumer, flow, packet, source):
        pass

    def on_run(self, target, request):
        pass

    def in_touch(self, host):
        """(1) no kill, start or freeze of the host, and (2) no disturbance of the store for stable_window_ms; (3) the
        way to the platform is never cut in these cases."""
        return now() - max(host.disturbed_at, self.store.disturbed_at) > STABLE and host.process.returncode is None

    def check_flow_reset(self, flow, packet, source):
        """FLOW (a): a reset by a host of a flow that is open at a target that lives and was not disturbed."""
        if flow is None or not flow["open"] or packet.checksum != 0:
            return
        target = flow["target"]
        host = next((it for it in self.hosts if it.ip == source), None)
        self.note(f"{flow['consumer'].name}:{flow['me'][1]} gets a reset from {self.name_at(source)}, "
                  f"its flow is open at {target.name}")
        if host is not None and target.alive and target.flows.get(flow["me"], {}).get("open") \
                and now() - target.disturbed_at > STABLE and self.in_touch(host) \
                and now() - flow["syn_at"] < FLOW_LIFETIME:
            self.report(f"FLOW: {host.name} reset the open flow {flow['me'][0]}:{flow['me'][1]} of {target.name}, "
                        f"which lives; waiting for {flow['sent']}, run by {self.runs.get(flow['sent'], 'none')}")

    def route(self, zone, packet):
        near = [it for it in self.hosts if it.zone == zone]
        ready = [it for it in near if it.in_rotation]
        if not ready:
            ready = [it for it in self.hosts if it.in_rotation] or near
        elif 2 * len(ready) < len(near):
            ready = near
        return ready[hash((packet.src, packet.dst)) % len(ready)]

    def publish(self, routes, idle_ms=15000):
        """routes: name -> (address, port, service, kind, time limit in ms)."""
        self.version += self.random.randint(1, 4)
        self.store.put("op/config", json.dumps({
            "version": self.version, "routes": [
                {"name": name, "host": it[0], "prefix": f"/{it[1]}/", "type": it[3], "timeout_ms": it[4], "aim_ms": 250,
                 "priority": 2, "service": it[2]} for name, it in routes.items()],
            "services": [{"name": it, "health_path": "/health"} for it in sorted({it[2] for it in routes.values()})],
            "limits": {"idle_timeout_ms": idle_ms}}))
        self.note(f"operator: version {self.version} with routes {sorted(routes)}")

    async def add_target(self, service, zone, **kw):
        self.number += 1
        target = Target(self, self.number, service, zone, **kw)
        self.targets.append(target)
        await target.start()
        return target

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))
        return self.tasks[-1]

    async def start(self, bootstrap=True):
        """Starts the hosts, the first of each zone being a seed; bootstrap: for the first time."""
        self.spawn(self.store.expire())
        for n in range(1, sum(ZONES.values()) + 1):
            await asyncio.start_server(lambda r, w, n=n: self.store.serve(n, r, w), self.address(4, n), self.store_port)
        for zone, count in ZONES.items():
            for _ in range(count):
                self.hosts.append(Host(self, len(self.hosts) + 1, zone))
        self.seeds = [next(it.number for it in self.hosts if it.zone == zone) for zone in ZONES]
        for host in self.hosts:
            await host.start(bootstrap)
            self.spawn(host.probe())
        deadline = now() + 12
        while not all(it.in_rotation for it in self.hosts):
            if now() > deadline:
                raise RuntimeError("the hosts did not become ready within 12 s")
            await asyncio.sleep(0.05)
        self.note(f"ready: {len(self.hosts)} hosts, {len(self.targets)} targets")

    async def add_consumer(self, zone):
        consumer = Consumer(self, len(self.consumers) + 1, zone)
        self.consumers.append(consumer)
        await consumer.start()
        return consumer

    async def stop(self):
        for it in self.tasks:
            it.cancel()
        for it in self.hosts:
            if it.process is not None and it.process.returncode is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                await it.process.wait()


def main(folder, scenario):
    """Runs scenario(fleet_class_arguments) and ends with 0 (held), 1 (broken) or 2 (could not run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "0")) or None

    async def play():
        with tempfile.TemporaryDirectory() as temporary:
            temporary = os.environ.get("KEEP_LOGS") or temporary
            fleet = None
            try:
                fleet = scenario.fleet(temporary, seed)
                fleet.find_ports()
                verdict = await asyncio.wait_for(scenario.play(fleet, trouble), 110)
            except Exception as error:  # the case could not run
                import traceback
                traceback.print_exc()
                if fleet is not None:
                    fleet.note(f"could not run: {error!r}")
                verdict = 2
            finally:
                if fleet is not None:
                    for it in fleet.hosts:
                        code = it.process.returncode if it.process else None
                        if code is not None:
                            fleet.note(f"{it.name} had ended with status {code}")
                    await fleet.stop()
            with open(os.path.join(folder, "record.txt"), "w") as out:
                out.write(f"trouble {'on' if trouble else 'off'}\n" + "\n".join(fleet.lines if fleet else []) + "\n")
            print("\n".join((fleet.broken if fleet else [])[:8]))
            print({0: "held", 1: "broken", 2: "could not run"}[verdict])
            return verdict
    sys.exit(asyncio.run(play()))
